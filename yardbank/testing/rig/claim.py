"""The claims of a scenario, and the fields that each kind of claim accepts."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from yardbank.config.base import Duration, Model, StringTuple

PEER_CLAIMS = ("views", "belief", "unmoved")  # these need gateways with a peer list
CHANNEL_CLAIMS = ("owners", "followers", "owned_again", "steady")
ROLLOUT_CLAIMS = ("stages", "stopped", "advanced")
DISTRIBUTION_CLAIMS = ("distributed",)
# Judged by times of single octets, so the rig records its own delays for them.
TIMED_CLAIMS = ("gone_clients", "cold_sum", "told")
_REQUIRED_FIELDS = {
    "served": ("least",),
    "serves_again": ("after",),
    "owned_again": ("after",),
    "stages": ("most",),
    "steady": ("most",),
    "map": ("within",),
}
_KINDS_BY_FIELD = {
    "least": ("served",),
    "request_class": ("served",),
    "who": ("alive", "serves_again", "stopped", "advanced"),
    "after": ("served", "serves_again", "owned_again", "steady"),
    "until": ("served", "steady"),
    "most": ("stages", "steady"),
    "overlap": ("owners",),
    "slack": ("owners",),
    "tail": ("owned_again",),
    "share": ("map", "gone_clients"),
    "within": ("map", "gone_clients", "distributed"),
    "late": ("gone_clients",),
    "cases": ("gone_clients",),
    "fewest": ("gone_clients",),
    "multiple": ("cold_sum",),
    "window": ("cold_sum",),
    "roots": ("cold_sum",),
    "spare": ("cold_sum",),
    "bound": ("told",),
    "grace": ("told",),
}


class Claim(Model):
    """A condition that is checked against the record after the run."""

    name: str
    kind: Literal[
        "rules",
        "alive",
        "served",
        "serves_again",
        "views",
        "belief",
        "unmoved",
        "owners",
        "followers",
        "owned_again",
        "steady",
        "stages",
        "stopped",
        "advanced",
        "map",
        "gone_clients",
        "cold_sum",
        "told",
        "distributed",
    ]
    least: Annotated[float, Field(ge=0, le=1)] = 0.0  # share of operations, for "served"
    after: str = ""  # a step, from whose end the claim applies
    until: str = ""  # a step, until whose beginning the claim applies
    who: StringTuple = ("*",)  # gateways
    request_class: str = ""
    most: Annotated[int, Field(ge=0, strict=True)] = 0  # gateways out of service together, or changes of owner
    overlap: Duration | None = None  # allowed time with two owners; default: the fleet's overlap
    slack: Duration = 50_000_000  # allowance for the rig's recording delay
    tail: Duration = 1_000_000_000  # last part of the load, in which each channel has one owner
    share: Annotated[float, Field(ge=0, le=1)] = 0.0  # allowed error of a round trip; share of late requests
    within: Duration = 0  # absolute error; or time from departure to attempt, or until all hold a list version
    late: Duration = 300_000_000  # a waiting request first sent later than this after the departure counts as late
    cases: Annotated[int, Field(gt=0, strict=True)] = 3  # this many cases, or more, violate the claim
    fewest: Annotated[int, Field(gt=0, strict=True)] = 5  # late requests from which the share applies
    multiple: Annotated[float, Field(gt=0)] = 2.5  # factor of a cold server's present capacity
    window: Annotated[Duration, Field(gt=0)] = 1_500_000_000
    roots: Annotated[float, Field(ge=0)] = 2.0  # square roots of the budget, allowed for random variation
    spare: Annotated[float, Field(ge=0)] = 2.0  # further calls allowed
    bound: Duration = 6_000_000_000  # after discovery has a change, a gateway counts as notified, if not sent sooner
    grace: Duration = 500_000_000  # after the notification of a drain

    @model_validator(mode="after")
    def _check_fields(self) -> Claim:
        for field in _REQUIRED_FIELDS.get(self.kind, ()):
            if not getattr(self, field) and (field != "most" or field not in self.model_fields_set):
                raise ValueError(f'{field}: missing for kind = "{self.kind}"')
        for field in sorted(self.model_fields_set & _KINDS_BY_FIELD.keys()):
            if self.kind not in _KINDS_BY_FIELD[field]:
                raise ValueError(f'{field}: not for kind = "{self.kind}"')
        return self
