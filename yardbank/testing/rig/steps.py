"""The fault steps of a scenario, and the fields that each kind of step accepts."""

from __future__ import annotations

from fnmatch import fnmatchcase
from typing import Annotated, Literal

from pydantic import Field, model_validator

from yardbank.config.base import Duration, Model, StringTuple

DATAGRAMS = ("lose", "double", "reorder")  # between gateways; TCP streams do not have these faults
NETWORK = ("cut", "delay", "throttle", "spoil", "lose", "double", "reorder")
GATEWAY = ("kill", "pause", "terminate")
ROLLOUT = ("rollout", "withdraw", "stop_rollout")
SERVER = ("crash", "hang", "slow", "full", "refuse", "lag", "hand_over", "lose_answers")
LIST = ("tell", "hold")
PUBLISH = ("publish",)  # changes entries of servers in the published list
CLIENT = ("leave",)
_REQUIRED_FIELDS = {
    "delay": "by",
    "throttle": "rate",
    "spoil": "share",
    "lose": "share",
    "double": "share",
    "reorder": "share",
    "leave": "share",
    "slow": "factor",
    "lag": "factor",
    "tell": "state",
    "lose_answers": "count",
    "rollout": "change",
}
_KINDS_BY_FIELD = {
    "by": ("delay",),
    "jitter": ("delay",),
    "rate": ("throttle",),
    "share": ("spoil", "lose", "double", "reorder", "leave"),
    "factor": ("slow", "lag"),
    "count": ("lose_answers",),
    "state": ("tell",),
    "store": ("kill", "terminate"),
    "how": ("cut",),
    "oneway": NETWORK,
    "from": NETWORK,
    "to": NETWORK,
    "who": (*GATEWAY, *SERVER, *LIST, *ROLLOUT, *PUBLISH),
    "gateways": ("tell", "leave"),
    "late": ("tell",),
    "means": ("leave",),
    "rollout": ROLLOUT,
    "change": ("rollout",),
    "stages": ("rollout",),
    "hold": ("rollout",),
    "most": ("rollout",),
    "outage": ("rollout",),
    "longest": ("rollout",),
    "worse_by": ("rollout",),
    "chance": ("rollout",),
}


class Step(Model):
    """One fault or operator action, temporary or permanent."""

    name: str
    do: Literal[
        "cut",
        "delay",
        "throttle",
        "spoil",
        "lose",
        "double",
        "reorder",
        "kill",
        "pause",
        "terminate",
        "crash",
        "hang",
        "slow",
        "full",
        "refuse",
        "lag",
        "hand_over",
        "lose_answers",
        "tell",
        "hold",
        "leave",
        "rollout",
        "withdraw",
        "stop_rollout",
        "publish",
    ]
    at: Duration = 0  # after the beginning of the load, or after what ``after`` names
    after: str = ""  # a step (its end) or an event such as "elected:GROUP"
    lasts: Duration = 0  # 0: permanent, or until ``until``
    until: str = ""  # a step or an event that ends it
    who: StringTuple = ()
    from_: StringTuple = Field(default=(), alias="from")
    to: StringTuple = ()
    oneway: bool = False
    how: Literal["silent", "reset"] = "silent"
    by: Duration = 0
    jitter: Duration = 0
    rate: Annotated[float, Field(ge=0)] = 0.0  # octets per second
    share: Annotated[float, Field(ge=0, le=1)] = 0.0
    factor: Annotated[float, Field(ge=0)] = 0.0
    count: Annotated[int, Field(ge=0, strict=True)] = 0  # committed writes whose answers are lost
    state: Literal["", "ready", "draining", "gone"] = ""
    store: Literal["kept", "lost", "damaged", "old"] = "kept"  # state of the gateway's store at its restart
    gateways: StringTuple = ("*",)  # gateways to notify, or whose clients depart
    late: Duration = 0  # delay of the notification after discovery has the change
    means: Literal["close", "reset", "abandon"] = "close"  # how clients depart
    rollout: Annotated[str, Field(pattern=r"^[a-z0-9-]{1,32}$")] = "change"  # name of the rollout
    change: Literal["in-service", "anew", "refuses", "locked-out", "one-class", "crashes"] = "in-service"
    stages: tuple[Annotated[float, Field(gt=0, le=1)], ...] = (0.2, 0.6, 1.0)
    hold: Duration = 1_000_000_000
    most: Annotated[int, Field(gt=0, strict=True)] = 1  # gateways out of service at once
    outage: Duration = 3_000_000_000  # longest time out of service of one gateway
    longest: Duration = 60_000_000_000  # longest wait for evidence in one stage
    chance: Annotated[float, Field(gt=0, le=0.5)] = 0.05  # of either wrong verdict; more of it gives a verdict sooner
    worse_by: Annotated[float, Field(gt=0, le=0.5)] = 0.2  # share of the requests of a class

    @model_validator(mode="after")
    def _check_fields(self) -> Step:
        given = {"from" if name == "from_" else name for name in self.model_fields_set}
        for field, kinds in _KINDS_BY_FIELD.items():
            if field in given and self.do not in kinds:
                raise ValueError(f'{field}: not for do = "{self.do}"')
        needed = _REQUIRED_FIELDS.get(self.do)
        if needed and needed not in given:
            raise ValueError(f'{needed}: missing for do = "{self.do}"')
        for field in ("from", "to") if self.do in NETWORK else () if self.do in (*ROLLOUT, *CLIENT) else ("who",):
            if field not in given:
                raise ValueError(f'{field}: missing for do = "{self.do}"')
        if self.lasts and self.until:
            raise ValueError("lasts and until: one of both")
        if self.do in ("hand_over", *ROLLOUT, *CLIENT, *PUBLISH) and (self.lasts or self.until):
            raise ValueError(f"{self.do} does not last")
        return self


def matching(patterns: tuple[str, ...], names: list[str]) -> list[str]:
    """The names that match any of the patterns (with ``*`` and ``?``), in the order of ``names``."""
    return [name for name in names if any(fnmatchcase(name, pattern) for pattern in patterns)]
