"""Checks the record of one run against the platform's rules. No I/O.

Checked: one final answer in time for each request, no write applied twice, drains respected, no attempt after its
client's close, no attempt given more time than is left, no read of data older than its bound where replicas lag, and
the exit, memory and descriptors of the process. Not checked: cold servers, which need a fleet.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from yardbank.testing.soak.frames import ClientConnection, End, Play, ReceivedAttempt, SentRequest

ANSWER_SLACK_S = 0.5  # seconds after the deadline in which an answer is late but no violation
UNDETECTED_DELAY_S = 0.15  # seconds for which the process may be delayed without detection
CROSSING_TIME_S = 0.1  # seconds before the observed end of the connection in which a request may cross with it
AFTER_CLOSE_S = 0.1  # seconds after its client's close in which an attempt may begin
DRAIN_GRACE_S = 0.5
STALENESS_SLACK_S = 0.05
KNOWN_AFTER_S = 0.1  # seconds after an answer was written from which the gateway counts as knowing what it said
TIME_LIMIT_SLACK_S = 0.15


@dataclass(slots=True, frozen=True)
class Violation:
    """One violation of a rule."""

    rule: str
    what: str


def judge(play: Play) -> list[Violation]:
    """All violations in a run, in the order of the rules."""
    return [
        *_answers(play),
        *_effects(play),
        *_drains(play),
        *_departures(play),
        *_time_limits(play),
        *_stale_reads(play),
        *_process(play),
    ]


def _recorder_delay(play: Play, start: float, end: float) -> float:
    """The recorder's delays between two times, by which recorded times may be late."""
    return sum(length for at, length in play.clock_gaps if start - length <= at <= end + length)


def _answers(play: Play) -> Iterator[Violation]:
    forwarded = {attempt.id for attempt in play.attempts}
    previous_answer_at: dict[int, float] = {}  # by connection: time of the previous answer
    for request in sorted(play.requests.values(), key=lambda one: one.sent_at):
        connection = play.connections[request.connection]
        if len(request.answers) > 1:
            yield Violation("one answer", f"{request.id} has {len(request.answers)}: {request.answers}")
        if request.answered_at is None:
            yield from _unanswered(play, request, connection, request.id in forwarded)
            continue
        if request.answers[0] == "served" and request.content != request.id:
            yield Violation("one answer", f"{request.id} was served with {request.content!r}")
        start = max(request.sent_at, previous_answer_at.get(request.connection, 0.0))
        previous_answer_at[request.connection] = request.answered_at
        allowed = (
            request.time_limit + ANSWER_SLACK_S + UNDETECTED_DELAY_S + _recorder_delay(play, start, request.answered_at)
        )
        if request.answered_at - start > allowed and not connection.does_not_read:
            took = request.answered_at - start
            yield Violation("in time", f"{request.id} took {took:.3f} s of {request.time_limit:.3f}")


def _unanswered(play: Play, request: SentRequest, connection: ClientConnection, forwarded: bool) -> Iterator[Violation]:
    if connection.end is End.CLOSED or connection.does_not_read:
        return
    ended_at = connection.ended_by_gateway_at or connection.ended_at
    crossed = request.sent_at > ended_at - CROSSING_TIME_S - UNDETECTED_DELAY_S - _recorder_delay(
        play, request.sent_at, ended_at
    )
    if connection.end is not End.OPEN and crossed and not forwarded:
        return
    later = f"{connection.end} {ended_at - request.sent_at:.3f} s later"
    how = f"{connection.behaviour} connection {connection.number}, {later}"
    yield Violation("one answer", f"{request.id} has none; {how}{', forwarded' if forwarded else ''}")


def _effects(play: Play) -> Iterator[Violation]:
    first_ran: dict[str, float] = {}
    for attempt in sorted(play.attempts, key=lambda one: one.received_at):
        if not (attempt.write and attempt.ran):
            continue
        first = first_ran.setdefault(attempt.id, attempt.received_at)
        later = attempt.received_at - first
        allowed = (
            play.repeat_window + UNDETECTED_DELAY_S + _recorder_delay(play, first, attempt.received_at)
            if play.repeat_window
            else 0
        )
        if later > allowed:
            yield Violation("no effect twice", f"the write {attempt.id} ran again after {later:.3f} s")


