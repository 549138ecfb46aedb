"""Recorded events and the actions they led to: with equal shares everywhere, every action is the same.

The events are from the module as it was before shares came in. The actions were taken anew, from the same events, when
lost attempts, the end of unsent requests at half their time, growth from a limit of one and the least pause that tells on
idle connections came in, as those are meant to act; with shares of 1 and of 0.25 they must still agree.
"""

import json
from pathlib import Path

from yardbank import interface as api
from yardbank.policy import Router

RECORD = json.loads((Path(__file__).parent / "data" / "recorded_events.json").read_text())


def value(plain):
    if isinstance(plain, list):
        return tuple(value(one) for one in plain)
    if isinstance(plain, dict):
        made = {name: value(one) for name, one in plain.items() if name}
        if "role" in made:
            made["role"] = api.Role(made["role"])
        return getattr(api, plain[""])(**made)
    return plain


def replay(**member):
    classes = tuple(value(kind) for kind in RECORD["classes"])
    router = Router(api.Settings(classes=classes, **RECORD["settings"]))
    for now, plain, _ in RECORD["batches"]:
        event = value(plain)
        if isinstance(event, api.ServerList) and member:
            changed = (api.Member(m.server, m.zone, m.group, m.primary, m.state, m.started, **member) for m in event.members)
            event = api.ServerList(event.kind, tuple(changed))
        yield [repr(action) for action in router.handle(now, event)]


def test_with_share_one_every_recorded_action_is_the_same():
    wanted = [actions for _, _, actions in RECORD["batches"]]
    assert len(wanted) > 800 and sum(map(bool, wanted)) > 400
    assert {action.partition("(")[0] for actions in wanted for action in actions} >= {"Send", "Refuse", "Probe", "SetTimer"}
    assert list(replay()) == wanted
    assert list(replay(share=0.25)) == wanted  # equal shares are no shares
