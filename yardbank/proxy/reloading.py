"""Which settings a gateway in service cannot change. Everything else takes effect on a reload."""

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
    """Raise ``ValueError`` naming the first block that differs and cannot change in service."""
    for block in FIXED_BLOCKS:
        if getattr(old, block) != getattr(new, block):
            raise _fixed(block)
    if build.request_classes(old) != build.request_classes(new):
        raise _fixed("class times")


def _fixed(name: str) -> ValueError:
    return ValueError(f"{name}: cannot change in service; restart to apply it")
