"""Configuration of a gateway on the platform: its environment and one JSON file, whose reading is the only I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from yardbank.gateway.api import ServerSpec
from yardbank.interface import Settings
from yardbank.interface.settings import MAX_DURATION
from yardbank.platform.listing import Listing, ListingError, describe_fault, parse_listing, read_port
from yardbank.wire import WireError, read_settings

DEFAULT_IDLE_CLOSE_S = 30  # limit for idle connections, in seconds, if the settings give none
MIN_SOCKETS = 64


class PlatformError(Exception):
    """The platform's configuration is invalid; the text names the variable or the field."""


class ConfigFileError(PlatformError):
    """The file cannot be read now, whatever it contains."""


@dataclass(slots=True, frozen=True)
class Address:
    """Where to connect or to listen."""

    host: str
    port: int


@dataclass(slots=True, frozen=True)
class PlatformConfig:
    """Complete configuration of one gateway."""

    name: str
    listen: Address
    discovery: Address
    settings: Settings
    known: Listing
    sockets: int  # descriptors that the process may hold
    memory_mb: int
    idle_close: int  # servers close connections after this idle time (ns)


_NULL = msgspec.Raw(b"null")


class _Limits(msgspec.Struct):
    sockets: int | None = None
    memory_mb: float | int | None = None


class _Ceilings(msgspec.Struct):
    idle_close: int | None = None


class _PlatformSettings(msgspec.Struct):
    """Fields of the decision module's settings that the platform side needs too."""

    ceilings: _Ceilings | None = None


class _Document(msgspec.Struct):
    """The file; null stands for the default, unknown fields are skipped."""

    listen: str
    discovery: str
    seed: str
    settings: dict[str, Any]
    name: str | None = None
    limits: _Limits | None = None
    known: msgspec.Raw = _NULL


_read_document = msgspec.json.Decoder(_Document).decode


def read_address(text: str, name: str) -> Address:
    """Parses ``host:port``. Raises ``PlatformError`` naming the field."""
    address = read_port(text)
    if address is None:
        raise PlatformError(f"{name}: {text[:100]!r} is not host:port")
    return Address(address[0].strip("[]"), address[1])


def read_config(document: bytes) -> PlatformConfig:
    """Parses the configuration file. Raises ``PlatformError`` naming the field."""
    try:
        parsed = _read_document(document)
    except msgspec.ValidationError as problem:
        raise PlatformError(describe_fault(problem)) from None
    except msgspec.DecodeError as problem:
        raise PlatformError(f"not JSON: {problem}") from None
    try:
        platform_settings = msgspec.convert(parsed.settings, _PlatformSettings)
    except msgspec.ValidationError as problem:
        raise PlatformError(describe_fault(problem, "settings")) from None
    limits, ceilings = parsed.limits or _Limits(), platform_settings.ceilings or _Ceilings()
    try:
        seed = int(parsed.seed, 16)
    except ValueError:
        raise PlatformError(f"seed: {parsed.seed[:40]!r} is not hexadecimal") from None
    sockets = 1024 if limits.sockets is None else limits.sockets
    if sockets < MIN_SOCKETS:
        raise PlatformError(f"limits.sockets: {sockets} is too few")
    memory = 128 if limits.memory_mb is None else limits.memory_mb
    if not 1 <= memory < MAX_DURATION:
        raise PlatformError(f"limits.memory_mb: {memory!r} is not a valid size")
    idle_close = ceilings.idle_close or DEFAULT_IDLE_CLOSE_S * 10**9
    if not 0 < idle_close < MAX_DURATION:
        raise PlatformError(f"settings.ceilings.idle_close: {idle_close} must be between 0 and 146 years")
    try:
        known = Listing(0, True, {}) if bytes(parsed.known) == bytes(_NULL) else parse_listing(parsed.known)
    except ListingError as problem:
        raise PlatformError(f"known: {problem}") from None
    try:
        settings = read_settings(seed, parsed.settings)
    except (WireError, ValueError) as problem:
        raise PlatformError(f"settings: {problem}") from None
    return PlatformConfig(
        name=parsed.name or "",
        listen=read_address(parsed.listen, "listen"),
        discovery=read_address(parsed.discovery, "discovery"),
        settings=settings,
        known=known,
        sockets=sockets,
        memory_mb=int(memory),
        idle_close=idle_close,
    )


def usable_sockets(configured: int, allowed: int | None) -> int:
    """Returns how many descriptors the process may hold; ``allowed``: by the system (None: any number).

    Raises ``PlatformError`` if they are too few.
    """
    if allowed is None or allowed >= configured:
        return configured
    if allowed < MIN_SOCKETS:
        raise PlatformError(f"limits.sockets: the system allows {allowed}, {MIN_SOCKETS} are needed at least")
    return allowed


def load_config(environment: Mapping[str, str]) -> PlatformConfig:
    """Loads the file that the environment names. Raises ``PlatformError`` naming the variable, or file and field."""
    if not (name := environment.get("NODE_CONFIG")):
        raise PlatformError("NODE_CONFIG is not set")
    try:
        document = Path(name).read_bytes()
    except OSError as problem:
        raise ConfigFileError(f"NODE_CONFIG: {problem}") from None
    try:
        return read_config(document)
    except PlatformError as problem:
        raise PlatformError(f"{name}: {problem}") from None


def needs_restart(current: PlatformConfig, new: PlatformConfig) -> list[str]:
    """Returns the changed fields that need a restart; the seed differs in each file and is not compared."""
    pairs = {
        "listen": (current.listen, new.listen),
        "limits.sockets": (current.sockets, new.sockets),
        "settings": (replace(current.settings, seed=0), replace(new.settings, seed=0)),
    }
    return [name for name, (before, after) in pairs.items() if before != after]


def specs(listing: Listing) -> list[ServerSpec]:
    """Returns the servers of a complete list."""
    return [spec for spec in listing.entries.values() if spec is not None]
