"""Checks which settings cannot change at run time. All others take effect on a reload."""

from __future__ import annotations

from yardbank.config import Config, build

FIXED_BLOCKS = (
    "listener",
    "backend",
    "gateway",
    "limits",
    "group",
    "membership",
    "state",
    "peers",
    "leases",
    "channels",
    "rollout",
    "atlas",
    "distribution",
)


def check_reload(old: Config, new: Config) -> None:
    """Raise ``ValueError`` naming the first changed block that cannot change at run time."""
    for block in FIXED_BLOCKS:
        if getattr(old, block) != getattr(new, block):
            raise _restart_required(block)
    if build.request_classes(old) != build.request_classes(new):
        raise _restart_required("class times")


def _restart_required(name: str) -> ValueError:
    return ValueError(f"{name}: cannot change in service; restart to apply it")
