"""Terms of the operators' standing test that no other file forces: gateways that turn all away, what attempts tell."""

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

SPELL, REQUESTS = 4 * SECOND, 15  # turned away on end, with no attempt in between


class Watched(Router):
    """Notes when it was asked, sent, and turned away."""

    made: ClassVar[list[Router]] = []

    def __init__(self, settings):
        super().__init__(settings)
        self.noted = []
        self.made.append(self)

    def handle(self, now, event):
        actions = super().handle(now, event)
        if isinstance(event, Request):
            self.noted.append((now, "asked"))
        self.noted += [(now, type(action).__name__) for action in actions if isinstance(action, Send | Refuse)]
        return actions


class TurnsAllAway(Watched):
    """Once it has shed, it sheds for good."""

    def __init__(self, settings):
        super().__init__(settings)
        self.admission.admits = lambda now, pending: now < START + 4 * SECOND


def spells(noted):
    """How many requests came in each stretch of so long with refusals and without an attempt."""
    found, since, asked, refused = [], START, 0, 0
    for at, what in [*noted, (noted[-1][0] if noted else START, "Send")]:
        if what == "Send":
            if at - since >= SPELL and refused >= REQUESTS and asked >= REQUESTS:
                found.append(asked)
            since, asked, refused = at, 0, 0
        asked += what == "asked"
        refused += what == "Refuse"
    return found


def turning_away(router, load, **more):
    """The part of the gateways that turn all away for that long."""
    router.made = []
    world = VirtualWorld(**({"gateways": 40, "groups": 3, "rate": 320.0, "length": 14.0} | more), load=load)
    Fleet(world, router).run()
    return sum(bool(spells(one.noted)) for one in router.made) / len(router.made)


@pytest.mark.parametrize("gateways", [20, 40])
def test_in_a_burst_and_after_it_hardly_a_gateway_turns_all_away(gateways):
    assert turning_away(Watched, lambda second: 1.5 if 4 <= second < 8 else 1.0, gateways=gateways) <= 0.1


def test_gateways_that_turn_all_away_are_found():
    assert turning_away(TurnsAllAway, lambda second: 1.0) > 0.9


def told(world, at):
    """The time limit that an attempt tells its server, ms."""
    operation = world.backend.out[at][0]
    text = operation.statement.text(operation.expires - world.gateway.now())
    return int(re.search(r"d=(\d+)", text)[1])


@pytest.mark.parametrize("wait", [0.0, 0.05, 0.2, 0.3])
def test_a_further_attempt_tells_its_server_what_is_left_to_the_client(wait):
    world = World(replicas=3)
    made, _ = world.connect()
    made.dataReceived(query(READ))
    assert told(world, 0) == 480
    world.clock.advance(wait)
    world.backend.out[0][1].attempt_lost("gone")
    assert len(world.backend.out) == 2
    assert abs(told(world, 1) - (480 - wait * 1000)) <= 1


def test_of_requests_sent_together_each_tells_what_is_left_of_its_own_time_and_of_those_behind():
    world = World(replicas=3)
    made, _ = world.connect()
    made.dataReceived(query(READ.replace("480", "900")))
    world.clock.advance(0.1)
    made.dataReceived(query(READ.replace("id=a1", "id=a2").replace("480", "500")))
    world.backend.out[0][1].attempt_lost("gone")
    limits = defaultdict(list)
    for at, (operation, _) in enumerate(world.backend.out):
        limits[operation.statement.id].append(told(world, at))
    assert limits["a2"] == [500] and limits["a1"][-1] == 480  # twenty ms before the one behind it
