"""What a scenario may do to the fleet, step by step, and which fields each kind of step takes."""

from __future__ import annotations

from fnmatch import fnmatchcase
from typing import Annotated, Literal

from pydantic import Field, model_validator

from yardbank.config.base import Duration, Model, StringTuple

DATAGRAMS = ("lose", "double", "reorder")  # of gateways to each other; a stream has none of it
NETWORK = ("cut", "delay", "throttle", "spoil", "lose", "double", "reorder")
GATEWAY = ("kill", "pause", "terminate")
ROLLOUT = ("rollout", "withdraw", "stop_rollout")
SERVER = ("crash", "hang", "slow", "full", "refuse", "lag", "hand_over", "lose_answers")
LIST = ("tell", "hold")
PUBLISH = ("publish",)  # servers get other entries in the list that is published
CLIENT = ("leave",)
_NEEDS = {
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
_MAY = {
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
    """One thing that goes wrong, for a while or for good."""

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
    at: Duration = 0  # from the load's beginning, or from what ``after`` names
    after: str = ""  # a step (when it is over) or an event such as "elected:GROUP"
    lasts: Duration = 0  # 0: for good, or until ``until``
    until: str = ""  # a step or an event that ends it
    who: StringTuple = ()
    from_: StringTuple = Field(default=(), alias="from")
    to: StringTuple = ()
    oneway: bool = False
    how: Literal["silent", "reset"] = "silent"
    by: Duration = 0
    jitter: Duration = 0
    rate: Annotated[float, Field(ge=0)] = 0.0  # octets a second
    share: Annotated[float, Field(ge=0, le=1)] = 0.0
    factor: Annotated[float, Field(ge=0)] = 0.0
    count: Annotated[int, Field(ge=0, strict=True)] = 0  # of committed writes whose answers are lost
    state: Literal["", "ready", "draining", "gone"] = ""
    store: Literal["kept", "lost", "damaged", "old"] = "kept"  # what the gateway finds when it is started again
    gateways: StringTuple = ("*",)  # who is told; whose clients leave
    late: Duration = 0  # they are told so long after discovery has it
    means: Literal["close", "reset", "abandon"] = "close"  # of clients that leave
    rollout: Annotated[str, Field(pattern=r"^[a-z0-9-]{1,32}$")] = "change"  # its name
    change: Literal["in-service", "anew", "refuses", "locked-out", "one-class", "crashes"] = "in-service"
    stages: tuple[Annotated[float, Field(gt=0, le=1)], ...] = (0.2, 0.6, 1.0)
    hold: Duration = 1_000_000_000
    most: Annotated[int, Field(gt=0, strict=True)] = 1  # out of service at once
    outage: Duration = 3_000_000_000  # one that goes over is back within this
    longest: Duration = 60_000_000_000  # to wait for evidence in one stage
    chance: Annotated[float, Field(gt=0, le=0.5)] = 0.05  # of either wrong verdict; more of it: a verdict sooner
    worse_by: Annotated[float, Field(gt=0, le=0.5)] = 0.2  # of the requests of a class

    @model_validator(mode="after")
    def _fitting(self) -> Step:
        given = {"from" if name == "from_" else name for name in self.model_fields_set}
        for field, kinds in _MAY.items():
            if field in given and self.do not in kinds:
                raise ValueError(f'{field}: not for do = "{self.do}"')
        needed = _NEEDS.get(self.do)
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
    """Names that any of the patterns (``*`` and ``?``) stands for, in their own order."""
    return [name for name in names if any(fnmatchcase(name, pattern) for pattern in patterns)]
