"""The program starts with an old list, while discovery is slow or cannot be reached: servers that drained get nothing."""

import asyncio
from dataclasses import replace

import pytest

from yardbank.testing.soak.judge import judge
from yardbank.testing.soak.plan import Behaviour, SignalStep, draw
from yardbank.testing.soak.play import PlanRunner

TERMINATE_AT = 1.5  # seconds after the program began to listen


def plan_of(**change):
    plan = replace(
        draw(1),
        deadlines={"lookup": 0.5, "commit": 0.5},
        effect="side_effect",
        window=0.0,
        servers=3,
        service_time=0.002,
        server_steps=(),
        discovery_steps=(),
        clients=(Behaviour.PLAIN,) * 6,
        crowd=0,
        signals=(SignalStep("SIGTERM", TERMINATE_AT),),
        terminate_at=TERMINATE_AT,
        drained_before_start=(1, 2),
        first_list_delay=0.0,
    )
    return replace(plan, **change)


@pytest.mark.parametrize(
    ("fault", "delay"), [("", 1.0), ("connects_to_discovery_fail", 0.0)], ids=["slow answer", "connects fail"]
)
def test_servers_that_drained_before_the_start_get_no_request(fault, delay, monkeypatch):
    monkeypatch.setenv("SOAK_FAULT", fault)
    module = "tests.support.soak_program" if fault else "yardbank.platform"
    play = asyncio.run(PlanRunner(plan_of(first_list_delay=delay), module).run())
    assert judge(play) == []
    assert sum(request.answers == ["served"] for request in play.requests.values()) > 20
