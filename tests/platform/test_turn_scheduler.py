"""Work of one turn of the event loop: its bound, and the order in which connections are served."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.platform import READ, READY, START, WRITE, World, query
from yardbank.gateway import Reply
from yardbank.platform.turn_scheduler import STEPS_PER_TURN, STEPS_PER_VISIT, VISITS_PER_BUSY_CONNECTION, TurnScheduler

COMMANDS_PER_TURN = STEPS_PER_TURN // 2
REFUSED = READ.replace("cluster=2", "cluster=9")  # no server has this group: refused at once
BAD_CLIENTS, COMMANDS = 100, 30


class Turns:
    """A scheduler whose turns the test starts."""

    def __init__(self):
        self.next = []
        self.scheduler = TurnScheduler(self.next.append)

    def turn(self):
        """Plays the next turn; returns whether one was scheduled."""
        due, self.next[:] = list(self.next), []
        for call in due:
            call()
        return bool(due)


class Worker:
    """Has some steps to do; notes each in ``steps``."""

    def __init__(self, turns, number, left, steps):
        self._scheduler, self.number, self.left, self._steps = turns.scheduler, number, left, steps

    def work(self):
        while self.left:
            if not self._scheduler.may_step(self):
                self._scheduler.defer(self)
                return
            self._scheduler.stepped(self)
            self.left -= 1
            self._steps.append(self.number)
        self._scheduler.idle(self)


@given(st.lists(st.integers(0, 300), max_size=30))
def test_all_steps_are_taken_and_no_turn_takes_more_than_its_share(amounts):
    turns, steps = Turns(), []
    workers = [Worker(turns, number, amount, steps) for number, amount in enumerate(amounts)]
    for worker in workers:
        worker.work()
    assert len(steps) == min(sum(amounts), STEPS_PER_TURN)
    before = len(steps)
    while turns.turn():
        assert len(steps) - before <= STEPS_PER_TURN
        before = len(steps)
    assert len(steps) == sum(amounts) and not turns.scheduler.waiting_count
    assert [steps.count(number) for number in range(len(amounts))] == amounts


def test_connections_with_little_to_do_come_first_and_the_others_are_not_forgotten():
    turns, steps = Turns(), []
    for number in range(4):
        Worker(turns, number, 1000, steps).work()
    turns.turn()
    quick = [Worker(turns, number, 1, steps) for number in range(100, 120)]
    for worker in quick:
        worker.work()
    del steps[:]
    turns.turn()
    assert all(worker.left == 0 for worker in quick)
    at = [index for index, number in enumerate(steps) if number >= 100]
    between = [index for index in range(at[-1]) if steps[index] < 100]
    assert at[0] == 0 and len(between) == 2 * (len(quick) // (VISITS_PER_BUSY_CONNECTION - 1))


def test_a_connection_that_has_ended_is_not_visited():
    turns, steps = Turns(), []
    first, second = (Worker(turns, number, 1000, steps) for number in range(2))
    first.work()
    second.work()
    turns.scheduler.discard(second)
    while turns.turn():
        pass
    assert first.left == 0 and second.left == 1000


def flooded(text):
    """A world in which many clients have sent many commands in one turn; returns it, their transports and the turns."""
    world, turns = World(connections=300), Turns()
    world.factory.turns = turns.scheduler
    made = [world.connect() for _ in range(BAD_CLIENTS)]
    while turns.turn():
        pass
    for number, (client, transport) in enumerate(made):
        transport.clear()
        client.dataReceived(b"".join(query(text.replace("id=a", f"id={number}-{at}-")) for at in range(COMMANDS)))
    return world, [transport for _, transport in made], turns


def answers(transports):
    return sum(transport.value().count(READY) for transport in transports)


# Guards against a turn that lasts until all commands of all clients are answered: timers and other clients wait for it.
@pytest.mark.parametrize("text", [REFUSED, ""], ids=["refused", "empty"])
def test_a_turn_answers_a_bounded_number_of_commands_whatever_was_received(text):
    _, transports, turns = flooded(text)
    assert answers(transports) <= STEPS_PER_TURN
    before = answers(transports)
    while turns.turn():
        assert answers(transports) <= before + STEPS_PER_TURN
        before = answers(transports)
    assert before == BAD_CLIENTS * COMMANDS


# Guards against an answer that sets off a chain: the next command is refused, and the one after it, to the last.
def test_an_answer_does_not_refuse_all_commands_behind_it_in_the_same_turn():
    world, turns = World(connections=300), Turns()
    world.factory.turns = turns.scheduler
    client, transport = world.connect()
    client.dataReceived(query(READ) + b"".join(query(WRITE.replace("id=a2", f"id=w{at}")) for at in range(200)))
    while turns.turn():
        pass
    ((_, receiver),) = world.backend.out  # the others wait for it, as they write the same row
    world.gateway.stop()  # from now on everything is refused
    receiver.attempt_done(Reply("ok", b"x"))
    assert 1 <= transport.value().count(READY) <= 1 + STEPS_PER_TURN
    while turns.turn():
        pass
    assert transport.value().count(READY) == 201


# Guards against a usual client whose request waits for hundreds of commands of others.
def test_a_usual_request_is_dispatched_once_each_of_the_others_had_one_command_processed():
    world, transports, turns = flooded(REFUSED)
    usual, transport = world.connect(b"")
    usual.dataReceived(START + query(READ.replace("a1", "usual")))
    visits = BAD_CLIENTS * VISITS_PER_BUSY_CONNECTION // (VISITS_PER_BUSY_CONNECTION - 1)
    for _ in range(visits * STEPS_PER_VISIT // STEPS_PER_TURN + 1):
        turns.turn()
    ((operation, receiver),) = world.backend.out
    assert operation.statement.id == "usual"
    receiver.attempt_done(Reply("ok", b"x"))
    assert transport.value().endswith(b"x" + READY)
    assert answers(transports) < BAD_CLIENTS * COMMANDS // 2


# Guards against memory that fills with what waits for a later turn.
def test_a_connection_is_not_read_while_its_commands_wait_for_a_later_turn():
    _, transports, turns = flooded(REFUSED)
    assert sum(transport.producerState == "paused" for transport in transports) >= BAD_CLIENTS - 2
    while turns.turn():
        pass
    assert all(transport.producerState == "producing" for transport in transports)


# Guards against commands that were read, wait for a later turn, and are lost when their connection closes.
@pytest.mark.parametrize("played", [0, 1, 10])
def test_commands_that_wait_for_a_later_turn_are_answered_before_the_gateway_ends(played):
    world, transports, turns = flooded(REFUSED)
    world.factory.close_idle()
    for _ in range(played):
        turns.turn()
    ended = []
    world.gateway.stop().addCallback(ended.append)
    assert ended and answers(transports) < BAD_CLIENTS * COMMANDS
    world.factory.close_all(lambda: None)
    assert answers(transports) == BAD_CLIENTS * COMMANDS
    assert world.factory.counts["closed_unanswered"] == 0


def test_a_connection_with_commands_that_wait_for_a_later_turn_is_not_closed_as_idle_or_incomplete():
    world, transports, turns = flooded(REFUSED)
    waiting = world.factory.turns.waiting_count
    assert waiting and len(world.factory.admission.closable()) <= BAD_CLIENTS - waiting
    assert not world.factory.admission.timed_out(world.gateway.now() + 60 * 10**9)[BAD_CLIENTS - waiting :]
    while turns.turn():
        pass
    assert answers(transports) == BAD_CLIENTS * COMMANDS
