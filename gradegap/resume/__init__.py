"""Resumable sessions: a client's session goes on at another endpoint, or at another node, by a token.

The package owns, at a node, what of a session has no answer yet; and where the node has no store, which
generation of a session was reserved and the ring that seals tokens. With a store, reservations (`claims/`)
and the ring (`keys/resume`) are committed keys. docs/design/resume.md has the protocol.

- `resumption.Resumer`: a node's part, as `downstream.interfaces` wants it
- `session_relay.SessionRelay`, `window`: what passes between client and endpoint; no I/O
- `lines`, `token`, `reservations`: the formats on the wire and in the store; no I/O
- `migration`: the change to another endpoint while the client's connection stays
- `errors.ResumeError`: the base of what is raised

Nothing is imported here, so that a node without a `[resume]` table does without its memory.
"""
