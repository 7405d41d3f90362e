"""Command groups of the command line, one per module; `base` has their shared code."""
