"""The node's configuration: `config.json` as the platform writes it, with the environment over it."""

from __future__ import annotations

import os
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import structlog

from gradegap.balancing import settings_reader
from gradegap.balancing.settings import Settings
from gradegap.discovery.endpoint_list import EndpointListDocument
from gradegap.errors import ConfigurationError
from gradegap.transport.addresses import split_address

log = structlog.get_logger()

_CONFIGURATION_PATH_VARIABLE = "NODE_CONFIG"
# By attribute of `NodeConfiguration`: the variable that goes over it.
_VARIABLES = {
    "name": "NODE_NAME",
    "listen": "NODE_LISTEN",
    "discovery": "NODE_DISCOVERY",
    "admin_listen": "NODE_CONSOLE",
}
# By attribute: its key in the file.
_ADDRESSES = {"listen": "listen", "discovery": "discovery", "admin_listen": "console"}
_FIXED = {"name": "name", "listen": "listen", "seed": "seed", "admin_listen": "console"}
"""What lasts for the life of a process."""
_RELOADED = ("discovery", "limits", "known_endpoints")  # what a reload changes, besides the settings


class ResourceLimits(msgspec.Struct):
    """What the platform lets this process use; 0 where it says nothing."""

    cores: float = 1.0
    memory_mb: float = 0.0  # MiB
    sockets: int = 0  # open descriptors


class NodeConfiguration(msgspec.Struct):
    """`config.json`, as the platform writes it."""

    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    admin_listen: str = msgspec.field(name="console", default="")  # where operators call; empty: no admin API
    seed: str = "0"
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)
    known_endpoints: EndpointListDocument = msgspec.field(name="known", default_factory=EndpointListDocument)


@dataclass(slots=True)
class Configuration:
    """A configuration that was read and checked."""

    node: NodeConfiguration  # in force: the file's, with the environment over it
    settings: Settings  # of the balancer, from `node.settings`
    path: str  # the file that it was read from
    as_written: NodeConfiguration  # the file's alone
    keys: dict[str, Any]  # all that the file has, but for the lists of `known`

    @property
    def seed(self) -> int:
        """The seed of random draws: hexadecimal in the file, or else a checksum of its text."""
        try:
            return int(self.node.seed, 16)
        except ValueError:
            return zlib.crc32(self.node.seed.encode())


def load(path: str | None = None) -> Configuration:
    """The configuration from `path` or else `NODE_CONFIG`, with the other `NODE_` variables over it.

    Raises:
        ConfigurationError: where it can't be read or used.
    """
    path = path or os.environ.get(_CONFIGURATION_PATH_VARIABLE, "")
    if not path:
        raise ConfigurationError(f"{_CONFIGURATION_PATH_VARIABLE} names no file")
    node, keys = _read(path)
    as_written = msgspec.structs.replace(node)
    for attribute, variable in _VARIABLES.items():
        setattr(node, attribute, os.environ.get(variable) or getattr(node, attribute))
    _check_addresses(node)
    return Configuration(node, _read_settings(node.settings), path, as_written, keys)


def _read(path: str) -> tuple[NodeConfiguration, dict[str, Any]]:
    try:
        data = Path(path).read_bytes()
        node = msgspec.json.decode(data, type=NodeConfiguration)
        keys: dict[str, Any] = msgspec.json.decode(data) | {"known": None}
    except OSError as error:
        raise ConfigurationError(f"{path} can't be read: {error.strerror}") from None
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ConfigurationError(f"{path} is no configuration: {error}") from None
    return node, keys


def _check_addresses(node: NodeConfiguration) -> None:
    for attribute, key in _ADDRESSES.items():
        address = getattr(node, attribute)
        if not address and attribute == "admin_listen":
            continue
        try:
            split_address(address)
        except ValueError:
            raise ConfigurationError(f"{key} is no address: {address!r}") from None


def _read_settings(nested: dict[str, Any]) -> Settings:
    try:
        settings_reader.check(nested)
        return Settings(**settings_reader.read(settings_reader.flatten(nested)))
    except KeyError as error:
        raise ConfigurationError(f"settings lack {error}") from None
    except (ValueError, TypeError) as error:
        raise ConfigurationError(f"settings can't be used: {error}") from None


def reload(old: Configuration) -> Configuration:
    """The configuration anew, from the file that it came from.

    What the file has changed since it was last read is newer than the environment of the start, and goes over
    it; the rest stays as it is in force.

    Raises:
        ConfigurationError: where it can't be read or used, or lacks a key that the one in force has.
    """
    new = load(old.path)
    # Guards against a file that was cut between two of its keys: what it lacks would become a default.
    if missing := settings_reader.first_missing(old.keys, new.keys):
        raise ConfigurationError(f"{old.path} lacks {missing}, which the one in force has")
    for attribute in _RELOADED:
        if getattr(new.as_written, attribute) != getattr(old.as_written, attribute):
            setattr(new.node, attribute, getattr(new.as_written, attribute))
        else:
            setattr(new.node, attribute, getattr(old.node, attribute))
    for attribute, key in _FIXED.items():
        if getattr(new.as_written, attribute) != getattr(old.as_written, attribute):
            log.warning("setting takes effect at the next start only", setting=key)
        setattr(new.node, attribute, getattr(old.node, attribute))
    return new


def private_file(node: NodeConfiguration, kind: str) -> Path | None:
    """A file of this node's in its own folder, the same whichever process serves; None without a `TMPDIR`."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    tag = zlib.crc32(f"{node.name} {node.listen}".encode())
    return Path(folder) / f"gradegap-{tag:08x}.{kind}"
