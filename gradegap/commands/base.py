"""Shared code of the commands that talk to a store member: options, connection, exit codes and output."""

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
    """Exit codes of all commands; scripts depend on them."""

    DONE = 0
    NO = 1  # not found, a failed compare, a rejected request or a difference
    BAD_CALL = 2  # invalid arguments or files, or no member is reachable
    UNKNOWN = 3  # the outcome of a write is unknown
    NO_QUORUM = 4
    NOT_IN_FORCE = 5  # a write is committed, but not confirmed in force at all subscribing nodes


EXIT_CODES = {
    "no": ExitCode.NO,
    "unreachable": ExitCode.BAD_CALL,
    "unknown": ExitCode.UNKNOWN,
    "no_quorum": ExitCode.NO_QUORUM,
}
"""Maps each `kind` of a `RequestFailedError` to an exit code."""

OPERATOR = typer.Option(..., "--operator", help="operator's file; example: deploy/store.toml")
_NODE = typer.Option(..., "--node", help="address of a member, as given in its operator's file")
_JSON = typer.Option(False, "--json", help="print JSON")
_TIMEOUT = typer.Option(5.0, "--timeout", help="timeout of the member's answer, in seconds")
_SECRET = typer.Option("", "--secret", envvar="GRADEGAP_STORE_SECRET", help="file with the cluster's secret")


def _option(name: str, value_type: type, option: Any) -> inspect.Parameter:
    return inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY, default=option, annotation=value_type)


MEMBER_OPTIONS = (
    _option("node", str, _NODE),
    _option("json", bool, _JSON),
    _option("timeout", float, _TIMEOUT),
    _option("secret", str, _SECRET),
)
"""Options that all commands that talk to a member have."""


def failure(text: str, code: ExitCode) -> SystemExit:
    """Print a line to standard error, and return the exception that ends the command with this exit code."""
    sys.stderr.write(f"gradegap: {' '.join(text.split())}\n")
    return SystemExit(int(code))


def to_json(value: Any) -> str:
    """Encode a value as one line of JSON."""
    return msgspec.json.encode(value).decode()


@dataclass(frozen=True)
class Output:
    """Standard output, in JSON or plain text."""

    as_json: bool

    def write(self, value: Any, plain: str) -> None:
        """Print one result: `value` as JSON, or else the plain text."""
        typer.echo(to_json(value) if self.as_json else plain)


@contextmanager
def connect(node: str, secret_file: str, timeout_s: float) -> Iterator[MemberClient]:
    """Yield a client connected to a member; its errors end the command with the matching exit code."""
    try:
        with MemberClient(node, read_secret(secret_file, "store.secret"), timeout_s) as member:
            yield member
    except RequestFailedError as error:
        raise failure(str(error), EXIT_CODES[error.kind]) from None
    except OperatorFileError as error:
        raise failure(str(error), ExitCode.BAD_CALL) from None


MemberCommand = Callable[..., None]
"""A command's function: takes a `MemberClient`, an `Output`, and the command's own arguments and options."""


def member_command(group: typer.Typer, name: str) -> Callable[[MemberCommand], MemberCommand]:
    """Register a command that talks to a member, with `MEMBER_OPTIONS` added to its own options."""

    def add(command: MemberCommand) -> MemberCommand:
        @functools.wraps(command)
        def run(*, node: str, json: bool, timeout: float, secret: str, **own_parameters: Any) -> None:
            with connect(node, secret, timeout) as member:
                command(member, Output(json), **own_parameters)

        _, _, *own_parameters = inspect.signature(command, eval_str=True).parameters.values()
        parameters = [
            *(each.replace(kind=inspect.Parameter.KEYWORD_ONLY) for each in own_parameters),
            *MEMBER_OPTIONS,
        ]
        # typer derives the arguments and options from this signature, not from that of `command`.
        run.__signature__ = inspect.Signature(parameters)  # type: ignore[attr-defined]
        run.__annotations__ = {each.name: each.annotation for each in parameters}
        del run.__dict__["__wrapped__"]
        group.command(name)(run)
        return command

    return add


def author() -> str:
    """Name that is recorded as the author of a write: the user's login name."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "operator"
