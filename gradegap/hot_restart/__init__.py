"""A new process of a node takes the place of the one that serves, while clients stay connected.

Owns the connection between the two processes and the sessions on their way over it. `hot_restart` has both
roles of a process (`successor`, then `predecessor`); `messages` is the format between versions.
"""

from gradegap.hot_restart.hot_restart import HotRestart
from gradegap.hot_restart.messages import AdminOperation

__all__ = ["AdminOperation", "HotRestart"]
