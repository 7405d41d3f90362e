"""What the commands that talk to a member share: its options, connecting, errors and exit codes, output."""

from __future__ import annotations

import functools
import getpass
import inspect
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgspec
import typer

from gradegap.errors import OperatorFileError
from gradegap.setting_checks import read_secret
from gradegap.store.errors import RequestFailedError
from gradegap.store.member_client import MemberClient


class ExitCode(IntEnum):
    """What scripts learn from a command."""

    DONE = 0
    NO = 1  # not there, a compare that does not hold, rejected
    BAD_CALL = 2  # it can't be made: its arguments, its files, or nobody answers
    UNKNOWN = 3  # the outcome of a write
    NO_QUORUM = 4
    NOT_IN_FORCE = 5  # a write is committed, and not known to be in force at all nodes that subscribe


EXIT_CODES = {
    "no": ExitCode.NO,
    "unreachable": ExitCode.BAD_CALL,
    "unknown": ExitCode.UNKNOWN,
    "no_quorum": ExitCode.NO_QUORUM,
}
"""By the kind of a `RequestFailedError`."""

OPERATOR = typer.Option(..., "--operator", help="operator's file; see deploy/store.toml")
_NODE = typer.Option(..., "--node", help="address of a member, as its operator's file has it")
_JSON = typer.Option(False, "--json", help="print JSON")
_TIMEOUT = typer.Option(5.0, "--timeout", help="seconds that the member may try")
_SECRET = typer.Option("", "--secret", envvar="GRADEGAP_STORE_SECRET", help="file with the cluster's secret")


def _option(name: str, kind: type, option: Any) -> inspect.Parameter:
    return inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, default=option, annotation=kind)


MEMBER_OPTIONS = (
    _option("node", str, _NODE),
    _option("json", bool, _JSON),
    _option("timeout", float, _TIMEOUT),
    _option("secret", str, _SECRET),
)
"""The options of each command that talks to a member."""


def failure(text: str, code: ExitCode) -> SystemExit:
    """What to raise to end with this line on standard error, and this exit code."""
    sys.stderr.write(f"gradegap: {' '.join(text.split())}\n")
    return SystemExit(int(code))


def to_json(value: Any) -> str:
    """A value as JSON, in one line."""
    return msgspec.json.encode(value).decode()


@dataclass(frozen=True)
class Output:
    """Standard output, as JSON or plain."""

    as_json: bool

    def write(self, value: Any, plain: str) -> None:
        """One result: `value` as JSON, or the plain text of it."""
        typer.echo(to_json(value) if self.as_json else plain)


@contextmanager
def connect(node: str, secret_file: str, timeout_s: float) -> Iterator[MemberClient]:
    """A link to a member; whatever fails in its use ends the command with its exit code."""
    try:
        with MemberClient(node, read_secret(secret_file, "store.secret"), timeout_s) as member:
            yield member
    except RequestFailedError as error:
        raise failure(str(error), EXIT_CODES[error.kind]) from None
    except OperatorFileError as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None


MemberCommand = Callable[..., None]
"""Takes a `MemberClient`, an `Output`, and then the arguments and options of its own."""


def member_command(group: typer.Typer, name: str) -> Callable[[MemberCommand], MemberCommand]:
    """Add a command to a group that talks to a member: it has `MEMBER_OPTIONS` beside its own."""

    def add(command: MemberCommand) -> MemberCommand:
        @functools.wraps(command)
        def run(*, node: str, json: bool, timeout: float, secret: str, **own: Any) -> None:
            with connect(node, secret, timeout) as member:
                command(member, Output(json), **own)

        _, _, *own = inspect.signature(command, eval_str=True).parameters.values()
        parameters = [*(each.replace(kind=inspect.Parameter.KEYWORD_ONLY) for each in own), *MEMBER_OPTIONS]
        # By these, and not by those of `command`, typer finds the arguments and options.
        run.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
        run.__annotations__ = {each.name: each.annotation for each in parameters}
        del run.__dict__["__wrapped__"]
        group.command(name)(run)
        return command

    return add


def author() -> str:
    """Who is named as the author of a write."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "operator"
