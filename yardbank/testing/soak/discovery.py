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
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Discovery:
    """Serves the list; calls ``drain_told`` for each drain that was written to a working watch."""

    def __init__(self, instances: list[dict[str, Any]], drain_told: Callable[[ServerDrain], None]) -> None:
        self.generation = 41
        self.instances = instances
        self.is_down = False
        self.port = 0
        self._drain_told = drain_told
        self._untold_drains: set[str] = set()
        self._listening: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listens on a free port."""
        self._listening = await asyncio.start_server(self._watch, "127.0.0.1", 0)
        self.port = self._listening.sockets[0].getsockname()[1]

    def document(self) -> dict[str, Any]:
        """The complete list."""
        return {"generation": self.generation, "reset": True, "instances": self.instances}

    def drain(self, name: str) -> None:
        """Marks a server as draining and sends the list."""
        for instance in self.instances:
            if instance["instanceId"] == name:
                instance["lifecycle"] = "Terminating"
        self.generation += 1
        self._untold_drains.add(name)
        if not self.is_down:
            for writer in self._watches - self._silent:
                self._send_list(writer)

    def change(self, name: str, **fields: Any) -> None:
        """Changes fields of a server's entry and sends the list."""
        for instance in self.instances:
            if instance["instanceId"] == name:
                instance.update(fields)
        self.generation += 1
        if not self.is_down:
            for writer in self._watches - self._silent:
                self._send_list(writer)

    def begin(self, fault: DiscoveryFault) -> None:
        """Begins a fault."""
        if fault is DiscoveryFault.DOWN:
            self.is_down = True
        for writer in list(self._watches):
            if fault is DiscoveryFault.RESET:
                writer.transport.abort()
            else:
                self._silent.add(writer)

    def end(self, fault: DiscoveryFault) -> None:
        """Ends a fault; watches that it silenced stay silent."""
        if fault is DiscoveryFault.DOWN:
            self.is_down = False

    def close(self) -> None:
        """Closes the service and all watches."""
        if self._listening is not None:
            self._listening.close()
        for writer in list(self._watches):
            writer.transport.abort()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._watches.add(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            if self.is_down:  # accepted but never answered
                self._silent.add(writer)
                await reader.read()
                return
            writer.write(RESPONSE_HEAD)
            self._send_list(writer)
            while not writer.is_closing():
                await asyncio.sleep(BLANK_INTERVAL_S)
                if writer not in self._silent:
                    writer.write(_chunk(b"\n"))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the watch or the run has ended
        finally:
            self._watches.discard(writer)
            self._silent.discard(writer)
            writer.close()

    def _send_list(self, writer: asyncio.StreamWriter) -> None:
        writer.write(_chunk(json.dumps(self.document()).encode() + b"\n"))
        for name in self._untold_drains:
            self._drain_told(ServerDrain(name, time.monotonic()))
        self._untold_drains.clear()
