"""The replicated store: a small set of keys that nodes decide by, and leases that keep these decisions fresh.

It contains the data folder of a member (`storage`: log, vote, identity, state), the replicated state
(`machine`, with the types in `records`), links between members (`links`, `channel`, `wire`), requests to a
member (`service` and the modules that it uses), and leases (`leases`, `member_leases`). `member.StoreMember`
is a process's member, `embedded.EmbeddedStore` connects it to a node, and `member_client.MemberClient` is a
blocking client. Consensus is in `gradegap.raft`. Subscriptions are in `gradegap.observer`, which this package
never imports; the code that assembles a process passes in a server with the interface in `subscriptions`.

This module imports nothing, so that a node without a store doesn't load the store's libraries.
"""
