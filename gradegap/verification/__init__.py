"""Checkers: models of consensus and subscriptions in virtual time, mutations for them to find, and histories.

The package owns no state of a node: it drives the very classes that processes run.

- Consensus: `simulator` runs a cluster under faults, `model_explorer` every order of events of a small one;
  `raft_invariants` has what must hold, `raft_mutations` known mistakes that these find.
- Subscriptions: `observer_model` runs publishers and subscribers under faults; `observer_invariants` and
  `observer_mutations` likewise.
- Histories: `linearizability` checks reads and writes of one key, `sessions` what was logged of resumable
  sessions (`python -m gradegap.verification.sessions LOG ...`).
"""
