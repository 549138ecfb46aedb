"""What users of channels see: options, and what happens to a channel here. Times in nanoseconds of one's own clock."""

from __future__ import annotations

from dataclasses import dataclass

MS, SECOND = 1_000_000, 1_000_000_000
PREFIX = "channel/"  # of a channel's resource
MAX_DATA = 900  # octets of an item: it fits one datagram with its head
MAX_CHANNELS = 512  # that one gateway would own or follows


@dataclass(slots=True, frozen=True)
class Options:
    """How channels run; the same over the whole fleet."""

    fan_out: int = 4  # gateways that each forwards a feed to
    most_queued: int = 1000  # items queued for a slow listener
    every: int = 100 * MS  # between two polls by the positions' owner
    alone_after: int = SECOND  # without positions for so long a gateway polls for itself again
    term: int = 3 * SECOND  # of a lease
    overlap: int = 500 * MS  # of two owners, at a planned transfer
    rate: int = 64 * 1024  # octets of feeds that one gateway sends in a second
    burst: int = 256 * 1024  # and at once

    def __post_init__(self) -> None:
        times = min(self.every, self.alone_after, self.term, self.overlap)
        if times <= 0 or self.fan_out < 2 or min(self.most_queued, self.rate, self.burst) < 1:
            raise ValueError(f"options of channels do not fit together: {self}")

    @property
    def heartbeat(self) -> int:
        """Between two heartbeats of an owner to its heirs and children, ns."""
        return max(20 * MS, min(500 * MS, self.term // 6))


@dataclass(slots=True, frozen=True)
class Delivered:
    """An item of a channel that is followed here: in order, each once. ``owner`` and ``boot_epoch``: who carried it."""

    channel: str
    epoch: int
    sequence: int
    data: bytes
    owner: str = ""
    boot_epoch: int = 0


@dataclass(slots=True, frozen=True)
class Gap:
    """Items are missing before the next one of ``epoch``. ``missing``: how many; None: perhaps some, nobody knows."""

    channel: str
    epoch: int
    missing: int | None


@dataclass(slots=True, frozen=True)
class Owned:
    """This gateway owns the channel from now on."""

    channel: str
    epoch: int


@dataclass(slots=True, frozen=True)
class Ended:
    """It owns it no longer, and why."""

    channel: str
    epoch: int
    why: str


Event = Delivered | Gap | Owned | Ended


def resource(channel: str) -> str:
    """The name under which a channel is leased."""
    return PREFIX + channel
