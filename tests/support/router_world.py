"""Test harness for the router: settings, servers and shorthand for events."""

import time

from yardbank.interface import (
    Member,
    Outcome,
    Probed,
    Report,
    Request,
    RequestClass,
    Role,
    Send,
    ServerList,
    Settings,
    Timer,
)
from yardbank.policy import Router

MS = 1_000_000
SECOND = 1_000_000_000
START = 100 * SECOND

LOOKUP = RequestClass("lookup", 400 * MS, 1000 * MS, 1, 0, "safe", read="bounded", staleness_bound=500 * MS)
STATUS = RequestClass("status", 300 * MS, 750 * MS, 3, 0.2, "safe", read="session")
CHECK = RequestClass("check", 600 * MS, 2500 * MS, 3, 0, "safe", read="fresh")
ANY = RequestClass("any", 400 * MS, 1000 * MS, 1, 0, "safe", read="any")
COMMIT = RequestClass("commit", 500 * MS, 3000 * MS, 3, 0.7, "unsafe", read="write")
KEYED = RequestClass("keyed", 750 * MS, 2000 * MS, 6, 0.3, "keyed", "cell", 1200 * MS, "write")
CLASSES = (LOOKUP, STATUS, CHECK, ANY, COMMIT, KEYED)


class World:
    """A router with a virtual clock and the actions of its last event."""

    def __init__(self, members=None, **settings):
        base = {
            "seed": 7,
            "zone": "a",
            "gateways": 2,
            "classes": CLASSES,
            "reports": "answers",
            "may_probe": True,
        }
        base |= {"max_attempts": 5, "may_cancel": True, "max_retry_after": 2 * SECOND}
        base |= {
            "cold": 18 * SECOND,
            "cold_share": 0.3,
            "period": 5 * MS,
        }
        self.router = Router(Settings(**(base | settings)))
        self.now = START
        self.tries = {}
        self.out = self.feed(ServerList("saved", tuple(members or group())))

    def feed(self, event, after=0):
        self.now += after
        self.out = self.router.handle(self.now, event)
        return self.out

    def of(self, kind):
        return [action for action in self.out if isinstance(action, kind)]

    def ask(self, name, class_name, after=MS, left=None, **more):
        kind = self.router.request_classes[class_name]
        expires = self.now + after + (left or kind.deadline)
        return self.feed(Request(name, 0, class_name, expires, **more), after)

    def end(self, name, server, status="ok", attempt=0, after=20 * MS, closed=None, **more):
        closed = status == "ok" if closed is None else closed
        return self.feed(Outcome(name, attempt, server, status, after, closed, **more), after)

    def tick(self, after=20 * MS):
        return self.feed(Timer("sweep"), after)

    def known(self, server, lag=0, primary=False, after=0):
        """A probe reports the server's position and role."""
        return self.feed(Probed(server, "ok", MS, Report(self.now + after - lag, primary)), after)


def group(replicas=2, **more):
    return [Member(1, "a", 0, True, "ready", **more)] + [
        Member(2 + index, "a", 0, False, "ready", **more) for index in range(replicas)
    ]


def told(world, server, load, lag=0, primary=False, after=0):
    """The server tells by a probe how busy it is, and proves its position and role."""
    return world.feed(Probed(server, "ok", MS, Report(world.now + after - lag, primary, load)), after)


def sent(world):
    """Where the last event's requests went."""
    return [action.server for action in world.of(Send)]


def answer_all(world, status):
    """Every attempt that is out ends so, at once."""
    for (name, number), attempt in list(world.router.attempts.items()):
        world.end(name, attempt.server.id, status, number, after=0)


def wait_for(condition, seconds=60):
    """Wait in the test's thread until a condition on other processes holds; fails after ``seconds``."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "what the test waits for never happened"
        time.sleep(0.01)


__all__ = [
    "MS",
    "SECOND",
    "START",
    "Member",
    "Report",
    "Role",
    "World",
    "answer_all",
    "group",
    "sent",
    "told",
    "wait_for",
]
