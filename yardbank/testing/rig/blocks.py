"""What plays in a scenario: the gateways and their clocks, the groups of servers, the load."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from yardbank.config.base import Duration, Model, StringTuple


class Fleet(Model):
    """The gateways, g1 to gN."""

    gateways: Annotated[int, Field(gt=0, le=64, strict=True)] = 4
    zones: StringTuple = ("norte", "sur")  # gateways and servers take them in turn
    durable: bool = True  # each keeps its state on disk
    stop_grace: Duration = 2_000_000_000
    peers: bool = False  # they know of each other
    period: Duration = 200_000_000  # between two of their probes
    channels: bool = False  # one carries the servers' positions, and what programs publish, for all
    rollout: bool = False  # changes go through them in stages; each runs under a supervisor
    atlas: bool = False  # they share a map of ways between zones
    publishers: StringTuple = ()  # gateways that may publish a list, which all hold a copy of
    term: Duration = 1_000_000_000  # of a lease
    overlap: Duration = 300_000_000  # of two holders, at a planned handing on
    settle: Duration = 60_000_000_000  # they may take so long to agree, once the load is over


class Program(Model):
    """Gateways that run another program than this one."""

    name: Literal["landed", "notices"]  # an older one, laid out at $YARDBANK_LANDED; the example that has channels
    who: StringTuple
    channels: Annotated[int, Field(gt=0, le=200, strict=True)] = 2  # notices-1 to notices-N

    def carried(self) -> list[str]:
        """Names of the channels that it owns and follows."""
        return [f"notices-{number}" for number in range(1, self.channels + 1)] if self.name == "notices" else []


class Clock(Model):
    """A gateway's clocks where they are not the machine's."""

    gateway: str
    rate: Annotated[float, Field(ge=0.1, le=10)] = 1.0  # its seconds in one second
    offset: Duration = 0  # its wall clock is ahead by so much
    behind: bool = False  # or behind


class Group(Model):
    """One group of stand-in servers, NAME-1 to NAME-N, in a process of its own; the first is its first primary."""

    name: Annotated[str, Field(pattern=r"^[a-z][a-z0-9]*$")]
    suffix: Annotated[str, Field(min_length=1)]
    servers: Annotated[int, Field(gt=0, le=20, strict=True)] = 2
    slots: Annotated[int, Field(gt=0, strict=True)] = 4
    read_time: Duration = 2_000_000
    write_time: Duration = 3_000_000
    ship: Duration = 5_000_000
    detect: Duration = 600_000_000  # until a silent primary is given up
    elect: Duration = 400_000_000

    def members(self) -> list[str]:
        """Names of the servers."""
        return [f"{self.name}-{number}" for number in range(1, self.servers + 1)]


class Load(Model):
    """Open loop: arrivals are drawn ahead and come whether or not earlier ones were answered."""

    clients: Annotated[int, Field(gt=0, le=1000, strict=True)] = 12
    rate: Annotated[float, Field(gt=0, le=5000)] = 120.0  # requests a second of the whole fleet
    length: Duration = 5_000_000_000
    longest: Duration = 0  # goes on up to this until all is quiet: steps over, processes up, rollouts settled
    rest: Duration = 2_000_000_000  # and so long beyond that
    uneven: Annotated[float, Field(ge=1, le=100)] = 1.0  # the first gateway has so many times the last one's clients
    writes: Annotated[float, Field(ge=0, le=1)] = 0.3
    session: Duration = 1_000_000_000  # a client's connection lives so long on average, then it goes elsewhere
    retries: Annotated[int, Field(ge=0, le=10, strict=True)] = 2
    backoff: Duration = 50_000_000  # before the first try anew; doubles, and is drawn between half and whole
    entries: Annotated[int, Field(gt=0, le=10_000, strict=True)] = 50
