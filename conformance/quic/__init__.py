"""Conformance cases for QUIC servers (RFC 8999, 9000, 9001, 9287, 9369); `gradegap conformance quic ADDR`.

`suite.run` runs `cases.CASES` against a `case.Target`; `client` is the scripted client that they use.
"""
