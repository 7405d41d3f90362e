"""Stand-ins and helpers that tests share: a node in its world, store clusters, harnesses."""
