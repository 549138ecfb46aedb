"""Building blocks of the schemas of HCL files: models that reject unknown keys, durations, lists of strings."""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(us|ms|s|m|h)")
_UNITS = {"us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "m": 60_000_000_000, "h": 3_600_000_000_000}


def duration(value: Any) -> int:
    """Parse text such as "500ms" into nanoseconds. Raises ``ValueError``."""
    if not isinstance(value, str):
        raise ValueError('a duration such as "500ms" or "3s" is wanted')  # noqa: TRY004  # pydantic turns ValueError, not TypeError, into a validation error
    match = _DURATION.fullmatch(value)
    if match is None:
        raise ValueError(f'\'{value}\' is not a duration such as "500ms" or "3s"')
    return round(float(match[1]) * _UNITS[match[2]])


def _as_list(value: Any) -> Any:
    return [value] if isinstance(value, str) else value


Duration = Annotated[int, BeforeValidator(duration)]  # nanoseconds
StringTuple = Annotated[tuple[str, ...], BeforeValidator(_as_list)]


class Model(BaseModel):
    """Base of all blocks. Unknown keys are errors; values are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)
