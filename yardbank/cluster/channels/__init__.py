"""Named live feeds, each carried by one gateway for the whole fleet. Deciders without I/O, and one thin shell.

Who carries a channel holds its lease; who follows takes items by epoch and sequence. Off unless the settings have a
``channels`` block; the operators' platform never imports it.
"""

from yardbank.cluster.channels.api import Delivered, Ended, Gap, Options, Owned

__all__ = ["Delivered", "Ended", "Gap", "Options", "Owned"]
