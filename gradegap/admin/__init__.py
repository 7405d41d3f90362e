"""The operators' HTTP API of one node."""
