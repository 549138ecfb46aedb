"""The example program whose channels a scenario's gateways carry."""

from __future__ import annotations

from pathlib import Path

import yardbank

EXAMPLE = Path(yardbank.__file__).parent.parent / "examples" / "porting_notices.py"
PUBLISH_PERIOD_S = 0.1  # between two items of a channel
