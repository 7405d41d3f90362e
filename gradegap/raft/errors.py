"""Errors of the consensus core.

The text of a `RequestRejectedError` is sent to clients unchanged. The part before a colon is the error code
under which rejections are counted; it is part of the store's interface.
"""

from __future__ import annotations


class RaftError(Exception):
    """Base class of this package's errors."""


class InvariantViolationError(RaftError, AssertionError):
    """The core reached a state that Raft excludes. The member must stop."""


class LogGapError(RaftError, ValueError):
    """An appended entry does not directly follow the last entry of the log."""

    def __init__(self, index: int, last_index: int) -> None:
        super().__init__(f"log entry {index} does not directly follow the last entry {last_index}")


class SnapshotTooOldError(RaftError, ValueError):
    """An offered snapshot ends before the log begins: a member that installs it would still lack entries."""

    def __init__(self) -> None:
        super().__init__("snapshot ends before the first entry of the log")


class RequestRejectedError(RaftError):
    """Base class of rejected requests. The text, sent to the client, gives the reason."""


class NotLeaderError(RequestRejectedError):
    """This member is not the leader; the request must go to the leader."""

    def __init__(self) -> None:
        super().__init__("not_leader")


class LeaderNotReadyError(RequestRejectedError):
    """The new leader has not committed an entry of its own term, so its commit index may be stale: retry."""

    def __init__(self) -> None:
        super().__init__("not_ready: the leader has not committed an entry of its term yet")


class TransferInProgressError(RequestRejectedError):
    """Leadership is being transferred: retry with the next leader."""

    def __init__(self) -> None:
        super().__init__("transferring leadership")


class TooMuchUncommittedError(RequestRejectedError):
    """Uncommitted entries exceed `RaftSettings.max_uncommitted_bytes`: retry later.

    The log grows faster than a majority of voters stores it.
    """

    def __init__(self) -> None:
        super().__init__("busy: too many bytes of entries are not committed yet")


class ChangePendingError(RequestRejectedError):
    """An earlier membership change is not committed yet, and only one change may be pending at a time."""

    def __init__(self) -> None:
        super().__init__("change_pending: another membership change is not committed yet")


class LearnerBehindError(RequestRejectedError):
    """The learner has not caught up with the log, so it can't become a voter yet: retry later."""

    def __init__(self) -> None:
        super().__init__("behind: the learner has not caught up with the log yet")


class UnknownMemberError(RequestRejectedError):
    """The cluster has no member with this id, or the member can't take the requested role."""

    def __init__(self) -> None:
        super().__init__("no such member")


class MemberRoleError(RequestRejectedError):
    """The member already has the requested role."""

    def __init__(self, role: str) -> None:
        super().__init__(f"member: it {role} already")


class LastVoterError(RequestRejectedError):
    """The only voter can't be removed: the cluster could never commit again."""

    def __init__(self) -> None:
        super().__init__("last: the member is the only voter of the cluster")
