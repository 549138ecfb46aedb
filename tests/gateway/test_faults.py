"""The gateway on a virtual clock: internal errors, limits, stopping, server lists."""

import pytest
from twisted.internet.task import Clock

from tests.support.virtual_gateway import READ, SERVERS, WRITE, FakeBackend, Place, Sink
from yardbank.gateway import Call, Gateway, Limits, Reply
from yardbank.gateway.api import MS
from yardbank.interface import ClientCancelled, Request, Role, Settings, Timer
from yardbank.policy import Router


class FailingRouter(Router):
    """A router that raises an error on events of one type."""

    failing_event = None

    def handle(self, now, event):
        if self.failing_event and isinstance(event, self.failing_event):
            raise RuntimeError("injected")
        return super().handle(now, event)


@pytest.mark.parametrize(("kind", "answer"), [(Request, "refused"), (Timer, "served")])
def test_error_in_router_ends_only_that_request(kind, answer):
    harness = Place(FailingRouter)
    harness.gateway._router.failing_event = kind
    sink = harness.ask("read")
    harness.pass_time(0.1)
    if answer == "served":
        harness.backend.to(harness.backend.sent[-1][0]).answer()
    assert sink.finals == [answer]
    harness.gateway._router.failing_event = None
    again = harness.ask("read")
    harness.backend.to(harness.backend.sent[-1][0]).answer()
    assert again.finals == ["served"]


def test_error_in_frontend_or_backend_ends_only_that_request():
    harness = Place()
    sink = harness.ask("read")
    sink.broken = True
    harness.backend.to(harness.backend.sent[-1][0]).answer()
    assert harness.gateway.unanswered == 0
    write = harness.ask("write", "unwritable")
    harness.pass_time(3)
    assert len(write.finals) == 1
    good = harness.ask("write")
    harness.backend.to("p").answer()
    assert good.finals == ["served"]


def test_open_requests_are_limited():
    harness = Place(limits=Limits(max_open=2))
    sinks = [harness.ask("write") for _ in range(3)]
    assert [sink.finals for sink in sinks] == [[], [], ["refused"]]


def test_stop_waits_for_grace_period_and_then_answers_all():
    harness = Place(limits=Limits(stop_grace=500 * MS))
    quick, write, read = harness.ask("read", session="a"), harness.ask("write"), harness.ask("read", session="b")
    stopped = []
    harness.gateway.stop().addCallback(stopped.append)
    assert harness.ask("read").finals == ["refused"]
    name = next(n for n, _ in harness.backend.sent if n == "c")
    harness.backend.to(name).answer()
    assert quick.finals == ["served"] and not stopped
    harness.pass_time(0.6)
    assert write.finals == ["failed"] and read.finals == ["refused"] and stopped == [None]
    again = []
    harness.gateway.stop().addCallback(again.append)
    assert again == [None]


def test_reactor_shutdown_answers_every_request_once():
    triggers = []

    class ReactorWithShutdown(Clock):
        def addSystemEventTrigger(self, *args):  # noqa: N802
            triggers.append(args)
            return len(triggers)

        def removeSystemEventTrigger(self, number):  # noqa: N802
            pass

    reactor = ReactorWithShutdown()
    reactor.advance(100)
    gateway = Gateway(
        Settings(1, "a", 1, (READ, WRITE)),
        FakeBackend(),
        reactor=reactor,
        seconds=reactor.seconds,
        wall=reactor.seconds,
    )
    gateway.apply_list(SERVERS)
    sinks = [Sink(), Sink()]
    gateway.take(Call("write", "g", "op", sinks[0]))
    gateway.take(Call("read", "g", "op", sinks[1]))
    ((phase, event, trigger),) = triggers
    assert (phase, event) == ("before", "shutdown")
    trigger()
    trigger()
    assert [sink.finals for sink in sinks] == [["failed"], ["refused"]]


def test_two_gateways_in_one_process_share_no_state():
    first, second = Place(), Place()
    first.ask("write")
    first.backend.to("p").answer(Reply("ok", "", Role.PRIMARY, ("", (9,))))
    first.backend.mode = "refuse"
    for connection in first.backend.connections:
        connection.drop()
    sink = second.ask("read")
    second.backend.to("c").answer()
    assert sink.finals == ["served"]
    assert first.gateway._router.servers.keys() == second.gateway._router.servers.keys()
    assert not any(
        a is b for a, b in zip(first.gateway._router.servers.values(), second.gateway._router.servers.values())
    )
    assert not second.gateway._router.sessions.tokens and first.gateway._router.sessions.tokens


def test_same_events_give_same_record():
    def run():
        harness = Place()
        for number in range(30):
            harness.ask("write" if number % 3 == 0 else "read", session=f"s{number % 4}")
            if number % 7 == 3:
                harness.backend.connections[0].drop()
            for connection in harness.backend.connections:
                while connection.out:
                    connection.answer()
            harness.pass_time(0.05)
        return harness.facts

    assert run() == run()


def test_list_with_duplicate_server_is_rejected_and_old_list_stays():
    harness = Place()
    with pytest.raises(ValueError, match="'p' is listed twice"):
        harness.gateway.apply_list([*SERVERS, SERVERS[0]])
    assert len(harness.gateway._router.servers) == 2


def test_removed_server_gets_no_attempts_and_its_idle_connections_close():
    harness = Place()
    harness.ask("read")
    harness.backend.to("c").answer()
    connection = harness.backend.to("c")
    harness.gateway.apply_list(SERVERS[:1])
    assert connection.closed
    harness.ask("read")
    assert harness.backend.sent[-1][0] == "p"


def test_idle_connections_close_and_no_timer_remains():
    harness = Place(limits=Limits(idle_close=1000 * MS))
    harness.ask("read")
    connection = harness.backend.to("c")
    connection.answer()
    harness.pass_time(2, 0.1)
    assert all(each.closed for each in harness.backend.connections)
    for each in list(harness.backend.connections):
        each.lost("closed")
    harness.pass_time(3, 0.1)
    assert harness.clock.getDelayedCalls() == []


def test_router_is_told_once_that_client_left():
    harness = Place()
    seen = []
    handle = harness.gateway._router.handle
    harness.gateway._router.handle = lambda now, event: seen.append(event) or handle(now, event)
    harness.ask("read")
    harness.gateway.leave(harness.number)
    harness.gateway.leave(harness.number)
    assert sum(isinstance(event, ClientCancelled) for event in seen) == 1
