"""A gateway whose connections open on the test's command, with unread server lists and a recording decision module."""

from twisted.internet.task import Clock

from tests.support.platform import Log
from tests.support.virtual_gateway import KEYED, READ, WRITE, FakeBackend, FakeConnection, Sink
from yardbank.gateway import Call, Gateway, ServerSpec
from yardbank.gateway.api import MS
from yardbank.interface import Outcome, Settings
from yardbank.policy import Router

LONE = ServerSpec("p", "g", "a", "h", 1, True)
COPY = ServerSpec("c", "g", "a", "h", 2)
DRAINS = ServerSpec("p", "g", "a", "h", 1, True, "draining")
MOVED = ServerSpec("p", "g", "a", "h", 3, True)


class RecordingRouter(Router):
    """The decision module; records its events and actions."""

    def __init__(self, settings):
        super().__init__(settings)
        self.events, self.actions = [], []

    def handle(self, now, event):
        self.events.append(event)
        actions = super().handle(now, event)
        self.actions += actions
        return actions


class Scripted(RecordingRouter):
    """Returns scripted actions for requests and outcomes of attempts."""

    script = staticmethod(lambda event: [])

    def handle(self, now, event):
        self.events.append(event)
        return self.script(event)


class Place:
    """A gateway whose connections open on the test's command."""

    def __init__(self, *servers, router=RecordingRouter, classes=(READ, WRITE, KEYED), **more):
        self.clock, self.backend, self.log = Clock(), FakeBackend(), Log()
        self.clock.advance(100)
        self.backend.mode = "when told"
        self.feed = []  # server lists that are not read yet
        settings = Settings(1, "a", 1, classes, reports="none", max_attempts=4, max_retry_after=100 * MS)

        def made(settings):
            self.router = router(settings)
            return self.router

        self.gateway = Gateway(
            settings,
            self.backend,
            reactor=self.clock,
            seconds=self.clock.seconds,
            wall=self.clock.seconds,
            log=self.log,
            router=made,
            before_send=self.catch_up,
            **more,
        )
        self.gateway.apply_list(servers or [LONE])

    def catch_up(self):
        while self.feed:
            self.gateway.apply_changes(self.feed.pop(0))

    def ask(self, class_name="read", present=None, operation="op"):
        sink = Sink()
        self.number = self.gateway.take(Call(class_name, "g", operation, sink, "s", present=present))
        return sink

    def up(self, at=0):
        """Complete a pending connection."""
        server, ready, lost = self.backend.waiting[at]
        made = FakeConnection(self.backend, server, lost)
        self.backend.connections.append(made)
        ready(made)
        return made

    def told(self, kind):
        return [event for event in self.router.events if isinstance(event, kind)]

    def statuses(self):
        return [event.status for event in self.told(Outcome)]
