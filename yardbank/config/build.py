"""Builds the parameters of the gateway from validated settings; ``yardbank.proxy`` builds those of the protocols."""

from __future__ import annotations

import secrets

from yardbank.config.fleet_position import FleetPosition
from yardbank.config.schema import Config
from yardbank.gateway.api import Limits, ServerSpec
from yardbank.interface import RequestClass, Settings

STRICT_READ, STRICT_WRITE = "strict-read", "strict-write"


def request_classes(config: Config) -> tuple[RequestClass, ...]:
    """The configured classes and the two strictest ones."""
    classes = [
        RequestClass(
            configured.name,
            configured.aim,
            configured.deadline,
            configured.worth,
            configured.late_worth,
            configured.effect,
            configured.scope,
            configured.window,
            configured.read,
            configured.staleness,
        )
        for configured in config.classes
    ]
    strict = config.strict
    classes.append(RequestClass(STRICT_READ, strict.aim, strict.deadline, 1.0, 0.2, "safe", read="fresh"))
    classes.append(RequestClass(STRICT_WRITE, strict.aim, strict.deadline, 1.0, 0.5, "unsafe", read="write"))
    return tuple(classes)


def settings(config: Config, workers: int = 1) -> Settings:
    """Settings of the router. Each worker counts as one gateway."""
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
    """Limits of one gateway."""
    return Limits(**config.limits.model_dump())


def servers(config: Config) -> tuple[ServerSpec, ...]:
    """Servers listed in the settings."""
    return tuple(
        ServerSpec(s.name, s.group, s.zone, s.address, s.port, s.primary, s.state, s.started, s.weight)
        for s in config.server
    )


def fleet_position(config: Config, worker: int, workers: int) -> FleetPosition:
    """Position of this gateway in the fleet, for plans and subsets. Each worker counts as one gateway."""
    block = config.membership
    index = config.gateway.index * workers + worker
    total = config.gateway.gateways * workers
    return FleetPosition(index, total, block.most_servers if block else 0, block.spares if block else 0)


def fleet_groups(config: Config) -> frozenset[str]:
    """Groups that a watched list may name."""
    return frozenset(group.name for group in config.group)
