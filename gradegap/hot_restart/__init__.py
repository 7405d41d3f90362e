"""One process of a node in the place of another: the link between them, and what passes over it."""
