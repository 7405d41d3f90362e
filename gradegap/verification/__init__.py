"""Models of consensus and subscriptions in virtual time, mutations that test the models, history checkers.

The package holds no state of a node. The models drive the same classes that production processes run.

- Consensus: `simulator` runs a cluster under faults; `model_explorer` runs a small cluster through every
  order of events. `raft_invariants` defines the invariants, and `raft_mutations` the known mistakes that the
  two models must detect.
- Subscriptions: `observer_model` runs publishers and subscribers under faults. `observer_invariants` and
  `observer_mutations` define its invariants and mutations.
- Histories: `linearizability` checks the reads and writes of one key; `sessions` checks the logs of resumable
  sessions (`python -m gradegap.verification.sessions LOG ...`).
"""
