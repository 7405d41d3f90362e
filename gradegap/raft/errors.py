"""Errors of the consensus core, under one base.

Texts of rejected requests are sent to clients as they are, and the part before a colon is the code that they
are counted by: both are part of the store's interface.
"""

from __future__ import annotations


class RaftError(Exception):
    """Base of this package's errors."""


class InvariantViolationError(RaftError, AssertionError):
    """The core has come to a state that Raft rules out: it must not go on."""


class LogGapError(RaftError, ValueError):
    """An entry does not follow the last one of the log."""

    def __init__(self, index: int, last_index: int) -> None:
        super().__init__(f"entry {index} after {last_index}")


class SnapshotTooOldError(RaftError, ValueError):
    """A snapshot was offered from before the log: a member that installs it would still lack entries."""

    def __init__(self) -> None:
        super().__init__("a snapshot from before the log")


class RequestRejectedError(RaftError):
    """A request that this member rejects; the text says why."""


class NotLeaderError(RequestRejectedError):
    """Only the leader can do this: the request is for another member."""

    def __init__(self) -> None:
        super().__init__("not_leader")


class LeaderNotReadyError(RequestRejectedError):
    """A new leader knows what is committed only once it has committed an entry of its own: retry soon."""

    def __init__(self) -> None:
        super().__init__("not_ready: the leader has committed nothing in its term yet")


class TransferInProgressError(RequestRejectedError):
    """Leadership is being transferred: retry at the next leader."""

    def __init__(self) -> None:
        super().__init__("transferring leadership")


class TooMuchUncommittedError(RequestRejectedError):
    """The log grows faster than a majority stores it (`RaftSettings.max_uncommitted_bytes`): retry later."""

    def __init__(self) -> None:
        super().__init__("busy: too much is not committed yet")


class ChangePendingError(RequestRejectedError):
    """Members change one at a time: retry once the change before is committed."""

    def __init__(self) -> None:
        super().__init__("change_pending: another change of members is not committed yet")


class LearnerBehindError(RequestRejectedError):
    """A learner becomes a voter once it has caught up with the log: retry later."""

    def __init__(self) -> None:
        super().__init__("behind: it has not caught up with the log yet")


class UnknownMemberError(RequestRejectedError):
    """The cluster has no member of this identity, or none that can take the role."""

    def __init__(self) -> None:
        super().__init__("no such member")


class MemberRoleError(RequestRejectedError):
    """The member has the role already that it is to be given."""

    def __init__(self, role: str) -> None:
        super().__init__(f"member: it {role} already")


class LastVoterError(RequestRejectedError):
    """Without its only voter the cluster could never commit anything again."""

    def __init__(self) -> None:
        super().__init__("last: it is the only voter")
