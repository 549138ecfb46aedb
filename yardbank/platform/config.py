"""What the platform tells a gateway: its environment and one JSON file. No I/O but the reading of that file."""

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

MAX_SECONDS_BETWEEN = 30  # an idle connection's end, where the settings do not say


LEAST_SOCKETS = 64


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


_NULL = msgspec.Raw(b"null")


class _Limits(msgspec.Struct):
    sockets: int | None = None
    memory_mb: float | int | None = None


class _Ceilings(msgspec.Struct):
    idle_close: int | None = None


class _Settings(msgspec.Struct):
    """Of the decision module's settings what the platform's side needs as well."""

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
    """``host:port``. Raises ``PlatformError`` naming what it was read for."""
    address = read_port(text)
    if address is None:
        raise PlatformError(f"{name}: {text[:100]!r} is not host:port")
    return Address(address[0].strip("[]"), address[1])


def read_config(document: bytes) -> PlatformConfig:
    """The configuration file's text. Raises ``PlatformError`` naming the field."""
    try:
        told = _read_document(document)
    except msgspec.ValidationError as problem:
        raise PlatformError(describe_fault(problem)) from None
    except msgspec.DecodeError as problem:
        raise PlatformError(f"not JSON: {problem}") from None
    try:
        own = msgspec.convert(told.settings, _Settings)
    except msgspec.ValidationError as problem:
        raise PlatformError(describe_fault(problem, "settings")) from None
    limits, ceilings = told.limits or _Limits(), own.ceilings or _Ceilings()
    try:
        seed = int(told.seed, 16)
    except ValueError:
        raise PlatformError(f"seed: {told.seed[:40]!r} is not hexadecimal") from None
    sockets = 1024 if limits.sockets is None else limits.sockets
    if sockets < LEAST_SOCKETS:
        raise PlatformError(f"limits.sockets: {sockets} is too few")
    memory = 128 if limits.memory_mb is None else limits.memory_mb
    if not 1 <= memory < MAX_DURATION:
        raise PlatformError(f"limits.memory_mb: {memory!r} is no size")
    idle_close = ceilings.idle_close or MAX_SECONDS_BETWEEN * 10**9
    if not 0 < idle_close < MAX_DURATION:
        raise PlatformError(f"settings.ceilings.idle_close: {idle_close} must not be negative, nor 146 years")
    try:
        known = Listing(0, True, {}) if bytes(told.known) == bytes(_NULL) else parse_listing(told.known)
    except ListingError as problem:
        raise PlatformError(f"known: {problem}") from None
    try:
        settings = read_settings(seed, told.settings)
    except (WireError, ValueError) as problem:
        raise PlatformError(f"settings: {problem}") from None
    return PlatformConfig(
        name=told.name or "",
        listen=read_address(told.listen, "listen"),
        discovery=read_address(told.discovery, "discovery"),
        settings=settings,
        known=known,
        sockets=sockets,
        memory_mb=int(memory),
        idle_close=idle_close,
    )


def usable_sockets(configured: int, allowed: int | None) -> int:
    """How many descriptors the process may hold where the system allows so many (None: any number).

    Raises ``PlatformError`` if they are too few.
    """
    if allowed is None or allowed >= configured:
        return configured
    if allowed < LEAST_SOCKETS:
        raise PlatformError(f"limits.sockets: the system allows {allowed}, {LEAST_SOCKETS} are needed at least")
    return allowed


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
