"""Subscriptions: committed state carried from control machines to nodes that are no members of the store.

The package owns, at a control machine, who subscribes, which leases were granted under the machine's own,
and what each node has acknowledged; at a node, the replica of the subscribed keys, its lease, and which
machine it is at. Nothing of this is stored: after a restart nodes subscribe again, and leases of earlier
processes are waited for. It imports the store, which knows it only by `gradegap.store.subscriptions`.

Without I/O and clock:

- `publisher.Publisher`: subscriptions, renewals and lease grants; `delivery` decides what each is sent next
- `subscriber.Subscriber`: one node's side, with its phases, its lease and its choice of machines
- `messages`: the typed messages between them, which are a wire format

On sockets:

- `server.PublisherServer`: the `publish` port of a member, as `store.subscriptions.SubscriptionServer`
- `client.ObserverClient`: a subscription, and requests to the store over its connection
- `observed_store.ObservedStore`: a subscription joined to a node's proxy, as `store.embedded.EmbeddedStore`

Nothing is imported here, so that a node without these tables does without their memory.
"""
