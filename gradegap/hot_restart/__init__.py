"""Hot restart: a new process of a node replaces the serving one while clients stay connected.

This package owns the connection between the two processes, and the sessions that it is transferring.
`hot_restart` combines the two roles of a process, first `successor` and later `predecessor`; `messages`
defines the format that processes of different versions exchange.
"""

from gradegap.hot_restart.hot_restart import HotRestart
from gradegap.hot_restart.messages import AdminOperation

__all__ = ["AdminOperation", "HotRestart"]
