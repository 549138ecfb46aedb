"""The decisions of one gateway: events in, actions out, without I/O, clocks or threads of its own.

The rule is WeScale's ReadAfterWrite: a session's token is the log position of its last write. The session's reads
go to a replica that is known to have reached that position, else to the primary. Everything else here keeps that
rule standing while servers fail, start, fall behind or are overloaded.

``Router`` holds the parts and passes events along; each part owns its state and says so at its top:
``ServerTable`` (what is known of servers), ``Admission`` (what is let through), ``Selection`` (which server),
``SessionTokens`` (what a session must see) and ``WaitQueue`` (requests that wait for capacity).
The types of settings, events and actions are those of ``yardbank.interface``.
"""

from yardbank.policy.router import Router
from yardbank.policy.servers import FULL_LATENCY_RATIO, Server

__all__ = ["FULL_LATENCY_RATIO", "Router", "Server"]
