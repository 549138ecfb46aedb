"""One watch of discovery's list: what is asked, and what its answer brings, as it comes. No I/O; HTTP by h11."""

from __future__ import annotations

from collections.abc import Iterator

import h11

from yardbank.platform.json_stream import StreamParser, Token
from yardbank.platform.listing import Listing, parse_listing

MAX_HEAD = 16 << 10  # of the head of an answer, of a chunk, of trailers; data are passed on as they come


class HttpError(ValueError):
    """The answer is no HTTP that is understood."""


class Watch:
    """One watch. ``answered``: the head of its answer is there; ``done``: the answer has ended."""

    def __init__(self, host: str, generation: int) -> None:
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD)
        self._parser = StreamParser()
        self.answered = self.done = False
        asked = h11.Request(
            method="GET",
            target=f"/discovery/hosts?stream=1&index={generation}",
            headers=[("Host", host), ("Accept", "application/json"), ("User-Agent", "yardbank")],
        )
        self.request = (self._http.send(asked) or b"") + (self._http.send(h11.EndOfMessage()) or b"")

    @property
    def waiting(self) -> int:
        """Octets of a list under way."""
        return self._parser.waiting

    def receive(self, data: bytes) -> Iterator[Listing | Token]:
        """Lists as they are whole, and signs of life between them, from octets in any split.

        Raises ``ValueError``: the watch is of no further use, and what had come whole before stands.
        """
        for part in self._body(data):
            for found in self._parser.feed(part):
                yield found if isinstance(found, Token) else parse_listing(found)

    def _body(self, data: bytes) -> Iterator[bytes]:
        if self.done:
            return
        try:
            self._http.receive_data(data)
            while not self.done:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    return
                if isinstance(event, h11.Response):
                    if event.status_code != 200:
                        raise HttpError(f"status {event.status_code}")
                    self.answered = True
                elif isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif not isinstance(event, h11.InformationalResponse):
                    self.done = True
        except h11.RemoteProtocolError as problem:
            raise HttpError(str(problem)) from None
