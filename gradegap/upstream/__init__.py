"""Connections to endpoints, for attempts and for health checks.

Owns the connections to endpoints. `tcp_upstream` implements the proxy's `UpstreamPort`; `connection` has the
connection of one attempt; `health_checks` the connections for health checks; `answers` the parser of
endpoints' lines; `interfaces` the interfaces between an upstream connection and its client session.
"""
