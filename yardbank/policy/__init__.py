"""The decisions of one gateway: events in, actions out, without I/O, clocks or threads of its own.

The consistency rule is WeScale's ReadAfterWrite: a session's token is the log position of its last write. The session's
reads go to a replica that is known to have reached that position, otherwise to the primary. The rest of the package
upholds that rule while servers fail, start, fall behind or are overloaded.

``Router`` holds the components and passes events to them. Each component owns its state and documents it:
``ServerTable`` (what is known of servers), ``Admission`` (which requests are admitted), ``Selection`` (which server is
chosen), ``SessionTokens`` (the position that a session must see) and ``WaitQueue`` (requests waiting for capacity).
The types of settings, events and actions are those of ``yardbank.interface``.
"""

from yardbank.policy.router import Router
from yardbank.policy.servers import FULL_LATENCY_RATIO, Server

__all__ = ["FULL_LATENCY_RATIO", "Router", "Server"]
