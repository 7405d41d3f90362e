"""Resumable sessions: a client's session continues at another endpoint or node, authorized by a token.

For each session, a node keeps the requests that have no answer yet. A session's generation is a number that
increases each time the session continues at another endpoint or node; the new generation is reserved first.
A node without a store keeps in memory which generation of each session is reserved, and the key ring that
seals tokens. With a store, the reservations (`claims/`) and the key ring (`keys/resume`) are committed keys
of the store.

docs/design/resume.md describes the protocol.

- `resumption.Resumer`: a node's implementation of the resumption interface in `downstream.interfaces`
- `session_relay.SessionRelay`, `window`: the lines between a client and its endpoint; no I/O
- `lines`, `token`, `reservations`: the formats on the wire and in the store; no I/O
- `migration`: migration to another endpoint while the client's connection stays open
- `errors.ResumeError`: the base class of the errors that this package raises

This module imports nothing, so that a node without a `[resume]` table does not load the package.
"""
