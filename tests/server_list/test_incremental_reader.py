"""A list read again by its change alone: the same servers, the same faults, the same change as read whole."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.gateway.api import ServerSpec
from yardbank.server_list import Apply, HoldBack, ServerListLifecycle
from yardbank.server_list.comparison import compare, describe, suspicion, suspicion_of
from yardbank.server_list.document import ServerListError, read_set, render
from yardbank.server_list.incremental_reader import ListReader, _shared_back, _shared_front

GROUPS = {"a", "b"}


def spec(number, **more):
    base = {"name": f"s{number}", "group": "ab"[number % 2], "zone": "z", "host": "127.0.0.1", "port": 1000 + number}
    return ServerSpec(**(base | {"primary": number < 2} | more))


def text(servers, **more):
    return render(servers, **more).encode()


def both(reader, texts):
    """What the reader makes of it, and what reading it whole does: the same."""
    try:
        whole = read_set(texts, GROUPS)
    except ServerListError as problem:
        with pytest.raises(ServerListError) as caught:
            reader.read(texts)
        assert caught.value.faults == problem.faults
        return None
    found = reader.read(texts)
    assert found.by_name() == whole.by_name() and found.digest == whole.digest
    assert (found.set_name, found.force, found.classes) == (whole.set_name, whole.force, whole.classes)
    return found


@given(st.binary(max_size=60), st.binary(max_size=60), st.binary(max_size=60))
@settings(max_examples=300, deadline=None)
def test_shared_octets_are_counted_exactly(front, a, b):
    one, other = front + a, front + b
    shared = _shared_front(one, other)
    assert one[:shared] == other[:shared]
    assert shared == min(len(one), len(other)) or one[shared] != other[shared]
    most = min(len(one), len(other)) - shared
    back = _shared_back(one, other, most)
    assert back <= most and one[len(one) - back :] == other[len(other) - back :]
    assert back == most or one[len(one) - back - 1] != other[len(other) - back - 1]


def test_a_changed_line_an_added_and_a_removed_server_are_read_by_their_change():
    reader, servers = ListReader(GROUPS), [spec(n) for n in range(50)]
    first = both(reader, {"l": text(servers)})
    servers[7] = spec(7, state="draining")
    second = both(reader, {"l": text(servers)})
    assert reader.edits == 1 and second.delta.base == first.digest
    assert second.delta.changes == {"s7": (spec(7), spec(7, state="draining"))}
    servers[20], servers[21] = servers[21], servers[20]  # moved about: no change at all
    assert both(reader, {"l": text(servers)}).delta.changes == {}
    body = text(servers).replace(b"count = 50\n", b"")
    both(reader, {"l": body})  # an attribute of the file changed: read whole
    edits = reader.edits
    cut = body.replace(render([spec(33)]).encode().split(b"\n\n", 1)[1], b"")
    third = both(reader, {"l": cut})
    assert third.delta.changes == {"s33": (spec(33), None)} and reader.edits == edits + 1


@pytest.mark.parametrize(
    "broken",
    [
        lambda t: t.replace(b'server "s9"', b'server "s8"'),
        lambda t: t.replace(b"port    = 1009", b"port    = 1008"),
        lambda t: t.replace(b"port    = 1009", b"port    = 99999"),
        lambda t: t.replace(b'group   = "b"', b'group   = "c"', 1),
        lambda t: t[: t.index(b'server "s9"')],
        lambda t: t + render([spec(90)]).encode().split(b"\n\n", 1)[1],
        lambda t: t.replace(b'server "s9"', b'server "s\xff"'),
        lambda t: t.replace(b"port    = 1009", b"port    = 1000 + 9"),
        lambda t: t.replace(b"port    = 1009", b"port    = 1009 }"),
    ],
)
def test_a_broken_change_is_told_as_when_read_whole_and_touches_nothing(broken):
    reader, good = ListReader(GROUPS), text([spec(n) for n in range(12)])
    both(reader, {"l": good})
    assert both(reader, {"l": broken(good)}) is None
    again = both(reader, {"l": good.replace(b"port    = 1005", b"port    = 2005")})
    assert again.delta is not None and set(again.delta.changes) == {"s5"}  # against the last good one


def test_weights_outrank_a_changed_server_and_must_name_one():
    reader = ListReader(GROUPS)
    servers = [spec(n) for n in range(6)]
    parts = {"l": text(servers), "w": b"weights {\n  s3 = 4.5\n}\n"}
    both(reader, parts)
    parts["l"] = text([spec(n, zone="y") if n == 3 else spec(n) for n in range(6)])
    assert both(reader, parts).by_name()["s3"].weight == 4.5 and reader.edits == 1
    parts["l"] = text([spec(n) for n in range(6) if n != 3])
    assert both(reader, parts) is None
    parts["w"] = b"weights {\n  s2 = 2\n}\n"
    assert both(reader, parts).by_name()["s2"].weight == 2.0


@given(st.integers(0, 2**32))
@settings(max_examples=15, deadline=None)
def test_any_run_of_edits_ends_where_reading_whole_does(seed):
    chance = random.Random(seed)
    servers = {n: spec(n) for n in range(10)}
    membership, applied = ServerListLifecycle(GROUPS, settle=0), {}
    reader = ListReader(GROUPS)
    for now in range(12):
        for _ in range(chance.randint(1, 2)):
            number = chance.randrange(14)
            match chance.randrange(4):
                case 0:
                    servers.pop(number, None)
                case 1:
                    servers[number] = spec(number, state=chance.choice(("ready", "draining")))
                case 2:
                    servers[number] = spec(number, port=chance.choice((1000 + number, 1003)))
                case 3:
                    servers[number] = spec(number, group=chance.choice("ab"), weight=2.0, started=chance.random())
        content = text(servers[n] for n in sorted(servers))
        if chance.random() < 0.5:  # without the count, servers may come and go in place
            content = content.split(b"\n\n", 1)[-1]
        if chance.random() < 0.1:
            content = content[: chance.randrange(len(content))]
        both(reader, {"l": content})
        for action in membership.seen(now, {"l": content}):
            whole = action.fleet.servers if isinstance(action, Apply) else ()
            if isinstance(action, Apply):
                if action.delta is None:
                    applied = {s.name: s for s in whole}
                else:
                    for name, (was, then) in action.delta.items():
                        assert applied.get(name) == was
                        applied.pop(name, None)
                        applied |= {name: then} if then else {}
                assert applied == {s.name: s for s in whole}
            else:
                assert isinstance(action, HoldBack) or action.faults


@given(st.integers(0, 2**32))
@settings(max_examples=200, deadline=None)
def test_what_is_held_back_is_the_same_by_the_change_and_by_the_whole(seed):
    chance = random.Random(seed)
    old = {f"s{n}": spec(n, primary=chance.random() < 0.4) for n in range(chance.randint(1, 8))}
    new = dict(old)
    for _ in range(chance.randint(1, 3)):
        number = chance.randrange(9)
        if chance.random() < 0.5:
            new.pop(f"s{number}", None)
        else:
            new[f"s{number}"] = spec(number, state=chance.choice(("ready", "draining")), group=chance.choice("ab"))
    if not new:
        return

    changes = {n: (old.get(n), new.get(n)) for n in (*new, *old) if old.get(n) != new.get(n)}
    short = suspicion_of(changes, tuple(new.values()))
    whole = suspicion(tuple(old.values()), tuple(new.values()))
    assert short is None or short == whole
    kinds, other = describe(changes), compare(tuple(old.values()), tuple(new.values()))
    assert kinds.lines() == other.lines()
