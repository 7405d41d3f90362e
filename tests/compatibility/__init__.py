"""Tests that the code reads the data, and keeps the outer names, of the version before the renames."""
