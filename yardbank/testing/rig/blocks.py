"""Blocks of a scenario file: fleet, programs, clocks, server groups and load."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from yardbank.config.base import Duration, Model, StringTuple


class Fleet(Model):
    """The gateways, named g1 to gN."""

    gateways: Annotated[int, Field(gt=0, le=64, strict=True)] = 4
    zones: StringTuple = ("norte", "sur")  # assigned to gateways and servers in turn
    durable: bool = True  # each gateway keeps its state on disk
    stop_grace: Duration = 2_000_000_000
    peers: bool = False  # gateways exchange gossip messages
    period: Duration = 200_000_000  # interval between their probes
    channels: bool = False  # share server positions and published items among gateways
    rollout: bool = False  # staged changes of settings; each gateway runs under a supervisor
    atlas: bool = False  # share a map of latencies between zones
    publishers: StringTuple = ()  # gateways that may publish the server list; all hold copies
    term: Duration = 1_000_000_000  # duration of a lease
    overlap: Duration = 300_000_000  # time with two lease holders, at a planned transfer
    settle: Duration = 60_000_000_000  # longest wait after the load until gateways agree


class Program(Model):
    """Gateways that run a program other than this one."""

    name: Literal["landed", "notices"]  # the older one in $YARDBANK_LANDED; the example that publishes to channels
    who: StringTuple
    channels: Annotated[int, Field(gt=0, le=200, strict=True)] = 2  # notices-1 to notices-N

    def carried(self) -> list[str]:
        """The names of the channels that it owns and follows."""
        return [f"notices-{number}" for number in range(1, self.channels + 1)] if self.name == "notices" else []


class Clock(Model):
    """A gateway's clocks, if they differ from the machine's."""

    gateway: str
    rate: Annotated[float, Field(ge=0.1, le=10)] = 1.0  # its seconds per real second
    offset: Duration = 0  # its wall clock is ahead by this
    behind: bool = False  # the offset is backward


class Group(Model):
    """A group of stand-in servers, NAME-1 to NAME-N, in a process of its own. NAME-1 is the initial primary."""

    name: Annotated[str, Field(pattern=r"^[a-z][a-z0-9]*$")]
    suffix: Annotated[str, Field(min_length=1)]
    servers: Annotated[int, Field(gt=0, le=20, strict=True)] = 2
    slots: Annotated[int, Field(gt=0, strict=True)] = 4
    read_time: Duration = 2_000_000
    write_time: Duration = 3_000_000
    ship: Duration = 5_000_000
    detect: Duration = 600_000_000  # until an unresponsive primary is replaced by election
    elect: Duration = 400_000_000

    def members(self) -> list[str]:
        """The names of its servers."""
        return [f"{self.name}-{number}" for number in range(1, self.servers + 1)]


class Load(Model):
    """An open-loop load: arrivals are drawn in advance and do not depend on earlier answers."""

    clients: Annotated[int, Field(gt=0, le=1000, strict=True)] = 12
    rate: Annotated[float, Field(gt=0, le=5000)] = 120.0  # requests per second to the whole fleet
    length: Duration = 5_000_000_000
    longest: Duration = 0  # extends ``length`` until steps are over, processes up and rollouts settled
    rest: Duration = 2_000_000_000  # further load after that
    uneven: Annotated[float, Field(ge=1, le=100)] = 1.0  # clients of the first gateway, as a multiple of the last one's
    writes: Annotated[float, Field(ge=0, le=1)] = 0.3
    session: Duration = 1_000_000_000  # mean lifetime of a connection, before the client changes gateway
    retries: Annotated[int, Field(ge=0, le=10, strict=True)] = 2
    backoff: Duration = 50_000_000  # before the first retry; doubles each time, with jitter between half and all of it
    entries: Annotated[int, Field(gt=0, le=10_000, strict=True)] = 50
