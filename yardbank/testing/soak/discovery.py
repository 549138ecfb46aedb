"""The discovery service of the soak test: serves the server list on watches, with faults of the plan."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from yardbank.testing.soak.frames import ServerDrain
from yardbank.testing.soak.plan import DiscoveryFault

BLANK_INTERVAL_S = 2.0  # seconds between keep-alive lines on a watch
SILENT_WATCH_LIMIT_S = 6.0  # seconds after a watch fell silent from which the program counts as knowing what it missed
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Discovery:
    """Serves the list; calls ``drain_known`` with the times from which the program counts as knowing of a drain.

    That is at the latest when the drain is written to a watch; at once, or at the end of an outage, if no watch is open
    that was answered; and ``SILENT_WATCH_LIMIT_S`` after an open watch that misses it fell silent.
    """

    def __init__(self, instances: list[dict[str, Any]], drain_known: Callable[[ServerDrain], None]) -> None:
        self.generation = 41
        self.instances = instances
        self.is_down = False
        self.first_list_delay = 0.0  # seconds until a new watch is answered
        self.port = 0
        self._drain_known = drain_known
        self._unwritten_drains: set[str] = set()
        self._listening: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()  # those that were answered
        self._silent_since: dict[asyncio.StreamWriter, float] = {}

    async def listen(self) -> None:
        """Listens on a free port."""
        self._listening = await asyncio.start_server(self._watch, "127.0.0.1", 0)
        self.port = self._listening.sockets[0].getsockname()[1]

    def document(self) -> dict[str, Any]:
        """The complete list."""
        return {"generation": self.generation, "reset": True, "instances": self.instances}

    def drain(self, name: str) -> None:
        """Marks a server as draining and sends the list."""
        self._unwritten_drains.add(name)
        self.change(name, lifecycle="Terminating")
        if not self.is_down:
            self._report_unwritten()

    def _report_unwritten(self) -> None:
        """Drains that no watch has got count as known at once, or later if an open watch has fallen silent."""
        since = max(self._silent_since.values(), default=None)
        known_from = time.monotonic() if since is None else since + SILENT_WATCH_LIMIT_S
        for name in self._unwritten_drains:
            self._drain_known(ServerDrain(name, known_from))

    def change(self, name: str, **fields: Any) -> None:
        """Changes fields of a server's entry and sends the list."""
        self.instances = [
            {**instance, **fields} if instance["instanceId"] == name else instance for instance in self.instances
        ]
        self.generation += 1
        if not self.is_down:
            for writer in self._watches - self._silent_since.keys():
                self._send_list(writer)

    def begin(self, fault: DiscoveryFault) -> None:
        """Begins a fault."""
        if fault is DiscoveryFault.DOWN:
            self.is_down = True
        for writer in list(self._watches):
            if fault is DiscoveryFault.RESET:
                writer.transport.abort()
            else:
                self._silent_since.setdefault(writer, time.monotonic())

    def end(self, fault: DiscoveryFault) -> None:
        """Ends a fault; watches that it silenced stay silent."""
        if fault is DiscoveryFault.DOWN:
            self.is_down = False
            self._report_unwritten()

    def close(self) -> None:
        """Closes the service and all watches."""
        if self._listening is not None:
            self._listening.close()
        for writer in list(self._watches):
            writer.transport.abort()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(self.first_list_delay)
            if self.is_down:  # accepted but never answered
                await reader.read()
                return
            self._watches.add(writer)
            writer.write(RESPONSE_HEAD)
            self._send_list(writer)
            while not writer.is_closing():
                await asyncio.sleep(BLANK_INTERVAL_S)
                if writer not in self._silent_since:
                    writer.write(_chunk(b"\n"))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the watch or the run has ended
        finally:
            self._watches.discard(writer)
            self._silent_since.pop(writer, None)
            writer.close()

    def _send_list(self, writer: asyncio.StreamWriter) -> None:
        writer.write(_chunk(json.dumps(self.document()).encode() + b"\n"))
        for name in self._unwritten_drains:
            self._drain_known(ServerDrain(name, time.monotonic()))
        self._unwritten_drains.clear()
