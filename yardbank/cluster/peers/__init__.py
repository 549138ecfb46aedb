"""Gossip between gateways: membership, counters and health reports. State machines without I/O, and one UDP transport.

Off unless the settings have a ``peers`` block; the operators' platform never imports it.
"""


class PeersError(OSError):
    """Gossip cannot start; the message is one line that says why."""
