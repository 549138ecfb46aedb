"""The soak test's rule checks on handmade records: a good record passes, and each violation is found."""

import pytest

from yardbank.testing.soak.frames import (
    ClientConnection,
    End,
    Play,
    Process,
    ReceivedAttempt,
    SentRequest,
    ServerDrain,
)
from yardbank.testing.soak.judge import judge
from yardbank.testing.soak.plan import draw


def good_play():
    """A record with a served read and a served write; the process exits in time."""
    process = Process(10.0, 13.7, 11.2, 0, 45.0, 64, 60, 96)
    play = Play(1, process, 0.0)
    play.connections[0] = ClientConnection(0, 1.0, "plain", End.ENDED, 10.7, 10.7)
    for number, write in (("r1", False), ("w1", True)):
        play.requests[number] = SentRequest(number, 0, 2.0, 0.5, write, 2.1, ["served"], number)
        play.attempts.append(ReceivedAttempt(number, "s-1", 2.01, 2.01, 0.48, write, True))
    return play


def rules(play):
    return [violation.rule for violation in judge(play)]


def unanswered(play, sent_at, end, ended_at, ended_by_gateway_at=None):
    play.connections[1] = ClientConnection(1, 1.0, "plain", end, ended_at, ended_by_gateway_at)
    play.requests["r2"] = SentRequest("r2", 1, sent_at, 0.5, False)


def test_a_good_record_has_no_violation():
    assert not judge(good_play())


def test_a_dropped_answer_is_found_and_a_request_crossing_the_end_is_allowed():
    for sent_at, found in ((10.69, []), (10.3, ["one answer"])):
        play = good_play()
        unanswered(play, sent_at, End.ENDED, 10.7, 10.7)
        assert rules(play) == found
    play.attempts.append(ReceivedAttempt("r2", "s-1", 10.69, 10.69, 0.3, False, True))
    play.requests["r2"].sent_at = 10.69
    assert rules(play) == ["one answer"]  # it was forwarded, so it did not cross


@pytest.mark.parametrize("end", [End.OPEN, End.RESET])
def test_a_request_that_the_kill_or_a_reset_leaves_unanswered_is_found(end):
    play = good_play()
    unanswered(play, 9.0, end, 13.7 if end is End.RESET else 0.0)
    assert rules(play) == ["one answer"]


def test_a_second_answer_a_wrong_answer_and_a_late_answer_are_found():
    play = good_play()
    play.requests["r1"].answers.append("served")
    assert rules(play) == ["one answer"]
    play = good_play()
    play.requests["r1"].content = "w1"
    assert rules(play) == ["one answer"]
    play = good_play()
    play.requests["w1"].answered_at = 3.4
    assert rules(play) == ["in time"]


def test_a_repeated_write_is_found_unless_it_is_within_its_window():
    for window, after, found in ((0.0, 0.01, ["no effect twice"]), (0.4, 0.3, []), (0.4, 0.6, ["no effect twice"])):
        play = good_play()
        play.repeat_window = window
        play.attempts.append(ReceivedAttempt("w1", "s-0", 2.01 + after, 2.01 + after, 0.0, True, True))
        assert rules(play) == found
    play.attempts[-1].ran = False  # refused: it had no effect
    assert not rules(play)


def test_an_attempt_to_a_drained_server_is_found():
    for known_from, found in ((1.6, []), (1.3, ["drains kept", "drains kept"])):
        play = good_play()
        play.drains += [ServerDrain("s-1", known_from), ServerDrain("s-1", 5.0)]  # the earlier one holds
        assert rules(play) == found


def test_an_attempt_after_its_clients_close_is_found():
    for received_at, found in ((2.2, []), (2.4, ["client gone"])):
        play = good_play()
        unanswered(play, 2.0, End.CLOSED, 2.1)
        play.attempts.append(ReceivedAttempt("r2", "s-1", received_at, received_at, 0.1, False, True))
        assert rules(play) == found


def test_an_attempt_with_a_longer_time_limit_than_is_left_is_found():
    play = good_play()
    play.attempts[0].time_limit = 0.9
    assert rules(play) == ["time told"]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("ended_at", None),
        ("ended_at", 9.0),
        ("exit_code", -2),
        ("log", ["Traceback (most recent call last)"]),
        ("peak_memory_mb", 64.5),
        ("most_descriptors", 97),
    ],
)
def test_a_bad_exit_or_excessive_resource_use_is_found(field, value):
    play = good_play()
    setattr(play.process, field, value)
    assert rules(play) == ["process"]


def test_delays_of_the_recorder_are_allowed_for():
    play = good_play()
    play.requests["w1"].answered_at = 3.4
    play.clock_gaps.append((3.3, 0.4))
    assert not judge(play)


def test_plans_are_reproducible_and_differ_between_seeds():
    plans = {seed: draw(seed) for seed in range(50)}
    assert all(draw(seed) == plan for seed, plan in plans.items())
    assert len({repr(plan) for plan in plans.values()}) == 50
    assert all(plan.kill_at - plan.terminate_at <= 3.7 + 1e-9 for plan in plans.values())


@pytest.mark.parametrize(
    ("age", "has_been_primary", "told_replica_at", "found"),
    [
        (0.69, False, None, []),
        (0.71, False, None, ["no stale read"]),
        (0.71, True, None, []),
        (0.71, True, 1.75, ["no stale read"]),
        (0.71, True, 1.77, []),
    ],
)
def test_a_stale_read_is_found_unless_no_answer_has_denied_the_role_of_primary(
    age, has_been_primary, told_replica_at, found
):
    play = good_play()
    play.staleness_bound = 0.5
    read = play.attempts[0]
    read.data_age, read.has_been_primary = age, has_been_primary
    if told_replica_at is not None:
        earlier = ReceivedAttempt("r0", "s-1", 1.7, 1.7, 0.48, False, True, 0.0, False, False, told_replica_at)
        play.attempts.insert(0, earlier)
    assert rules(play) == found
