"""Checkers: a seeded simulator of the consensus core, an explorer of small cases, and planted bugs."""
