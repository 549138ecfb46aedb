"""yardbank: routing of reads and writes in a replicated store, read-after-write at session level."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from yardbank.interface import Settings
    from yardbank.policy import Router

__all__ = ["Router", "Settings"]


def __getattr__(name: str) -> Any:
    """Load the decision module when it is asked for: programs have signals to mind before that."""
    if name == "Router":
        from yardbank.policy import Router

        return Router
    if name == "Settings":
        from yardbank.interface import Settings

        return Settings
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
