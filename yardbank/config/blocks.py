"""Blocks of the settings that say how gateways go together: lists, state, peers, and parts on their link."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, model_validator

from yardbank.config.base import Duration, Model


class MembershipBlock(Model):
    """Where the list of servers is watched; relative to the settings file."""

    path: Annotated[str, Field(min_length=1)]
    settle: Duration = 20_000_000
    patience: Duration = 2_000_000_000
    poll: Duration = 1_000_000_000
    most_servers: Annotated[int, Field(ge=0, strict=True)] = 0  # of a group, for one gateway; 0: all
    spares: Annotated[int, Field(ge=0, strict=True)] = 2  # beyond those, for when they fail
    model: str = ""  # what to plan by when the list changes, relative to the settings file; empty: never
    planning: Annotated[float, Field(gt=0, le=1)] = 0.05  # of one core, for that
    fade: Duration = 3_600_000_000_000  # so old, such a plan begins to give way to equal shares


class StateBlock(Model):
    """Where what outlives the process is kept; relative to the settings file."""

    path: Annotated[str, Field(min_length=1)]


class PeersBlock(Model):
    """The other gateways of the fleet; files are relative to the settings file. Without it nothing is shared."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$")]  # this gateway's, in the list
    fleet: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,31}$")] = "yardbank"
    address: str = "127.0.0.1"
    port: Annotated[int, Field(ge=0, le=65535, strict=True)]  # UDP
    list: Annotated[str, Field(min_length=1)]
    key: Annotated[str, Field(min_length=1)]  # one key or two, hexadecimal, a line each
    view: Annotated[str, Field(min_length=1)] = "peers-view.json"
    period: Duration = 1_000_000_000  # between two probes
    timeout: Duration = 200_000_000  # of a probe, before others are asked
    suspicion: Annotated[float, Field(gt=0, le=100)] = 4.0  # periods, times the logarithm of the fleet's size

    @model_validator(mode="after")
    def _times(self) -> PeersBlock:
        if not 0 < 2 * self.timeout <= self.period:
            raise ValueError("timeout is more than half of period")
        return self


class LeasesBlock(Model):
    """How long one gateway may hold what only one may hold; for channels and for permits of a rollout."""

    term: Duration = 3_000_000_000  # a grant lasts so long unless it is renewed
    drift: Annotated[float, Field(ge=0, le=0.2)] = 0.02  # two gateways' clocks run apart by at most this part
    overlap: Duration = 500_000_000  # at a planned handing on, both may hold it for so long at most
    voters: Annotated[int, Field(ge=1, le=7, strict=True)] = 3  # that decide on each

    @model_validator(mode="after")
    def _times(self) -> LeasesBlock:
        if not 0 < 2 * self.overlap <= self.term:
            raise ValueError("overlap is nothing, or more than half of term")
        if self.voters % 2 == 0:
            raise ValueError("voters: an odd number is wanted")
        return self


class ChannelsBlock(Model):
    """Feeds that one gateway carries for the whole fleet."""

    positions: bool = False  # where servers stand is asked by one gateway a group and told to all that use it
    every: Duration = 100_000_000  # between two askings of the positions' owner
    alone_after: Duration = 1_000_000_000  # a gateway that has heard nothing for so long asks for itself again
    fan_out: Annotated[int, Field(ge=2, le=16, strict=True)] = 4  # gateways that each hands a feed on to
    most_queued: Annotated[int, Field(gt=0, strict=True)] = 1000  # items of one channel kept for a slow listener


class RolloutBlock(Model):
    """Changes that go through the fleet in stages; files are relative to the settings file."""

    file: Annotated[str, Field(min_length=1)] = "rollout.hcl"
    young: Duration = 30_000_000_000  # one that dies this young on a new version goes back by itself
    beat: Duration = 0  # between two readings of figures that are compared; 0: by the size of the fleet


class DistributionBlock(Model):
    """The list of servers, carried to this gateway over the peers' link; files are relative to the settings file."""

    file: Annotated[str, Field(min_length=1)] = "distributed.hcl"  # written here; a membership block may watch it
    source: str = ""  # the operator's list, at gateways that may publish it
    heartbeat: Duration = 1_000_000_000  # between two announcements of the version that is held


class AtlasBlock(Model):
    """The shared map of what ways between zones cost."""

    life: Duration = 60_000_000_000  # so old, what was seen of a way counts no longer
    taken_up: Duration = 10_000_000_000  # a way that has changed for good is followed within this
    step: Annotated[float, Field(gt=0, le=1)] = 0.1  # of the fleet's choice, that moves to a better way in one second

    @model_validator(mode="after")
    def _times(self) -> AtlasBlock:
        if self.taken_up < 1_000_000_000 or not 2 * self.taken_up <= self.life <= 120_000_000_000:
            raise ValueError("taken_up is under 1s, or life not between twice taken_up and 2m")
        return self
