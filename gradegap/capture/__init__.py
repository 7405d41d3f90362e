"""Recordings of a balancer's events, actions and states: their file format, writers, readers and analyses.

The package owns the file format and the stored form of all objects in a file. Modules import only
from modules that are earlier in this list:

- `errors`: the exceptions, all subclasses of `CaptureError`.
- `records`: the stored names of events, actions and settings. `schema`, `state`, `state_v1`: the stored form
  of the balancer's state, in each version.
- `frames`, `index`: the file as checksummed frames, and an index of them. `recording`: a file read as steps,
  settings changes, states and gaps.
- `writer`, `snapshot`, `recorder`, `switch`: recording in a running node. `redaction`: player ids replaced by
  a keyed hash. `settings`: the operator's `[capture]` table.
- `decision_module`: loads the program's decision module or a candidate. `replay`, `comparison`, `explain`,
  `description`: replay of the recorded decisions, and descriptions of the differences.
- `observations`, `simulation`, `evaluation`, `whatif`: simulation of a recorded day with other decisions.
  `plot`: charts of a recording.
"""
