"""yardbank: splits reads and writes across primaries and replicas, with read-after-write consistency per session."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from yardbank.interface import Settings
    from yardbank.policy import Router

__all__ = ["Router", "Settings"]


def __getattr__(name: str) -> Any:
    """Import the decision module on first use: programs set up signal handling before that."""
    if name == "Router":
        from yardbank.policy import Router

        return Router
    if name == "Settings":
        from yardbank.interface import Settings

        return Settings
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
