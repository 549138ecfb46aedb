"""One HTTP watch of discovery's list: the request, and the lists parsed from the response as it arrives. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

import h11

from yardbank.platform.json_stream import StreamParser, Token
from yardbank.platform.listing import Listing, parse_listing

MAX_HEAD_OCTETS = 16 << 10  # for the response head, a chunk header and trailers; data is passed on as it arrives


class HttpError(ValueError):
    """The response is not valid or not successful HTTP."""


class Watch:
    """One watch. ``head_received``: the head of the response has arrived; ``done``: the response has ended."""

    def __init__(self, host: str, generation: int) -> None:
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_OCTETS)
        self._parser = StreamParser()
        self.head_received = self.done = False
        http_request = h11.Request(
            method="GET",
            target=f"/discovery/hosts?stream=1&index={generation}",
            headers=[("Host", host), ("Accept", "application/json"), ("User-Agent", "yardbank")],
        )
        self.request = (self._http.send(http_request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")

    @property
    def buffered_octets(self) -> int:
        """Octets of an incomplete list."""
        return self._parser.buffered_octets

    def receive(self, data: bytes) -> Iterator[Listing | Token]:
        """Takes octets, split anywhere; yields lists as they are complete, and signs of activity between them.

        Raises ``ValueError`` when the watch is unusable; lists that were yielded before remain valid.
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
                    self.head_received = True
                elif isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif not isinstance(event, h11.InformationalResponse):
                    self.done = True
        except h11.RemoteProtocolError as problem:
            raise HttpError(str(problem)) from None
