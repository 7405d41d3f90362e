"""RFC 9000, 9001, 9287 and the like, as cases; `gradegap conformance quic ADDR`."""
