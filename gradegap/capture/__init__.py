"""What the module was told and what it decided: recorded, replayed, compared, explained."""
