"""Sessions that go on at another server: lines, windows, tokens and claims, all without I/O."""
