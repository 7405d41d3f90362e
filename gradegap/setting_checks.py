"""Checks that tables of the operator's file share; `setting` names table and key in their errors."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterable
from pathlib import Path

from gradegap.errors import OperatorFileError

MIN_SECRET_BYTES = 16
MAX_PORT = 65535
_NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")


def check_name(name: str, setting: str) -> None:
    """The name of a member, control machine or node.

    Raises:
        OperatorFileError: where it has other characters than letters, digits, - and _, or more than 64.
    """
    if not _NAME.fullmatch(name):
        raise OperatorFileError(f"{setting} no name of letters, digits, - and _: {name!r}")


def check_loopback(address: str, setting: str) -> None:
    """An address that strangers can't reach: a store, or an unsigned DNS answer, is trusted.

    Raises:
        OperatorFileError: where it is no loopback address with a port.
    """
    host, separator, port = address.rpartition(":")
    try:
        is_loopback = bool(separator) and ipaddress.ip_address(host.strip("[]")).is_loopback
        valid = is_loopback and 0 <= int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        raise OperatorFileError(f"{setting} is no loopback address and port: {address!r}")


def has_duplicates(values: Iterable[str]) -> bool:
    """Whether a value comes twice."""
    listed = list(values)
    return len(set(listed)) != len(listed)


def read_secret(path: str, setting: str) -> bytes:
    """The cluster's secret; empty where no file is named.

    Raises:
        OperatorFileError: where the file can't be read, or is too short to be a secret.
    """
    if not path:
        return b""
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise OperatorFileError(f"{setting}: {path} can't be read: {error.strerror}") from None
    if len(secret) < MIN_SECRET_BYTES:
        raise OperatorFileError(f"{setting}: {path} has less than {MIN_SECRET_BYTES} bytes")
    return secret
