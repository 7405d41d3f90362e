"""The operators' HTTP API of one node.

The package owns the API's listener and its connections. `http_api` parses calls and writes answers, `routes`
maps a call to an operation, and `operations` is the interface that a node implements.
"""
