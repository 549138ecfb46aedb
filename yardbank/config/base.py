"""What every checked file is made of: blocks that take no unknown keys, durations, lists of words."""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)")
_UNITS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}


def duration(value: Any) -> int:
    """Nanoseconds from words such as "500ms". Raises ``ValueError``."""
    if not isinstance(value, str):
        raise ValueError('a duration such as "500ms" or "3s" is wanted')  # noqa: TRY004  # pydantic takes ValueError as a fault of the text
    found = _DURATION.fullmatch(value)
    if found is None:
        raise ValueError(f'\'{value}\' is no duration such as "500ms" or "3s"')
    return round(float(found[1]) * _UNITS[found[2]])


def _list(value: Any) -> Any:
    return [value] if isinstance(value, str) else value


Duration = Annotated[int, BeforeValidator(duration)]  # nanoseconds
StringTuple = Annotated[tuple[str, ...], BeforeValidator(_list)]


class Model(BaseModel):
    """A block: unknown keys are errors, and no type is bent into another."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)
