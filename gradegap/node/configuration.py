"""The node's configuration: `config.json` as the platform writes it, with the environment over it."""

from __future__ import annotations

import os
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import structlog

from gradegap.balancing import settings_reader as reader
from gradegap.balancing.settings import Settings
from gradegap.discovery.endpoint_list import EndpointListDocument
from gradegap.errors import ConfigurationError
from gradegap.transport.addresses import split_address

log = structlog.get_logger()

RELOADED = ("discovery", "limits", "known")  # what a reload changes, the settings beside
FIXED = ("name", "listen", "seed", "console")  # what lasts for the life of a process


class Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 0.0
    sockets: int = 0


class Config(msgspec.Struct):
    """`config.json`, as the platform writes it."""

    name: str
    listen: str
    discovery: str
    settings: dict[str, Any]
    console: str = ""  # where operators call; none: nobody does
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: EndpointListDocument = msgspec.field(default_factory=EndpointListDocument)


@dataclass(slots=True)
class Setup:
    config: Config
    settings: Settings
    path: str  # the file it was read from
    written: Config  # as the file has it, without the environment's words
    names: dict[str, Any]  # all that the file has, but for the lists of `known`

    @property
    def seed(self) -> int:
        try:
            return int(self.config.seed, 16)
        except ValueError:
            return zlib.crc32(self.config.seed.encode())


def load(path: str | None = None) -> Setup:
    """The configuration from NODE_CONFIG, with the other NODE_ variables over it."""
    path = path or os.environ.get("NODE_CONFIG", "")
    if not path:
        raise ConfigurationError("NODE_CONFIG names no file")
    try:
        data = Path(path).read_bytes()
        config = msgspec.json.decode(data, type=Config)
        names = msgspec.json.decode(data) | {"known": None}
    except OSError as error:
        raise ConfigurationError(f"{path} can't be read: {error.strerror}") from None
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ConfigurationError(f"{path} is no configuration: {error}") from None
    written = msgspec.structs.replace(config)
    config.name = os.environ.get("NODE_NAME") or config.name
    config.listen = os.environ.get("NODE_LISTEN") or config.listen
    config.discovery = os.environ.get("NODE_DISCOVERY") or config.discovery
    config.console = os.environ.get("NODE_CONSOLE") or config.console
    for name in ("listen", "discovery", "console"):
        address = getattr(config, name)
        try:
            if address or name != "console":
                split_address(address)
        except ValueError:
            raise ConfigurationError(f"{name} is no address: {address!r}") from None
    try:
        reader.check(config.settings)
        settings = Settings(**reader.read(reader.flatten(config.settings)))
    except KeyError as error:
        raise ConfigurationError(f"settings lack {error}") from None
    except (ValueError, TypeError) as error:
        raise ConfigurationError(f"settings can't be used: {error}") from None
    return Setup(config, settings, path, written, names)


def reload(old: Setup) -> Setup:
    """The configuration anew, from the file it came from. What the file has changed since it was last read
    is newer than the environment of the start, and goes over it; the rest stays as it is in force."""
    new = load(old.path)
    # Guards against a file that was cut between two of its names: what it lacks would become a default.
    if missing := reader.lacking(old.names, new.names):
        raise ConfigurationError(f"{old.path} lacks {missing}, which the one in force has")
    for name in RELOADED:
        now, before = getattr(new.written, name), getattr(old.written, name)
        setattr(new.config, name, now if now != before else getattr(old.config, name))
    for name in FIXED:
        if getattr(new.written, name) != getattr(old.written, name):
            log.warning("takes effect at the next start only", setting=name)
        setattr(new.config, name, getattr(old.config, name))
    return new


def private_file(config: Config, kind: str) -> Path | None:
    """A file of this node in the folder that is its own, whichever process serves; none without one."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    tag = zlib.crc32(f"{config.name} {config.listen}".encode())
    return Path(folder) / f"gradegap-{tag:08x}.{kind}"
