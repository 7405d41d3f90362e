"""The endpoints' side: connections for attempts and for health checks.

Owns the connections to endpoints. `tcp_upstream` is the proxy's port, `connection` one attempt's connection,
`health_checks` those for load reports, `answers` the lines of endpoints; `interfaces` says what a client
session has to be for them.
"""
