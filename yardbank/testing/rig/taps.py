"""What the relays note of the octets that cross them, for claims on single attempts and on clients that have gone.

No I/O: one tap for each connection, told what entered the way at its source and what left it at its target.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from yardbank.testing.audit.frames import OPERATIONS, MessageReader

Record = Callable[[dict[str, Any]], None]


class Tap(Protocol):
    """One connection's ear."""

    def entered(self, now: float, data: bytes) -> None:
        """The source has sent these octets, whatever the network does to them next."""

    def passed(self, now: float, data: bytes) -> None:
        """These octets were handed to the target."""

    def ended(self) -> None:
        """The target's connection was ended, as its source had ended it."""


class Attempts:
    """From a gateway to a server: when the first octet of each whole attempt left the gateway."""

    def __init__(self, record: Record, gateway: str, server: str) -> None:
        self._record, self._gateway, self._server = record, gateway, server
        self._frames = MessageReader()

    def entered(self, now: float, data: bytes) -> None:
        """Note what is whole now."""
        for message in self._frames.push(now, data):
            if message.operation in (*OPERATIONS.values(), "probe"):
                self._record(
                    {
                        "at": message.at,
                        "kind": "begun",
                        "gateway": self._gateway,
                        "server": self._server,
                        "tag": message.tag,
                        "op": message.operation,
                    }
                )

    def passed(self, now: float, data: bytes) -> None:
        """What becomes of it on its way is not the gateway's."""

    def ended(self) -> None:
        """Nor is this."""


class Departures:
    """From a client to a gateway: when its end, or its word that it wants no answer, reached the gateway's socket."""

    def __init__(self, record: Record, gateway: str, port: int) -> None:
        """``port``: the client's, by which the record names the connection."""
        self._record, self._facts = record, {"kind": "reached", "gateway": gateway, "port": port}
        self._frames = MessageReader()

    def entered(self, now: float, data: bytes) -> None:
        """It may yet be held back."""

    def passed(self, now: float, data: bytes) -> None:
        """Note requests that are given up."""
        for message in self._frames.push(now, data):
            if message.operation == "abandon":
                self._record({**self._facts, "what": "abandon", "message": message.target})

    def ended(self) -> None:
        """The client has gone."""
        self._record({**self._facts, "what": "end", "message": 0})
