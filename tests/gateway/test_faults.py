"""The gateway on a virtual clock: errors inside, bounds, stopping, lists."""

import pytest
from twisted.internet.task import Clock

from tests.support.virtual_gateway import READ, SERVERS, WRITE, FakeBackend, Place, Sink
from yardbank.gateway import Call, Gateway, Limits, Reply
from yardbank.gateway.api import MS
from yardbank.interface import ClientCancelled, Request, Role, Settings, Timer
from yardbank.policy import Router


class FailingRouter(Router):
    """An error hides in the module."""

    on = None

    def handle(self, now, event):
        if self.on and isinstance(event, self.on):
            raise RuntimeError("hidden")
        return super().handle(now, event)


@pytest.mark.parametrize(("kind", "answer"), [(Request, "refused"), (Timer, "served")])
def test_an_error_in_the_module_ends_that_request_alone(kind, answer):
    place = Place(FailingRouter)
    place.gateway._router.on = kind
    sink = place.ask("read")
    place.pass_time(0.1)
    if answer == "served":
        place.backend.to(place.backend.sent[-1][0]).answer()
    assert sink.finals == [answer]
    place.gateway._router.on = None
    again = place.ask("read")
    place.backend.to(place.backend.sent[-1][0]).answer()
    assert again.finals == ["served"]


def test_an_error_in_a_front_or_a_backend_ends_that_request_alone():
    place = Place()
    sink = place.ask("read")
    sink.broken = True
    place.backend.to(place.backend.sent[-1][0]).answer()
    assert place.gateway.unanswered == 0
    write = place.ask("write", "unwritable")
    place.pass_time(3)
    assert len(write.finals) == 1
    good = place.ask("write")
    place.backend.to("p").answer()
    assert good.finals == ["served"]


def test_open_requests_are_bounded():
    place = Place(limits=Limits(max_open=2))
    sinks = [place.ask("write") for _ in range(3)]
    assert [sink.finals for sink in sinks] == [[], [], ["refused"]]


def test_stop_waits_and_then_answers_all():
    place = Place(limits=Limits(stop_grace=500 * MS))
    quick, write, read = place.ask("read", session="a"), place.ask("write"), place.ask("read", session="b")
    stopped = []
    place.gateway.stop().addCallback(stopped.append)
    assert place.ask("read").finals == ["refused"]
    name = next(n for n, _ in place.backend.sent if n == "c")
    place.backend.to(name).answer()
    assert quick.finals == ["served"] and not stopped
    place.pass_time(0.6)
    assert write.finals == ["failed"] and read.finals == ["refused"] and stopped == [None]
    again = []
    place.gateway.stop().addCallback(again.append)
    assert again == [None]


def test_a_host_that_just_stops_closes_every_request_once():
    triggers = []

    class Host(Clock):
        def addSystemEventTrigger(self, *args):  # noqa: N802
            triggers.append(args)
            return len(triggers)

        def removeSystemEventTrigger(self, number):  # noqa: N802
            pass

    host = Host()
    host.advance(100)
    gateway = Gateway(
        Settings(1, "a", 1, (READ, WRITE)), FakeBackend(), reactor=host, seconds=host.seconds, wall=host.seconds
    )
    gateway.apply_list(SERVERS)
    sinks = [Sink(), Sink()]
    gateway.take(Call("write", "g", "op", sinks[0]))
    gateway.take(Call("read", "g", "op", sinks[1]))
    ((phase, event, act),) = triggers
    assert (phase, event) == ("before", "shutdown")
    act()
    act()
    assert [sink.finals for sink in sinks] == [["failed"], ["refused"]]


def test_two_gateways_in_one_process_share_nothing():
    one, two = Place(), Place()
    one.ask("write")
    one.backend.to("p").answer(Reply("ok", "", Role.PRIMARY, ("", (9,))))
    one.backend.mode = "refuse"
    for connection in one.backend.connections:
        connection.drop()
    sink = two.ask("read")
    two.backend.to("c").answer()
    assert sink.finals == ["served"]
    assert one.gateway._router.servers.keys() == two.gateway._router.servers.keys()
    assert not any(a is b for a, b in zip(one.gateway._router.servers.values(), two.gateway._router.servers.values()))
    assert not two.gateway._router.sessions.tokens and one.gateway._router.sessions.tokens


def test_the_same_events_give_the_same_record():
    def live():
        place = Place()
        for number in range(30):
            place.ask("write" if number % 3 == 0 else "read", session=f"s{number % 4}")
            if number % 7 == 3:
                place.backend.connections[0].drop()
            for connection in place.backend.connections:
                while connection.out:
                    connection.answer()
            place.pass_time(0.05)
        return place.facts

    assert live() == live()


def test_a_list_that_names_a_server_twice_is_refused_and_the_old_one_stays():
    place = Place()
    with pytest.raises(ValueError, match="'p' is listed twice"):
        place.gateway.apply_list([*SERVERS, SERVERS[0]])
    assert len(place.gateway._router.servers) == 2


def test_a_server_that_left_gets_nothing_new_and_its_idle_connections_close():
    place = Place()
    place.ask("read")
    place.backend.to("c").answer()
    connection = place.backend.to("c")
    place.gateway.apply_list(SERVERS[:1])
    assert connection.closed
    place.ask("read")
    assert place.backend.sent[-1][0] == "p"


def test_idle_connections_close_and_then_no_timer_is_left():
    place = Place(limits=Limits(idle_close=1000 * MS))
    place.ask("read")
    connection = place.backend.to("c")
    connection.answer()
    place.pass_time(2, 0.1)
    assert all(each.closed for each in place.backend.connections)
    for each in list(place.backend.connections):
        each.lost("closed")
    place.pass_time(3, 0.1)
    assert place.clock.getDelayedCalls() == []


def test_gone_is_told_once():
    place = Place()
    seen = []
    handle = place.gateway._router.handle
    place.gateway._router.handle = lambda now, event: seen.append(event) or handle(now, event)
    place.ask("read")
    place.gateway.leave(place.number)
    place.gateway.leave(place.number)
    assert sum(isinstance(event, ClientCancelled) for event in seen) == 1
