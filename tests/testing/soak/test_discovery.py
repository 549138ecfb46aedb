"""The soak's discovery: from when the program counts as knowing of a drain, by the state of its watch."""

import asyncio
import contextlib
import time

import pytest

from yardbank.testing.soak.discovery import SILENT_WATCH_LIMIT_S, Discovery
from yardbank.testing.soak.plan import DiscoveryFault

INSTANCES = [{"instanceId": name, "lifecycle": "Ready"} for name in ("s-0", "s-1")]


class Agent:
    """The soak's discovery and from when drains count as known."""

    def __init__(self):
        self.drains = []
        self.discovery = Discovery(INSTANCES, self.drains.append)

    async def watch(self):
        """Opens a watch and reads its first list, unless discovery is down."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.discovery.port)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        if not self.discovery.is_down:
            await reader.readuntil(b"]}\n\r\n")
        return writer

    def known_from(self):
        return [drain.known_from for drain in self.drains]


@contextlib.asynccontextmanager
async def agent():
    made = Agent()
    await made.discovery.listen()
    try:
        yield made
    finally:
        made.discovery.close()


def play(scene):
    """Runs a scene; its end is waited for before sockets are closed."""

    async def run():
        async with agent() as made:
            return await scene(made)

    return asyncio.run(run())


def test_a_drain_without_a_watch_is_known_at_once_and_again_when_it_is_written():
    async def scene(made):
        before = time.monotonic()
        made.discovery.drain("s-1")
        after = time.monotonic()
        await made.watch()
        return before, after, made.known_from()

    before, after, known_from = play(scene)
    assert before <= known_from[0] <= after <= known_from[1] and len(known_from) == 2


def test_a_drain_on_a_working_watch_is_known_when_it_is_written():
    async def scene(made):
        await made.watch()
        before = time.monotonic()
        made.discovery.drain("s-1")
        return before, time.monotonic(), made.known_from()

    before, after, (known_from,) = play(scene)
    assert before <= known_from <= after


@pytest.mark.parametrize("fault", [DiscoveryFault.SILENT, DiscoveryFault.DOWN])
def test_a_drain_that_a_silent_watch_misses_is_known_some_time_after_it_fell_silent(fault):
    async def scene(made):
        await made.watch()
        before = time.monotonic()
        made.discovery.begin(fault)
        after = time.monotonic()
        made.discovery.drain("s-1")
        made.discovery.end(fault)
        return before, after, made.known_from()

    before, after, (known_from,) = play(scene)
    assert before <= known_from - SILENT_WATCH_LIMIT_S <= after


def test_a_drain_during_an_outage_without_a_watch_is_known_at_its_end():
    async def scene(made):
        made.discovery.begin(DiscoveryFault.DOWN)
        await made.watch()
        made.discovery.drain("s-1")
        assert not made.drains
        before = time.monotonic()
        made.discovery.end(DiscoveryFault.DOWN)
        return before, time.monotonic(), made.known_from()

    before, after, (known_from,) = play(scene)
    assert before <= known_from <= after


def test_a_change_leaves_earlier_documents_as_they_were():
    discovery = Discovery(INSTANCES, lambda drain: None)
    known = discovery.document()
    discovery.drain("s-1")
    assert [each["lifecycle"] for each in known["instances"]] == ["Ready", "Ready"]
    assert [each["lifecycle"] for each in discovery.document()["instances"]] == ["Ready", "Terminating"]
