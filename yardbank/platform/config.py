"""What the platform tells a gateway: its environment and one JSON file. No I/O but the reading of that file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from yardbank.adapter import WireError, field, read_settings
from yardbank.gateway.api import ServerSpec
from yardbank.interface import Settings
from yardbank.platform.listing import Listing, ListingError, read_listing

MAX_SECONDS_BETWEEN = 30  # an idle connection's end, where the settings do not say


class PlatformError(Exception):
    """The platform told something that makes no sense; the text names the variable or the field."""


@dataclass(slots=True, frozen=True)
class Address:
    """Where to connect or to listen."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class PlatformConfig:
    """All that one gateway is told."""

    name: str
    listen: Address
    discovery: Address
    settings: Settings
    known: Listing
    sockets: int  # descriptors that the process may hold
    memory_mb: int
    idle_close: int  # servers close connections that were idle for so long (ns)


def read_address(text: str, name: str) -> Address:
    """``host:port``. Raises ``PlatformError`` naming what it was read for."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()) or not 0 < int(port) < 1 << 16:
        raise PlatformError(f"{name}: {text[:100]!r} is not host:port")
    return Address(host.strip("[]"), int(port))


def read_config(document: bytes) -> PlatformConfig:
    """The configuration file's text. Raises ``PlatformError`` naming the field."""
    try:
        told: Any = orjson.loads(document)
        limits = field(told, "limits", dict, {})
        env = field(told, "settings", dict)
        seed = field(told, "seed", str)
        try:
            number = int(seed, 16)
        except ValueError:
            raise PlatformError(f"field 'seed': {seed[:40]!r} is not hexadecimal") from None
        sockets = field(limits, "sockets", int, 1024)
        if sockets < 64:
            raise PlatformError(f"field 'limits.sockets': {sockets} is too few")
        known = told.get("known")
        return PlatformConfig(
            name=field(told, "name", str, ""),
            listen=read_address(field(told, "listen", str), "field 'listen'"),
            discovery=read_address(field(told, "discovery", str), "field 'discovery'"),
            settings=read_settings(number, env),
            known=read_listing(known) if known is not None else Listing(0, True, {}),
            sockets=sockets,
            memory_mb=int(field(limits, "memory_mb", (int, float), 128)),
            idle_close=field(field(env, "ceilings", dict, {}), "idle_close", int, 0) or MAX_SECONDS_BETWEEN * 10**9,
        )
    except orjson.JSONDecodeError as problem:
        raise PlatformError(f"not JSON: {problem}") from None
    except (WireError, ListingError, ValueError) as problem:
        raise PlatformError(str(problem)) from None


def load_config(environment: Mapping[str, str]) -> PlatformConfig:
    """What the environment names. Raises ``PlatformError`` naming the variable, or the file and its field."""
    if not (name := environment.get("NODE_CONFIG")):
        raise PlatformError("NODE_CONFIG is not set")
    try:
        document = Path(name).read_bytes()
    except OSError as problem:
        raise PlatformError(f"NODE_CONFIG: {problem}") from None
    try:
        return read_config(document)
    except PlatformError as problem:
        raise PlatformError(f"{name}: {problem}") from None


def needs_restart(held: PlatformConfig, told: PlatformConfig) -> list[str]:
    """Fields of a new configuration that differ and cannot change in service; the seed is new with each file."""
    pairs = {
        "listen": (held.listen, told.listen),
        "limits.sockets": (held.sockets, told.sockets),
        "settings": (replace(held.settings, seed=0), replace(told.settings, seed=0)),
    }
    return [name for name, (before, after) in pairs.items() if before != after]


def specs(listing: Listing) -> list[ServerSpec]:
    """The servers of a whole list."""
    return [spec for spec in listing.entries.values() if spec is not None]
