"""What a scenario claims, and which fields each kind of claim takes."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from yardbank.config.base import Duration, Model, StringTuple

PEERS = ("views", "belief", "unmoved")  # need gateways that know of each other
CHANNELS = ("owners", "followers", "owned_again", "steady")
ROLLOUT = ("stages", "stopped", "advanced")
DISTRIBUTION = ("distributed",)
TERMS = ("gone_clients", "cold_sum", "told")  # judged by single octets: the rig's own lateness is noted for them
_NEEDS = {
    "served": ("least",),
    "serves_again": ("after",),
    "owned_again": ("after",),
    "stages": ("most",),
    "steady": ("most",),
    "map": ("within",),
}
_MAY = {
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
    """What must hold, judged from the record when all is over."""

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
    least: Annotated[float, Field(ge=0, le=1)] = 0.0  # share, for "served"
    after: str = ""  # a step: counted from its end
    until: str = ""  # a step: counted up to its beginning
    who: StringTuple = ("*",)  # gateways
    request_class: str = ""
    most: Annotated[int, Field(ge=0, strict=True)] = 0  # gateways out together; changes of owner
    overlap: Duration | None = None  # of two owners; as the fleet's, if it is not given
    slack: Duration = 50_000_000  # of the rig's own recording
    tail: Duration = 1_000_000_000  # the load's last, in which each channel has one owner
    share: Annotated[float, Field(ge=0, le=1)] = 0.0  # of a way's round trip, that the map may be off
    within: Duration = 0  # or so much; from a client's leaving to an attempt; until all hold a version of the list
    late: Duration = 300_000_000  # a request that waited for its first attempt is sent on later than this
    cases: Annotated[int, Field(gt=0, strict=True)] = 3  # from this one on they are a break
    fewest: Annotated[int, Field(gt=0, strict=True)] = 5  # requests sent on late that may break the share
    multiple: Annotated[float, Field(gt=0)] = 2.5  # of what a cold server can do now
    window: Annotated[Duration, Field(gt=0)] = 1_500_000_000
    roots: Annotated[float, Field(ge=0)] = 2.0  # of the budget, put down to chance
    spare: Annotated[float, Field(ge=0)] = 2.0  # calls, beside them
    bound: Duration = 6_000_000_000  # a change counts as told so long after discovery had it, if it was not written
    grace: Duration = 500_000_000  # of a drain

    @model_validator(mode="after")
    def _fitting(self) -> Claim:
        for field in _NEEDS.get(self.kind, ()):
            if not getattr(self, field) and (field != "most" or field not in self.model_fields_set):
                raise ValueError(f'{field}: missing for kind = "{self.kind}"')
        for field in sorted(self.model_fields_set & _MAY.keys()):
            if self.kind not in _MAY[field]:
                raise ValueError(f'{field}: not for kind = "{self.kind}"')
        return self
