"""What the version before the renames wrote and was called by, held against the code as it stands."""
