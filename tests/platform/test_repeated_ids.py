"""Ids that come again: a write whose earlier request may have run does not run a second time."""

import pytest

from tests.support.platform import READ, READY, WRITE, World, answers_in, query
from yardbank.gateway import Reply
from yardbank.gateway.api import SECOND
from yardbank.platform.recent_effects import MAX_IDS, REMEMBERED_FOR, RecentEffects

FAILED = b"C58000\0"


def ask_again(world, text=WRITE):
    """Sends a statement on a new connection; returns what it was answered at once and how many attempts were made."""
    client, transport = world.connect()
    before = len(world.backend.out)
    client.dataReceived(query(text))
    return transport.value(), len(world.backend.out) - before


def written(world, text=WRITE):
    """Sends a statement of which an attempt is written; returns the connection, its transport and the attempt."""
    client, transport = world.connect()
    client.dataReceived(query(text))
    return client, transport, world.backend.out[-1][1]


# Guards against a write that runs twice because its client has left and its id comes again.
@pytest.mark.parametrize("delay", [0, 1, 20])
def test_a_write_whose_client_has_left_does_not_run_again(delay):
    world = World()
    client, _, _ = written(world)
    client.connectionLost()
    assert not world.factory.open_ids
    world.clock.advance(delay)
    answer, attempts = ask_again(world)
    assert FAILED in answer and answer.endswith(READY) and attempts == 0
    assert world.factory.recent_effects.repeated == 1


@pytest.mark.parametrize("reply", [Reply("ok", b"x"), Reply("error", reason="XX000")], ids=["served", "failed"])
def test_a_write_that_was_answered_does_not_run_again(reply):
    world = World()
    _, transport, receiver = written(world)
    receiver.attempt_done(reply)
    assert transport.value().endswith(READY)
    answer, attempts = ask_again(world)
    assert FAILED in answer and attempts == 0


def test_a_write_that_never_ran_may_come_again():
    world = World()
    world.gateway.apply_list([], 2)
    answer, attempts = ask_again(world)
    assert attempts == 0 and answer == b""  # it waits for a server
    world.clock.advance(4)
    assert not world.factory.open_ids and len(world.factory.recent_effects) == 0
    answer, _ = ask_again(world)
    assert FAILED not in answer


def test_a_read_may_come_again():
    world = World()
    client, _, _ = written(world, READ)
    client.connectionLost()
    _, attempts = ask_again(world, READ)
    assert attempts == 1


def test_the_answer_to_a_repeated_write_keeps_the_order_and_the_connection_goes_on():
    world = World(replicas=4)
    gone, _, _ = written(world)
    gone.connectionLost()
    client, transport = world.connect()
    client.dataReceived(query(READ.replace("7f3a", "other")) + query(WRITE) + query(READ.replace("a1", "b1")))
    assert transport.value() == b""
    for _, receiver in world.backend.out[1:]:
        receiver.attempt_done(Reply("ok", b"x"))
    first, _, last = answers_in(transport).split(READY)[:3]
    assert first == last == b"x" and answers_in(transport).count(FAILED) == 1


def test_ids_are_forgotten_after_their_time_and_beyond_their_number():
    now = [0]
    effects = RecentEffects(lambda: now[0])
    effects.add("first")
    now[0] = REMEMBERED_FOR
    assert effects.is_repeated("first") and not effects.is_repeated("second")
    now[0] += SECOND
    assert not effects.is_repeated("first")
    effects.add("second")
    assert len(effects) == 1
    for number in range(MAX_IDS):
        effects.add(f"{number}")
    assert len(effects) == MAX_IDS and effects.is_repeated("0") and not effects.is_repeated("second")
