"""Client sessions over QUIC (RFC 9000), and connection ids that say which process holds a session.

The package owns the UDP socket (`listener`), connections and their streams (`channel`, `stream`), the
certificate in force, and the keys that ids, resets and address tokens are made from. `ids`, `keys`, `routing`
and `tokens` have no I/O. Public: `QuicListener`, `QuicRing`, `RING_KEY`.
"""
