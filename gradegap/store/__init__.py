"""The replicated store: a few keys that nodes decide by, the same at every member, and leases on them.

It owns the member's folder (`storage`: log, vote, identity, state), the replicated state (`machine`, of
`records`), the links between members (`links`, `channel`, `wire`), requests to a member (`service` and what
it is made of), and leases (`leases`, `member_leases`). `member.StoreMember` is one process's part;
`embedded.EmbeddedStore` joins it to a node; `member_client.MemberClient` is a blocking client. Consensus is
`gradegap.raft`, subscriptions are `gradegap.observer`, which this package never imports: whoever assembles a
process passes a `subscriptions` server.

Nothing is imported here, so that a node without a store does without the memory of its libraries.
"""
