"""Discovery's agent on one gateway's machine: the list and its watches, by the protocol page."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from review.standins.record import Record

BLANK_INTERVAL_S = 2.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Discovery:
    """Serves the list that it holds. While ``is_down`` it takes connections and says nothing, as a silent agent."""

    def __init__(self, record: Record, instances: list[dict[str, Any]], generation: int = 41) -> None:
        self.generation = generation
        self.instances = {one["instanceId"]: one for one in instances}
        self.is_down = False
        self.port = 0
        self.answer_delay_s = 0.0  # from a call until its answer
        self._record = record
        self._listening: asyncio.Server | None = None
        self._watches: set[asyncio.StreamWriter] = set()
        self._up = asyncio.Event()
        self._up.set()

    @property
    def address(self) -> str:
        """Where gateways reach it."""
        return f"127.0.0.1:{self.port}"

    async def listen(self, port: int) -> None:
        """Listens on a port."""
        self.port = port
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def document(self) -> dict[str, Any]:
        """The whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self.instances.values())}

    def change(self, entry: dict[str, Any]) -> None:
        """The agent gets a changed entry (``Gone``: removed) and passes it on, unless it is silent."""
        name = entry["instanceId"]
        if entry["lifecycle"] == "Gone":
            entry = {**self.instances.pop(name), **entry}
        else:
            entry = self.instances[name] = {**self.instances.get(name, {}), **entry}
        self.generation += 1
        self._record.note("discovery", f"has {self.generation}: {name} {entry['lifecycle']}")
        if not self.is_down:
            self._tell({"generation": self.generation, "reset": False, "instances": [entry]})

    def _tell(self, document: dict[str, Any]) -> None:
        for writer in self._watches:
            writer.write(_chunk(json.dumps(document).encode() + b"\n"))
            self._record.note("discovery", f"wrote {document['generation']} to a watch")

    def go_down(self) -> None:
        """Falls silent: nothing more is written, also on watches that are open."""
        self.is_down = True
        self._up.clear()
        self._record.note("discovery", "is down")

    def come_back(self) -> None:
        """Is back; open watches from before stay silent."""
        self.is_down = False
        self._watches.clear()
        self._up.set()
        self._record.note("discovery", "is back")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            if self.is_down:  # a connection that was taken while it was down is never answered
                await reader.read()
                return
            self._record.note("discovery", f"asked {head.split(b' ')[1].decode()}")
            await asyncio.sleep(self.answer_delay_s)
            whole = json.dumps(self.document()).encode() + b"\n"
            if b"stream=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole) + whole)
                return
            writer.write(HEAD + _chunk(whole))
            self._record.note("discovery", f"wrote the whole list {self.generation}")
            self._watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(BLANK_INTERVAL_S)
                if writer in self._watches and not self.is_down:
                    writer.write(_chunk(b"\n"))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    def stop_listening(self) -> None:
        """Accepts no new connection; open ones stay."""
        if self._listening is not None:
            self._listening.close()

    def close(self) -> None:
        """Ends it."""
        self.stop_listening()
        for writer in list(self._watches):
            writer.transport.abort()
