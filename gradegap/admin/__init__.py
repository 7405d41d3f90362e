"""The operators' HTTP API of one node.

Owns its listener and the callers' connections. `http_api` reads calls and writes answers, `routes` finds the
operation of a call, `operations` is what a node offers.
"""
