"""Recordings: a balancer's events, actions and states in files, and what is made of them.

It owns the file format and the stored form of everything in it. Imports point downwards in this list:

- `errors`: what can be wrong, under `CaptureError`.
- `records`: stored names of events, actions and settings. `schema`, `state`, `state_v1`: the same for the
  balancer's state, in its versions.
- `frames`, `index`: the file: checked frames, and where in it is what. `recording`: a file read as steps,
  changes of settings, states and gaps.
- `writer`, `snapshot`, `recorder`, `switch`: a recording made while a node runs. `redaction`: ids of players
  as a keyed hash. `settings`: the operator's `[capture]` table.
- `decision_module`: the module that decides, or a candidate in its place. `replay`, `comparison`, `explain`,
  `description`: the same decisions again, and what differs, in words.
- `observations`, `simulation`, `evaluation`, `whatif`: the same day with other decisions. `plot`: a recording
  as a picture.
"""
