"""Replays recorded events: where newer features are unused, every action must equal the recorded one.

The first record has events from before server shares were introduced. Its actions were recorded again, from the same
events, when these intended changes of behaviour were introduced: lost attempts, refusal of unsent requests after half their
time, growth from a limit of one, and the shortest pause that counts for idle connections. They must be the same with
shares of 1 and of 0.25.

The second record has two runs over three zones, one of few gateways and one of hundreds, with events and actions from
before ``PositionGossiped`` and ``ZoneLatencies`` were introduced.
"""

import json

import pytest

from tests.support.paths import DATA
from yardbank import interface as api
from yardbank.policy import Router

RECORD = json.loads((DATA / "recorded_events.json").read_text())
ZONES = json.loads((DATA / "recorded_zones.json").read_text())
RENAMED_FIELDS = {  # recorded name: current name
    "aim": "latency_objective",
    "worth": "priority_weight",
    "late_worth": "late_weight",
    "doubted": "outliers",
}
RENAMED_EVENTS = {"Gone": "ClientCancelled", "Restored": "TokensLost", "Hearsay": "GossipedOutliers"}


def decode(recorded):
    if isinstance(recorded, list):
        return tuple(decode(item) for item in recorded)
    if isinstance(recorded, dict):
        fields = {RENAMED_FIELDS.get(name, name): decode(item) for name, item in recorded.items() if name}
        if "role" in fields:
            fields["role"] = api.Role(fields["role"])
        return getattr(api, RENAMED_EVENTS.get(recorded[""], recorded[""]))(**fields)
    return recorded


def replay(classes=RECORD["classes"], settings=RECORD["settings"], batches=RECORD["batches"], more=(), **member):
    """Yield the actions of each event; each of the ``more`` events follows it and may only set timers."""
    router = Router(api.Settings(classes=tuple(decode(request_class) for request_class in classes), **settings))
    for now, recorded, _ in batches:
        event = decode(recorded)
        if isinstance(event, api.ServerList) and member:
            changed = (
                api.Member(m.server, m.zone, m.group, m.primary, m.state, m.started, **member) for m in event.members
            )
            event = api.ServerList(event.kind, tuple(changed))
        yield [repr(action) for action in router.handle(now, event)]
        for extra in more:
            assert all(isinstance(action, api.SetTimer) for action in router.handle(now, extra))


def test_equal_shares_reproduce_every_recorded_action():
    expected = [actions for _, _, actions in RECORD["batches"]]
    assert len(expected) > 800 and sum(map(bool, expected)) > 400
    assert {action.partition("(")[0] for actions in expected for action in actions} >= {
        "Send",
        "Refuse",
        "Probe",
        "SetTimer",
    }
    assert list(replay()) == expected
    assert list(replay(share=0.25)) == expected  # equal shares have no effect


EVENTS_WITHOUT_EFFECT = (
    api.ZoneLatencies(),
    api.ZoneLatencies((("a zone of nobody", 5, 9),)),
    api.PositionGossiped(99, api.Report(1)),  # server 99 is not listed
    api.PositionGossiped(
        1, api.Report(None, False, 1.0)
    ),  # without a position; the role and load of such a report are ignored
)


@pytest.mark.parametrize("run", ZONES["runs"], ids=["few", "hundreds"])
def test_runs_without_gossiped_positions_and_zone_latencies_reproduce_every_recorded_action(run):
    expected = [actions for _, _, actions in run["batches"]]
    assert {action.partition("(")[0] for actions in expected for action in actions} >= {"Send", "Probe", "CloseIdle"}
    assert list(replay(ZONES["classes"], **run)) == expected
    assert list(replay(ZONES["classes"], **run, more=EVENTS_WITHOUT_EFFECT)) == expected
