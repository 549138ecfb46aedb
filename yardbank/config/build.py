"""From checked settings to what the gateway is made with; what a protocol needs is made where the proxy is."""

from __future__ import annotations

import secrets

from yardbank.config.fleet_position import FleetPosition
from yardbank.config.schema import Config
from yardbank.gateway.api import Limits, ServerSpec
from yardbank.interface import RequestClass, Settings

STRICT_READ, STRICT_WRITE = "strict-read", "strict-write"


def request_classes(config: Config) -> tuple[RequestClass, ...]:
    """The configured classes and the two strictest ones."""
    found = [
        RequestClass(k.name, k.aim, k.deadline, k.worth, k.late_worth, k.effect, k.scope, k.window, k.read, k.staleness)
        for k in config.classes
    ]
    times = config.strict
    found.append(RequestClass(STRICT_READ, times.aim, times.deadline, 1.0, 0.2, "safe", read="fresh"))
    found.append(RequestClass(STRICT_WRITE, times.aim, times.deadline, 1.0, 0.5, "unsafe", read="write"))
    return tuple(found)


def settings(config: Config, workers: int = 1) -> Settings:
    """The decision module's settings; each worker is a gateway of its own."""
    gateway, limits = config.gateway, config.limits
    return Settings(
        seed=gateway.seed if gateway.seed is not None else secrets.randbits(48),
        zone=gateway.zone,
        gateways=gateway.gateways * workers,
        classes=request_classes(config),
        checks="none",
        tokens="remembered",
        tells_position=False,
        reports="probe",
        period=gateway.period,
        max_attempts=gateway.max_attempts,
        may_cancel=True,
        may_probe=True,
        connect_timeout=limits.connect_timeout,
        max_retry_after=gateway.max_retry_after,
        cold=gateway.cold,
        cold_share=gateway.cold_share,
    )


def limits(config: Config) -> Limits:
    """Bounds of one gateway."""
    return Limits(**config.limits.model_dump())


def servers(config: Config) -> tuple[ServerSpec, ...]:
    """The list of servers."""
    return tuple(
        ServerSpec(s.name, s.group, s.zone, s.address, s.port, s.primary, s.state, s.started, s.weight)
        for s in config.server
    )


def place(config: Config, worker: int, workers: int) -> FleetPosition:
    """This gateway's place among all, for plans and subsets; each worker is a gateway of its own."""
    block = config.membership
    index = config.gateway.index * workers + worker
    total = config.gateway.gateways * workers
    return FleetPosition(index, total, block.most_servers if block else 0, block.spares if block else 0)


def fleet_groups(config: Config) -> frozenset[str]:
    """Groups that a watched list may name."""
    return frozenset(group.name for group in config.group)
