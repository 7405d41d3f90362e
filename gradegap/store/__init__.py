"""A small replicated store of a node's own: operator configuration and node state, never load or choices."""
