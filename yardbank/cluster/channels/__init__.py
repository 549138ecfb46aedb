"""Named live feeds, each published by one gateway for the whole fleet.

The gateway that holds a channel's lease owns it and publishes items; followers order items by epoch and sequence
number. All modules except ``service`` and ``position_polling`` are free of I/O. The feature is off unless the settings
have a ``channels`` block, and ``yardbank.platform`` never imports it.
"""

from yardbank.cluster.channels.api import Delivered, Ended, Gap, Options, Owned

__all__ = ["Delivered", "Ended", "Gap", "Options", "Owned"]
