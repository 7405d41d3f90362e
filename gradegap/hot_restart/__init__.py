"""A new process of a node takes the place of the one that serves, while clients stay connected.

Owns the messages between the two (`messages`), their connection (`link`), and how the new process finds the
one that serves (`rendezvous`).
"""
