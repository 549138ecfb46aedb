"""Requirements of the operators' standing test not covered elsewhere: gateways that refuse everything, time limits."""

import re
from collections import defaultdict
from typing import ClassVar

import pytest

from tests.support.platform import READ, World, query
from yardbank.interface import Refuse, Request, Send
from yardbank.policy import Router
from yardbank.testing.rig.virtual import Fleet
from yardbank.testing.rig.virtual_world import SECOND, START
from yardbank.testing.rig.virtual_world import World as VirtualWorld

REFUSAL_PERIOD, REQUESTS = 4 * SECOND, 15  # a period of refusals only, without an attempt


class RecordingRouter(Router):
    """Records when it got requests and when it sent or refused them."""

    made: ClassVar[list[Router]] = []

    def __init__(self, settings):
        super().__init__(settings)
        self.recorded = []
        self.made.append(self)

    def handle(self, now, event):
        actions = super().handle(now, event)
        if isinstance(event, Request):
            self.recorded.append((now, "asked"))
        self.recorded += [(now, type(action).__name__) for action in actions if isinstance(action, Send | Refuse)]
        return actions


class RefusingRouter(RecordingRouter):
    """Refuses everything from a given time on."""

    def __init__(self, settings):
        super().__init__(settings)
        self.admission.admits = lambda now, pending: now < START + 4 * SECOND


def refusal_periods(recorded):
    """Number of requests in each long enough period of refusals without an attempt."""
    found, since, asked, refused = [], START, 0, 0
    for at, what in [*recorded, (recorded[-1][0] if recorded else START, "Send")]:
        if what == "Send":
            if at - since >= REFUSAL_PERIOD and refused >= REQUESTS and asked >= REQUESTS:
                found.append(asked)
            since, asked, refused = at, 0, 0
        asked += what == "asked"
        refused += what == "Refuse"
    return found


def refusing_share(router, load, **more):
    """Share of the gateways that refuse everything for that long."""
    router.made = []
    world = VirtualWorld(**({"gateways": 40, "groups": 3, "rate": 320.0, "length": 14.0} | more), load=load)
    Fleet(world, router).run()
    return sum(bool(refusal_periods(one.recorded)) for one in router.made) / len(router.made)


@pytest.mark.parametrize("gateways", [20, 40])
def test_few_gateways_refuse_everything_during_and_after_a_burst(gateways):
    assert refusing_share(RecordingRouter, lambda second: 1.5 if 4 <= second < 8 else 1.0, gateways=gateways) <= 0.1


def test_gateways_that_refuse_everything_are_detected():
    assert refusing_share(RefusingRouter, lambda second: 1.0) > 0.9


def sent_time_limit(world, at):
    """The time limit that an attempt sends to its server, in ms."""
    operation = world.backend.out[at][0]
    text = operation.statement.text(operation.expires - world.gateway.now())
    return int(re.search(r"d=(\d+)", text)[1])


@pytest.mark.parametrize("wait", [0.0, 0.05, 0.2, 0.3])
def test_a_further_attempt_sends_the_remaining_time_limit(wait):
    world = World(replicas=3)
    made, _ = world.connect()
    made.dataReceived(query(READ))
    assert sent_time_limit(world, 0) == 480
    world.clock.advance(wait)
    world.backend.out[0][1].attempt_lost("gone")
    assert len(world.backend.out) == 2
    assert abs(sent_time_limit(world, 1) - (480 - wait * 1000)) <= 1


def test_pipelined_requests_send_time_limits_that_respect_later_requests():
    world = World(replicas=3)
    made, _ = world.connect()
    made.dataReceived(query(READ.replace("480", "900")))
    world.clock.advance(0.1)
    made.dataReceived(query(READ.replace("id=a1", "id=a2").replace("480", "500")))
    world.backend.out[0][1].attempt_lost("gone")
    limits = defaultdict(list)
    for at, (operation, _) in enumerate(world.backend.out):
        limits[operation.statement.id].append(sent_time_limit(world, at))
    assert limits["a2"] == [500] and limits["a1"][-1] == 480  # 20 ms before the later one
