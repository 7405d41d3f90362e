"""Client sessions over QUIC (RFC 9000), with connection ids that name the process that holds a connection.

The package owns the UDP socket (`listener`), the connections and their streams (`channel`, `stream`), the
certificate in force, and the keys from which connection ids, stateless resets and address tokens are made.
`ids`, `keys`, `routing` and `tokens` do no I/O. Public: `QuicListener`, `QuicRing`, `RING_KEY`.
"""
