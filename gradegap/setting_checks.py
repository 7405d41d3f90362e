"""Checks that several tables of the operator's file use; `setting` names the table and the key in errors."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterable
from pathlib import Path

from gradegap.errors import OperatorFileError

MIN_SECRET_BYTES = 16
MAX_PORT = 65535
_NAME_PATTERN = re.compile(r"[A-Za-z0-9_-]{1,64}")


def check_name(name: str, setting: str) -> None:
    """Check the name of a member, control machine or node; `setting` ends with "is" or a colon.

    Raises:
        OperatorFileError: if the name is empty, longer than 64 characters, or has characters other than
            letters, digits, - and _.
    """
    if not _NAME_PATTERN.fullmatch(name):
        raise OperatorFileError(f"{setting} not a name of 1 to 64 letters, digits, - and _: {name!r}")


def check_loopback(address: str, setting: str) -> None:
    """Check that an address can't be reached from other machines.

    Loopback is required for the store and for DNS, because the node trusts the store and unsigned DNS
    answers.

    Raises:
        OperatorFileError: if the address is not a loopback address with a port.
    """
    host, separator, port = address.rpartition(":")
    try:
        is_loopback = bool(separator) and ipaddress.ip_address(host.strip("[]")).is_loopback
        is_valid = is_loopback and 0 <= int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise OperatorFileError(f"{setting} must be a loopback address with a port, got {address!r}")


def has_duplicates(values: Iterable[str]) -> bool:
    """Whether a value occurs more than once."""
    listed = list(values)
    return len(set(listed)) != len(listed)


def read_secret(path: str, setting: str) -> bytes:
    """Read the cluster's secret; empty if `path` is empty.

    Raises:
        OperatorFileError: if the file can't be read, or has fewer than `MIN_SECRET_BYTES` bytes.
    """
    if not path:
        return b""
    try:
        secret = Path(path).read_bytes().strip()
    except OSError as error:
        raise OperatorFileError(f"{setting}: {path} can't be read: {error.strerror}") from None
    if len(secret) < MIN_SECRET_BYTES:
        raise OperatorFileError(
            f"{setting}: {path} must have at least {MIN_SECRET_BYTES} bytes, got {len(secret)}"
        )
    return secret
