"""Location and options of the example program that publishes to the channels of a scenario's gateways."""

from __future__ import annotations

from pathlib import Path

import yardbank

EXAMPLE = Path(yardbank.__file__).parent.parent / "examples" / "porting_notices.py"
PUBLISH_PERIOD_S = 0.1  # interval between two items of a channel
