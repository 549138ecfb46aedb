"""Incremental reads of a list give the same servers, faults and changes as full reads."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.gateway.api import ServerSpec
from yardbank.server_list import Apply, HoldBack, ServerListLifecycle
from yardbank.server_list.comparison import compare, describe, suspicion, suspicion_from_changes
from yardbank.server_list.document import ServerListError, read_set, render
from yardbank.server_list.incremental_reader import ListReader, _common_prefix_length, _common_suffix_length

GROUPS = {"a", "b"}


def spec(number, **more):
    base = {"name": f"s{number}", "group": "ab"[number % 2], "zone": "z", "host": "127.0.0.1", "port": 1000 + number}
    return ServerSpec(**(base | {"primary": number < 2} | more))


def text(servers, **more):
    return render(servers, **more).encode()


def read_both_ways(reader, texts):
    """Read ``texts`` incrementally and in full, check that the results agree, and return the result."""
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
def test_common_prefix_and_suffix_lengths_are_exact(prefix, a, b):
    first, second = prefix + a, prefix + b
    prefix_length = _common_prefix_length(first, second)
    assert first[:prefix_length] == second[:prefix_length]
    assert prefix_length == min(len(first), len(second)) or first[prefix_length] != second[prefix_length]
    limit = min(len(first), len(second)) - prefix_length
    suffix_length = _common_suffix_length(first, second, limit)
    assert suffix_length <= limit and first[len(first) - suffix_length :] == second[len(second) - suffix_length :]
    assert suffix_length == limit or first[len(first) - suffix_length - 1] != second[len(second) - suffix_length - 1]


def test_changed_added_and_removed_servers_are_read_incrementally():
    reader, servers = ListReader(GROUPS), [spec(n) for n in range(50)]
    first = read_both_ways(reader, {"l": text(servers)})
    servers[7] = spec(7, state="draining")
    second = read_both_ways(reader, {"l": text(servers)})
    assert reader.edits == 1 and second.delta.base == first.digest
    assert second.delta.changes == {"s7": (spec(7), spec(7, state="draining"))}
    servers[20], servers[21] = servers[21], servers[20]  # reordered: no change
    assert read_both_ways(reader, {"l": text(servers)}).delta.changes == {}
    body = text(servers).replace(b"count = 50\n", b"")
    read_both_ways(reader, {"l": body})  # a changed attribute of the file forces a full read
    edits = reader.edits
    cut = body.replace(render([spec(33)]).encode().split(b"\n\n", 1)[1], b"")
    third = read_both_ways(reader, {"l": cut})
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
def test_broken_change_reports_the_faults_of_a_full_read_and_keeps_state(broken):
    reader, good = ListReader(GROUPS), text([spec(n) for n in range(12)])
    read_both_ways(reader, {"l": good})
    assert read_both_ways(reader, {"l": broken(good)}) is None
    again = read_both_ways(reader, {"l": good.replace(b"port    = 1005", b"port    = 2005")})
    assert again.delta is not None and set(again.delta.changes) == {"s5"}  # relative to the last valid version


def test_weights_blocks_override_a_changed_server_and_must_name_one():
    reader = ListReader(GROUPS)
    servers = [spec(n) for n in range(6)]
    parts = {"l": text(servers), "w": b"weights {\n  s3 = 4.5\n}\n"}
    read_both_ways(reader, parts)
    parts["l"] = text([spec(n, zone="y") if n == 3 else spec(n) for n in range(6)])
    assert read_both_ways(reader, parts).by_name()["s3"].weight == 4.5 and reader.edits == 1
    parts["l"] = text([spec(n) for n in range(6) if n != 3])
    assert read_both_ways(reader, parts) is None
    parts["w"] = b"weights {\n  s2 = 2\n}\n"
    assert read_both_ways(reader, parts).by_name()["s2"].weight == 2.0


@given(st.integers(0, 2**32))
@settings(max_examples=15, deadline=None)
def test_any_sequence_of_edits_yields_the_same_as_full_reads(seed):
    rng = random.Random(seed)
    servers = {n: spec(n) for n in range(10)}
    lifecycle, applied = ServerListLifecycle(GROUPS, settle=0), {}
    reader = ListReader(GROUPS)
    for now in range(12):
        for _ in range(rng.randint(1, 2)):
            number = rng.randrange(14)
            match rng.randrange(4):
                case 0:
                    servers.pop(number, None)
                case 1:
                    servers[number] = spec(number, state=rng.choice(("ready", "draining")))
                case 2:
                    servers[number] = spec(number, port=rng.choice((1000 + number, 1003)))
                case 3:
                    servers[number] = spec(number, group=rng.choice("ab"), weight=2.0, started=rng.random())
        content = text(servers[n] for n in sorted(servers))
        if rng.random() < 0.5:  # without ``count``, adding and removing servers is an incremental change
            content = content.split(b"\n\n", 1)[-1]
        if rng.random() < 0.1:
            content = content[: rng.randrange(len(content))]
        read_both_ways(reader, {"l": content})
        for action in lifecycle.seen(now, {"l": content}):
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
def test_suspicion_of_the_changes_equals_suspicion_of_the_whole_lists(seed):
    rng = random.Random(seed)
    old = {f"s{n}": spec(n, primary=rng.random() < 0.4) for n in range(rng.randint(1, 8))}
    new = dict(old)
    for _ in range(rng.randint(1, 3)):
        number = rng.randrange(9)
        if rng.random() < 0.5:
            new.pop(f"s{number}", None)
        else:
            new[f"s{number}"] = spec(number, state=rng.choice(("ready", "draining")), group=rng.choice("ab"))
    if not new:
        return

    changes = {n: (old.get(n), new.get(n)) for n in (*new, *old) if old.get(n) != new.get(n)}
    short = suspicion_from_changes(changes, tuple(new.values()))
    whole = suspicion(tuple(old.values()), tuple(new.values()))
    assert short is None or short == whole
    kinds, other = describe(changes), compare(tuple(old.values()), tuple(new.values()))
    assert kinds.lines() == other.lines()
