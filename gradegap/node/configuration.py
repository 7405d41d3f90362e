"""The node's configuration: `config.json` as the platform writes it, overridden by environment variables."""

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
# Maps attributes of `NodeConfiguration` to the environment variables that override them.
_ENVIRONMENT_VARIABLES = {
    "name": "NODE_NAME",
    "listen": "NODE_LISTEN",
    "discovery": "NODE_DISCOVERY",
    "admin_listen": "NODE_CONSOLE",
}
# Both tables map attributes of `NodeConfiguration` to their keys in the file: addresses whose syntax is
# checked, and settings that keep their value until the process ends.
_ADDRESS_KEYS = {"listen": "listen", "discovery": "discovery", "admin_listen": "console"}
_PROCESS_LIFETIME_KEYS = {"name": "name", "listen": "listen", "seed": "seed", "admin_listen": "console"}
# Attributes of `NodeConfiguration` that a reload changes, in addition to `settings`.
_RELOADED_ATTRIBUTES = ("discovery", "limits", "known_endpoints")


class ResourceLimits(msgspec.Struct):
    """Resources that the platform grants this process; 0 if the platform sets no limit."""

    cores: float = 1.0
    memory_mb: float = 0.0  # MiB
    sockets: int = 0  # number of open descriptors


class NodeConfiguration(msgspec.Struct):
    """The content of `config.json`, as the platform writes it."""

    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    admin_listen: str = msgspec.field(name="console", default="")  # address of the admin API; empty: none
    seed: str = "0"
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)
    known_endpoints: EndpointListDocument = msgspec.field(name="known", default_factory=EndpointListDocument)


@dataclass(slots=True)
class Configuration:
    """A configuration that was read and checked."""

    node: NodeConfiguration  # the values in force: the file's, overridden by the environment
    settings: Settings  # settings of the balancer, read from `node.settings`
    path: str  # path of the file that it was read from
    as_written: NodeConfiguration  # the file's values, without the environment
    keys: dict[str, Any]  # all keys of the file, without the endpoint lists in `known`

    @property
    def seed(self) -> int:
        """The seed of the random number generator: read as hexadecimal, or else the CRC-32 of the text."""
        try:
            return int(self.node.seed, 16)
        except ValueError:
            return zlib.crc32(self.node.seed.encode())


def load(path: str | None = None) -> Configuration:
    """Load the configuration from `path`, or else from the path in the `NODE_CONFIG` variable.

    The other `NODE_` variables of the environment override values of the file.

    Raises:
        ConfigurationError: if the file can't be read or its values are invalid.
    """
    path = path or os.environ.get(_CONFIGURATION_PATH_VARIABLE, "")
    if not path:
        raise ConfigurationError(f"no configuration file: {_CONFIGURATION_PATH_VARIABLE} is empty or not set")
    node, keys = _read(path)
    as_written = msgspec.structs.replace(node)
    for attribute, variable in _ENVIRONMENT_VARIABLES.items():
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
        raise ConfigurationError(f"{path} is not a valid configuration: {error}") from None
    return node, keys


def _check_addresses(node: NodeConfiguration) -> None:
    for attribute, key in _ADDRESS_KEYS.items():
        address = getattr(node, attribute)
        if not address and attribute == "admin_listen":
            continue
        try:
            split_address(address)
        except ValueError:
            raise ConfigurationError(f"{key} must be an address with a port, got {address!r}") from None


def _read_settings(nested: dict[str, Any]) -> Settings:
    try:
        settings_reader.check(nested)
        return Settings(**settings_reader.read(settings_reader.flatten(nested)))
    except KeyError as error:
        raise ConfigurationError(f"missing key {error} in settings") from None
    except (ValueError, TypeError) as error:
        raise ConfigurationError(f"invalid settings: {error}") from None


def reload(old: Configuration) -> Configuration:
    """Load the configuration again from its file.

    A value that has changed in the file since the last read is newer than the process's environment, which
    dates from its start, and so overrides the environment. All other values in force are kept.

    Raises:
        ConfigurationError: if the file can't be read, its values are invalid, or it lacks a key that the
            configuration in force has.
    """
    new = load(old.path)
    # Guards against a file truncated between two keys: the missing keys would take their defaults.
    if missing := settings_reader.first_missing(old.keys, new.keys):
        raise ConfigurationError(f"{old.path}: missing key {missing}, which the configuration in force has")
    for attribute in _RELOADED_ATTRIBUTES:
        if getattr(new.as_written, attribute) != getattr(old.as_written, attribute):
            setattr(new.node, attribute, getattr(new.as_written, attribute))
        else:
            setattr(new.node, attribute, getattr(old.node, attribute))
    for attribute, key in _PROCESS_LIFETIME_KEYS.items():
        if getattr(new.as_written, attribute) != getattr(old.as_written, attribute):
            log.warning("setting takes effect at the next start only", setting=key)
        setattr(new.node, attribute, getattr(old.node, attribute))
    return new


def private_file(node: NodeConfiguration, kind: str) -> Path | None:
    """Path of a private file of this node, the same for each of its processes.

    Args:
        node: Configuration of the node; its name and listening address are part of the file's name.
        kind: Extension of the file.

    Returns:
        A path in the folder named by `TMPDIR`; None if `TMPDIR` is not set.
    """
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    checksum = zlib.crc32(f"{node.name} {node.listen}".encode())
    return Path(folder) / f"gradegap-{checksum:08x}.{kind}"
