"""Runs the reactor in a separate thread, so that tests can wait for events on real sockets."""

import threading
import time
from contextlib import contextmanager

import structlog
from twisted.internet import reactor
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.threads import blockingCallFromThread

from yardbank.directory.codes import Code
from yardbank.ldap import messages as m
from yardbank.testing.demo.world import DESK_DN, DESK_PASSWORD, Recorder, World
from yardbank.testing.rig.client import connect
from yardbank.testing.standin.server import TAG_CONTROL

structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
_running = threading.Event()


def ensure_reactor():
    if not _running.is_set():
        reactor.seconds = time.monotonic
        threading.Thread(target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True).start()
        _running.set()


def run(function, *args, **kwargs):
    """Call a function in the reactor's thread and wait for its result, also of a Deferred."""
    return blockingCallFromThread(reactor, maybeDeferred, function, *args, **kwargs)


def until(condition, seconds=20):
    """Wait until a condition, evaluated in the reactor's thread, holds; fails after ``seconds``."""
    done, end = Deferred(), time.monotonic() + seconds

    def look():
        try:
            if condition():
                done.callback(None)
            elif time.monotonic() > end:
                done.errback(AssertionError("what the test waits for never happened"))
            else:
                reactor.callLater(0.005, look)
        except Exception as problem:  # noqa: BLE001  # raised in the waiting thread
            done.errback(problem)

    def begin():
        look()
        return done

    run(begin)


class Desk:
    """A bound LDAP client for use from the test's thread."""

    def __init__(self, world, name="desk", bind=True):
        self.world = world
        self.client = run(connect, reactor, "127.0.0.1", world.port, name, world.record)
        self.asked = 0
        if bind:
            assert run(self.client.bind, DESK_DN, DESK_PASSWORD).code == Code.SUCCESS

    def ask(self, operation, need="write", group="numbers", controls=(), **more):
        """Send a recorded request; returns a Deferred."""
        self.asked += 1
        tag = f"{self.client.name}/{self.asked}"
        facts = {"read": need, "session": self.client.name} | more
        control = m.Control(TAG_CONTROL, False, tag.encode())
        deadline = {"write": 3.0, "session": 2.0, "bounded": 1.5}[need]
        suffix = f"ou={group},dc=porting"
        return self.client.request(operation, (control, *controls), tag, need=facts, deadline=deadline, suffix=suffix)

    def get(self, *args, **kwargs):
        return run(self.ask, *args, **kwargs)

    def modify(self, value=b"x", group="numbers", number=0, **more):
        entry = f"cn={number},ou={group},dc=porting"
        return self.get(m.ModifyRequest(entry, ((2, "description", (value,)),)), "write", group, **more)

    def read(self, group="requests", need="session", number=0, **more):
        entry = f"cn={number},ou={group},dc=porting"
        return self.get(m.SearchRequest(entry, 0, m.Present("objectClass")), need, group, **more)

    def spread(self, base="dc=porting", scope=2, parts=(), deadline=1.5, controls=(), **more):
        """Search across several groups; ``parts`` has the consistency that each group's suffix needs. Returns a Deferred."""
        self.asked += 1
        tag = f"{self.client.name}/{self.asked}"
        request = m.SearchRequest(base, scope, more.pop("filter", m.Present("objectClass")), **more)
        control = m.Control(TAG_CONTROL, False, tag.encode())
        need = {"read": "spread", "parts": [{"session": self.client.name, **part} for part in parts]}
        return self.client.request(request, (control, *controls), tag, need=need, deadline=deadline)


def shown(answer, name="description"):
    """The values of an attribute in the single entry of an answer."""
    (entry,) = answer.entries
    return dict(entry.attributes)[name]


@contextmanager
def world(daemon=False, entries=5, start=True, **more):
    """A simulated deployment, with its gateway running if ``start``."""
    ensure_reactor()
    made = run(World, reactor, Recorder(), daemon=daemon, **more)
    try:
        run(made.load, entries)
        if start:
            run(made.start_gateway)
        yield made
    finally:
        run(made.stop_gateway)
        run(made.close)
