"""Subscription service: replicates committed state from control machines to nodes that are not members.

A control machine is a member of the store. It keeps its subscribers, the leases that it granted to them
under its own lease, and the revision that each subscriber has acknowledged. A node keeps a replica of the
subscribed keys, its lease, and the control machine to which it is subscribed. None of this is stored on disk:
after a restart nodes subscribe again, and writes wait until the leases of earlier processes have expired.
This package imports the store; the store knows only the interface in `gradegap.store.subscriptions`.

Modules without I/O and without a clock of their own:

- `publisher.Publisher`: subscriptions, renewals and lease grants; `delivery` decides what is sent next
- `subscriber.Subscriber`: a node's subscription, with its phases, its lease and its choice of machines
- `messages`: the typed messages between publisher and subscriber, which are a wire format

Modules with sockets:

- `server.PublisherServer`: the `publish` port of a member; a `store.subscriptions.SubscriptionServer`
- `client.ObserverClient`: a node's subscription, and its requests to the store over the same connection
- `observed_store.ObservedStore`: applies a subscription to a node's proxy; an alternative to
  `store.embedded.EmbeddedStore`

This file imports nothing, so that a node without the settings for subscriptions doesn't load the modules.
"""
