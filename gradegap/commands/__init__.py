"""The command line's groups: each module is one, on the shared `base` for connecting, errors and output."""
