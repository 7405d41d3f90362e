"""Consensus without I/O: Raft as a core that is told the time and messages, and gives back what to do."""
