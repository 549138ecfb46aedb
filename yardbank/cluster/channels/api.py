"""Public types of channels: options and events. Times are nanoseconds on the gateway's own clock."""

from __future__ import annotations

from dataclasses import dataclass

MS, SECOND = 1_000_000, 1_000_000_000
PREFIX = "channel/"  # of the lease resource of a channel
MAX_DATA = 900  # octets of one item, so that it fits in one datagram together with its header
MAX_CHANNELS = 512  # that one gateway owns, is a candidate for, or follows


@dataclass(slots=True, frozen=True)
class Options:
    """How channels run; must be the same on all gateways of the fleet."""

    fan_out: int = 4  # gateways to which each gateway forwards a feed
    most_queued: int = 1000  # items queued for a slow listener before the oldest are dropped
    every: int = 100 * MS  # interval at which the owner of a positions channel polls the servers
    alone_after: int = SECOND  # without positions for this long, a gateway polls the servers itself
    term: int = 3 * SECOND  # lease term
    overlap: int = 500 * MS  # time for which both owners may be active during a planned transfer
    rate: int = 64 * 1024  # octets of feeds that one gateway sends per second
    burst: int = 256 * 1024  # octets of feeds that one gateway sends in one burst

    def __post_init__(self) -> None:
        times = min(self.every, self.alone_after, self.term, self.overlap)
        if times <= 0 or self.fan_out < 2 or min(self.most_queued, self.rate, self.burst) < 1:
            raise ValueError(f"channel options are out of range or inconsistent: {self}")

    @property
    def heartbeat(self) -> int:
        """Interval between an owner's heartbeats to its standbys and children, in ns."""
        return max(20 * MS, min(500 * MS, self.term // 6))


@dataclass(slots=True, frozen=True)
class Delivered:
    """An item of a followed channel; items arrive in order, each once.

    ``owner`` and ``boot_epoch`` identify the gateway process that published it.
    """

    channel: str
    epoch: int
    sequence: int
    data: bytes
    owner: str = ""
    boot_epoch: int = 0


@dataclass(slots=True, frozen=True)
class Gap:
    """Items before the next one of ``epoch`` are missing.

    ``missing`` is their number; None means that some may be missing but the number is unknown.
    """

    channel: str
    epoch: int
    missing: int | None


@dataclass(slots=True, frozen=True)
class Owned:
    """This gateway has become the owner of the channel."""

    channel: str
    epoch: int


@dataclass(slots=True, frozen=True)
class Ended:
    """This gateway has stopped being the owner, with the reason."""

    channel: str
    epoch: int
    why: str


Event = Delivered | Gap | Owned | Ended


def resource(channel: str) -> str:
    """Returns the lease resource name of a channel."""
    return PREFIX + channel
