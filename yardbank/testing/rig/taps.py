"""Observers of relayed connections, for claims on single attempts and on departed clients.

No I/O: each connection has one tap, which gets the octets sent by the source and those delivered to the target.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from yardbank.testing.audit.frames import OPERATIONS, MessageReader

Record = Callable[[dict[str, Any]], None]


class Tap(Protocol):
    """Observes one connection."""

    def octets_sent(self, now: float, data: bytes) -> None:
        """The source has sent these octets; the network may still change or delay them."""

    def octets_delivered(self, now: float, data: bytes) -> None:
        """These octets were delivered to the target."""

    def closed(self) -> None:
        """The connection to the target was closed, because the source closed its own."""


class AttemptTap:
    """Gateway to server: records the time at which the first octet of each complete attempt was sent."""

    def __init__(self, record: Record, gateway: str, server: str) -> None:
        self._record, self._gateway, self._server = record, gateway, server
        self._reader = MessageReader()

    def octets_sent(self, now: float, data: bytes) -> None:
        """Records complete messages."""
        for message in self._reader.push(now, data):
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

    def octets_delivered(self, now: float, data: bytes) -> None:
        """Ignored: the gateway does not control delivery."""

    def closed(self) -> None:
        """Ignored, for the same reason."""


class DepartureTap:
    """Client to gateway: records when its end of stream, or a cancellation, reached the gateway's socket."""

    def __init__(self, record: Record, gateway: str, port: int) -> None:
        """``port``: the client's port, which identifies the connection in the record."""
        self._record, self._facts = record, {"kind": "reached", "gateway": gateway, "port": port}
        self._reader = MessageReader()

    def octets_sent(self, now: float, data: bytes) -> None:
        """Ignored: the octets may be delayed before they reach the gateway."""

    def octets_delivered(self, now: float, data: bytes) -> None:
        """Records cancelled requests."""
        for message in self._reader.push(now, data):
            if message.operation == "abandon":
                self._record({**self._facts, "what": "abandon", "message": message.target})

    def closed(self) -> None:
        """Records the departure of the client."""
        self._record({**self._facts, "what": "end", "message": 0})