def _drains(play: Play) -> Iterator[Violation]:
    known_from: dict[str, float] = {}  # by server
    for drain in play.drains:
        known_from[drain.server] = min(drain.known_from, known_from.get(drain.server, drain.known_from))
    for attempt in play.attempts:
        late = attempt.first_octet_at - known_from.get(attempt.server, attempt.first_octet_at)
        allowed = (
            DRAIN_GRACE_S
            + UNDETECTED_DELAY_S
            + _recorder_delay(play, attempt.first_octet_at - late, attempt.first_octet_at)
        )
        if late > allowed:
            what = f"{attempt.id} went to {attempt.server} {late:.3f} s after its drain was known"
            yield Violation("drains kept", what)


def _departures(play: Play) -> Iterator[Violation]:
    for attempt, request in _of_clients(play):
        connection = play.connections[request.connection]
        if connection.end is not End.CLOSED or request.answered_at is not None:
            continue
        late = attempt.received_at - connection.ended_at
        if late > AFTER_CLOSE_S + UNDETECTED_DELAY_S + _recorder_delay(play, connection.ended_at, attempt.received_at):
            yield Violation("client gone", f"{attempt.id} was sent {late:.3f} s after its client's close")


def _time_limits(play: Play) -> Iterator[Violation]:
    for attempt, request in _of_clients(play):
        left = request.sent_at + request.time_limit - attempt.received_at
        slack = TIME_LIMIT_SLACK_S + UNDETECTED_DELAY_S + _recorder_delay(play, request.sent_at, attempt.received_at)
        if attempt.time_limit > max(0.0, left) + slack:
            told = f"{attempt.time_limit:.3f} s told, {left:.3f} left"
            yield Violation("time told", f"{attempt.id} at {attempt.server}: {told}")


def _stale_reads(play: Play) -> Iterator[Violation]:
    if play.staleness_bound is None:
        return
    for attempt, _ in _of_clients(play):
        if attempt.write or not attempt.ran or attempt.data_age is None:
            continue
        delay = UNDETECTED_DELAY_S + _recorder_delay(play, attempt.received_at, attempt.received_at)
        too_old = attempt.data_age - play.staleness_bound - STALENESS_SLACK_S - delay
        if too_old > 0 and not _is_excused(play, attempt, delay):
            yield Violation("no stale read", f"{attempt.id} at {attempt.server}: data {too_old:.3f} s too old")


def _is_excused(play: Play, read: ReceivedAttempt, delay: float) -> bool:
    """Whether the server had been primary and no answer had told the gateway yet that it is none."""
    known_at = read.first_octet_at - KNOWN_AFTER_S - delay
    return read.has_been_primary and not any(
        attempt.server == read.server and attempt.told_primary is False and (attempt.answered_at or known_at) < known_at
        for attempt in play.attempts
    )


def _of_clients(play: Play) -> Iterator[tuple[ReceivedAttempt, SentRequest]]:
    for attempt in play.attempts:
        if (request := play.requests.get(attempt.id)) is not None:
            yield attempt, request


def _process(play: Play) -> Iterator[Violation]:
    process = play.process
    if process.ended_at is None:
        yield Violation("process", "it was still there at the earliest kill")
    elif process.exit_code != 0:
        yield Violation("process", f"exit code {process.exit_code}")
    elif process.ended_at < process.terminated_at:
        yield Violation("process", "it ended before it was told to")
    if any("Traceback" in line for line in process.log):
        yield Violation("process", "a traceback in its log")
    if process.peak_memory_mb > process.memory_limit_mb:
        yield Violation("process", f"{process.peak_memory_mb:.1f} MB of {process.memory_limit_mb}")
    if process.most_descriptors > process.descriptor_limit:
        yield Violation("process", f"{process.most_descriptors} descriptors of {process.descriptor_limit}")
