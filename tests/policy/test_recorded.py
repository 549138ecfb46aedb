"""Recorded events and the actions they led to: where what came in later is absent, every action is the same.

The first events are from the module as it was before shares came in. Their actions were taken anew, from the same events,
when lost attempts, the end of unsent requests at half their time, growth from a limit of one and the least pause that tells
on idle connections came in, as those are meant to act; with shares of 1 and of 0.25 they must still agree.

The second are two runs over three zones, of few gateways and of hundreds, with events and actions of the module as it was
before ``PositionGossiped`` and ``ZoneLatencies`` came in.
"""

import json

import pytest

from tests.support.paths import DATA
from yardbank import interface as api
from yardbank.policy import Router

RECORD = json.loads((DATA / "recorded_events.json").read_text())
ZONES = json.loads((DATA / "recorded_zones.json").read_text())
RENAMED = {  # since the recording
    "aim": "latency_objective",
    "worth": "priority_weight",
    "late_worth": "late_weight",
    "doubted": "outliers",
}
RENAMED_EVENTS = {"Gone": "ClientCancelled", "Restored": "TokensLost", "Hearsay": "GossipedOutliers"}


def value(plain):
    if isinstance(plain, list):
        return tuple(value(one) for one in plain)
    if isinstance(plain, dict):
        made = {RENAMED.get(name, name): value(one) for name, one in plain.items() if name}
        if "role" in made:
            made["role"] = api.Role(made["role"])
        return getattr(api, RENAMED_EVENTS.get(plain[""], plain[""]))(**made)
    return plain


def replay(classes=RECORD["classes"], settings=RECORD["settings"], batches=RECORD["batches"], more=(), **member):
    """The actions of each event; ``more`` events are told along with each, and what they lead to is left out."""
    router = Router(api.Settings(classes=tuple(value(kind) for kind in classes), **settings))
    for now, plain, _ in batches:
        event = value(plain)
        if isinstance(event, api.ServerList) and member:
            changed = (
                api.Member(m.server, m.zone, m.group, m.primary, m.state, m.started, **member) for m in event.members
            )
            event = api.ServerList(event.kind, tuple(changed))
        yield [repr(action) for action in router.handle(now, event)]
        for one in more:
            assert all(isinstance(action, api.SetTimer) for action in router.handle(now, one))


def test_with_share_one_every_recorded_action_is_the_same():
    wanted = [actions for _, _, actions in RECORD["batches"]]
    assert len(wanted) > 800 and sum(map(bool, wanted)) > 400
    assert {action.partition("(")[0] for actions in wanted for action in actions} >= {
        "Send",
        "Refuse",
        "Probe",
        "SetTimer",
    }
    assert list(replay()) == wanted
    assert list(replay(share=0.25)) == wanted  # equal shares are no shares


NOTHING_NEW = (
    api.ZoneLatencies(),
    api.ZoneLatencies((("a zone of nobody", 5, 9),)),
    api.PositionGossiped(99, api.Report(1)),  # of a server that is not listed
    api.PositionGossiped(
        1, api.Report(None, False, 1.0)
    ),  # that proves no position: its role and load are nobody's business
)


@pytest.mark.parametrize("run", ZONES["runs"], ids=["few", "hundreds"])
def test_without_marks_and_ways_every_recorded_action_is_the_same(run):
    wanted = [actions for _, _, actions in run["batches"]]
    assert {action.partition("(")[0] for actions in wanted for action in actions} >= {"Send", "Probe", "CloseIdle"}
    assert list(replay(ZONES["classes"], **run)) == wanted
    assert list(replay(ZONES["classes"], **run, more=NOTHING_NEW)) == wanted
