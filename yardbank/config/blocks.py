"""Settings blocks for the server list, the state, the peers, and the parts on the link between gateways.

Durations are in nanoseconds.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, model_validator

from yardbank.config.base import Duration, Model


class MembershipBlock(Model):
    """The watched list of servers. Paths are relative to the settings file."""

    path: Annotated[str, Field(min_length=1)]
    settle: Duration = 20_000_000
    patience: Duration = 2_000_000_000
    poll: Duration = 1_000_000_000
    most_servers: Annotated[int, Field(ge=0, strict=True)] = 0  # per group, used by one gateway; 0: all
    spares: Annotated[int, Field(ge=0, strict=True)] = 2  # further servers for when those fail
    model: str = ""  # model to plan with when the list changes, relative to the settings file; empty: no planning
    planning: Annotated[float, Field(gt=0, le=1)] = 0.05  # share of one core used for planning
    fade: Duration = 3_600_000_000_000  # age at which a plan begins to fade to equal shares


class StateBlock(Model):
    """Directory of the durable state, relative to the settings file."""

    path: Annotated[str, Field(min_length=1)]


class PeersBlock(Model):
    """The other gateways of the fleet; without it nothing is shared. Paths are relative to the settings file."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$")]  # of this gateway in the list of peers
    fleet: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$")] = "yardbank"
    address: str = "127.0.0.1"
    port: Annotated[int, Field(ge=0, le=65535, strict=True)]  # UDP
    list: Annotated[str, Field(min_length=1)]
    key: Annotated[str, Field(min_length=1)]  # file with one or two hexadecimal keys, one per line
    view: Annotated[str, Field(min_length=1)] = "peers-view.json"
    period: Duration = 1_000_000_000  # between two probes
    timeout: Duration = 200_000_000  # of a direct probe, before other gateways are asked to probe
    suspicion: Annotated[float, Field(gt=0, le=100)] = 4.0  # in periods, multiplied by the logarithm of the fleet size

    @model_validator(mode="after")
    def _check_times(self) -> PeersBlock:
        if not 0 < 2 * self.timeout <= self.period:
            raise ValueError("timeout must be positive and at most half of period")
        return self


class LeasesBlock(Model):
    """Leases on resources that only one gateway may hold: channels and permits of a rollout."""

    term: Duration = 3_000_000_000  # duration of a grant that is not renewed
    # Maximum relative rate difference between the clocks of two gateways.
    drift: Annotated[float, Field(ge=0, le=0.2)] = 0.02
    overlap: Duration = 500_000_000  # maximum time that both gateways hold a lease during a planned transfer
    voters: Annotated[int, Field(ge=1, le=7, strict=True)] = 3  # gateways that vote on each lease

    @model_validator(mode="after")
    def _check_times(self) -> LeasesBlock:
        if not 0 < 2 * self.overlap <= self.term:
            raise ValueError("overlap is nothing, or more than half of term")
        if self.voters % 2 == 0:
            raise ValueError("voters must be an odd number")
        return self


class ChannelsBlock(Model):
    """Feeds that one gateway subscribes to on behalf of the whole fleet."""

    # One gateway per group polls the positions of its servers and publishes them to the users of the group.
    positions: bool = False
    every: Duration = 100_000_000  # between two polls by the owner of the positions feed
    alone_after: Duration = 1_000_000_000  # a gateway without updates for this long polls the servers itself
    fan_out: Annotated[int, Field(ge=2, le=16, strict=True)] = 4  # gateways to which each gateway forwards a feed
    most_queued: Annotated[int, Field(gt=0, strict=True)] = 1000  # items of one channel queued for a slow subscriber


class RolloutBlock(Model):
    """Staged rollout of settings through the fleet. Paths are relative to the settings file."""

    file: Annotated[str, Field(min_length=1)] = "rollout.hcl"
    # A gateway that dies within this time after starting with a new version reverts by itself.
    young: Duration = 30_000_000_000
    beat: Duration = 0  # between two samples of the compared metrics; 0: derived from the fleet size


class DistributionBlock(Model):
    """Distribution of the server list over the link between gateways. Paths are relative to the settings file."""

    # Where the received list is written; a membership block may watch it.
    file: Annotated[str, Field(min_length=1)] = "distributed.hcl"
    source: str = ""  # the operator's list, for gateways that may publish it
    heartbeat: Duration = 1_000_000_000  # between two announcements of the version held


class AtlasBlock(Model):
    """The shared map of latencies between zones."""

    life: Duration = 60_000_000_000  # age at which a measurement of a path expires
    taken_up: Duration = 10_000_000_000  # time within which a lasting change of a path is followed
    # Share of the fleet's traffic that moves to a better path per second.
    step: Annotated[float, Field(gt=0, le=1)] = 0.1

    @model_validator(mode="after")
    def _check_times(self) -> AtlasBlock:
        if self.taken_up < 1_000_000_000 or not 2 * self.taken_up <= self.life <= 120_000_000_000:
            raise ValueError("taken_up must be at least 1s, and life between twice taken_up and 2m")
        return self
