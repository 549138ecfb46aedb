"""The distributed list: tables, documents in pieces, messages, and copies that catch up over a bad network."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from yardbank.cluster.list_distribution import model_check as explore
from yardbank.cluster.list_distribution.history import MAX_INCREMENTS, History
from yardbank.cluster.list_distribution.messages import MAX_ASKED, MAX_PIECE, Fetch, Have, Piece, decode, encode
from yardbank.cluster.list_distribution.replica import FencedError, Replica
from yardbank.cluster.list_distribution.table import DoesNotFitError, Entry, Table
from yardbank.cluster.list_distribution.transfer import Assembly, joined, split
from yardbank.cluster.list_distribution.version import EMPTY_DIGEST, NOTHING, Version
from yardbank.cluster.peers.datagram import DroppedError

KEYS, VALUES = st.sampled_from("abcdef"), st.text(max_size=8)
LISTS = st.lists(st.dictionaries(KEYS, VALUES, max_size=6), min_size=1, max_size=8)


def grown(lists, epoch=1):
    """A table taken through these contents, and the increments that led there."""
    table, increments = Table(), []
    for content in lists:
        found = table.difference(content, Version(epoch, table.version.number + 1))
        if found is not None:
            increments.append((found, table.digest))
            table.apply(found)
    return table, increments


@given(LISTS)
def test_a_table_holds_what_was_published_and_its_digest_follows_from_the_entries_alone(lists):
    table, _ = grown(lists)
    wanted = lists[-1] if table.version != NOTHING or lists[-1] else {}
    assert dict(table.entries) == wanted
    direct, _ = grown([wanted])
    assert direct.digest == table.digest
    other = Table()
    if table.version != NOTHING:
        other.apply(table.snapshot())
    assert (dict(other.entries), other.version, other.digest) == (dict(table.entries), table.version, table.digest)


@given(LISTS, st.integers(0, 7))
def test_a_history_leads_from_each_version_that_it_knows_to_the_newest(lists, at):
    table, increments = grown(lists)
    history, behind = History(), Table()
    for number, (increment, digest) in enumerate(increments):
        history.add(increment, digest)
        if number <= at:
            behind.apply(increment)
    found = history.since(behind.version, behind.digest)
    if behind.version not in (NOTHING, table.version):
        behind.apply(found)
        assert dict(behind.entries) == dict(table.entries) and behind.digest == table.digest
    else:
        assert found is None
    assert history.since(behind.version, b"x" * 16) is None


def test_a_history_is_bounded_and_a_gap_begins_it_anew():
    table, increments = grown([{"a": str(n)} for n in range(MAX_INCREMENTS + 20)])
    history = History()
    for increment, digest in increments:
        history.add(increment, digest)
    assert len(history) == MAX_INCREMENTS
    assert history.since(increments[5][0].version, increments[6][1]) is None
    history.add(increments[3][0], increments[3][1])
    assert len(history) == 1
    history.add(table.snapshot(), table.digest)
    assert len(history) == 0


FIRST = Table().difference({"a": "1"}, Version(1, 1))


@pytest.mark.parametrize(
    ("increment", "reason"),
    [
        (msgspec.structs.replace(FIRST, version=NOTHING), "not after"),
        (msgspec.structs.replace(FIRST, base=Version(1, 7), version=Version(1, 8)), "begins from 1.7"),
        (msgspec.structs.replace(FIRST, digest=bytes(16)), "digest"),
        (msgspec.structs.replace(FIRST, entries=(Entry("a", "2"),)), "digest"),
        (msgspec.structs.replace(FIRST, entries=FIRST.entries * 2), "comes twice"),
        (msgspec.structs.replace(FIRST, entries=(Entry("", "1"),)), "a key has"),
        (msgspec.structs.replace(FIRST, entries=(Entry("a", "x" * 9000),)), "more than 8192"),
    ],
)
def test_an_increment_that_does_not_fit_says_why_and_changes_nothing(increment, reason):
    table = Table()
    with pytest.raises(DoesNotFitError, match=reason):
        table.apply(increment)
    assert table.version == NOTHING and table.digest == EMPTY_DIGEST and not table.entries


@given(st.integers(1, 400), st.randoms())
def test_a_document_is_put_together_from_pieces_in_any_order_and_doubled(entries, random):
    table, _ = grown([{f"db-{n}": str(random.random()) for n in range(entries)}])
    pieces = list(split(table.snapshot()))
    assert all(len(piece.body) <= MAX_PIECE for piece in pieces)
    shuffled = [decode(encode(piece)) for piece in pieces + pieces[: len(pieces) // 2]]
    random.shuffle(shuffled)
    assembly = Assembly(shuffled[0])
    for piece in shuffled:
        assert assembly.matches(piece)
        assembly.add(piece)
    assert assembly.whole and assembly.increment() == table.snapshot()


def test_a_document_that_is_cut_spoilt_or_another_than_its_pieces_say_is_refused():
    table, _ = grown([{f"db-{n}": str(n) for n in range(500)}])
    packed = b"".join(piece.body for piece in split(table.snapshot()))
    for spoilt in (packed[:-1], b"y" + packed[1:], b"", packed[: len(packed) // 2]):
        with pytest.raises(DoesNotFitError):
            joined(spoilt)
    lying = [msgspec.structs.replace(piece, version=Version(9, 9)) for piece in split(table.snapshot())]
    assembly = Assembly(lying[0])
    for piece in lying:
        assembly.add(piece)
    with pytest.raises(DoesNotFitError, match="not what its pieces said"):
        assembly.increment()


@given(st.binary(max_size=200))
def test_whatever_octets_come_a_message_is_sound_or_dropped(octets):
    try:
        found = decode(octets)
    except DroppedError as problem:
        assert problem.reason in ("shape", "range")
    else:
        assert decode(encode(found)) == found


@pytest.mark.parametrize(
    "message",
    [
        Have(Version(1, 1), b"short"),
        Have(Version(-1, 1), bytes(16)),
        Have(Version(1, 1 << 62), bytes(16)),
        Fetch(NOTHING, bytes(16), Version(1, 1), -1, 1),
        Fetch(NOTHING, bytes(16), Version(1, 1), 0, MAX_ASKED + 1),
        Fetch(NOTHING, bytes(16), Version(1, 1), 0, 0),
        Piece(Version(1, 1), bytes(16), NOTHING, 1, 1, b"x"),
        Piece(Version(1, 1), bytes(16), NOTHING, 0, 1, b""),
        Piece(Version(1, 1), bytes(16), NOTHING, 0, 9999, b"x"),
        Piece(Version(1, 1), bytes(16), NOTHING, 0, 1, b"x" * (MAX_PIECE + 1)),
    ],
)
def test_a_message_beyond_its_bounds_is_dropped(message):
    with pytest.raises(DroppedError) as caught:
        decode(encode(message))
    assert caught.value.reason == "range"


def test_a_publisher_whose_epoch_is_over_is_fenced():
    replica = Replica("a", explore.FirstChoice())
    replica.publish(0, 5, {"a": "1"})
    with pytest.raises(FencedError, match="epoch 4 is over"):
        replica.publish(0, 4, {"a": "2"})
    assert replica.publish(0, 5, {"a": "1"}) is None
    assert replica.publish(0, 6, {"a": "2"}) == Version(6, 2)


def test_an_increment_that_does_not_fit_is_told_and_a_snapshot_asked_for():
    sound, other = Replica("a", explore.FirstChoice()), Replica("b", explore.FirstChoice())
    sound.publish(0, 1, {"a": "1"})
    other.table.apply(
        Table().difference({"a": "1", "b": "other"}, Version(1, 1))
    )  # as from a publisher without a lease
    base, digest = sound.table.version, sound.table.digest
    sound.publish(0, 1, {"a": "2"})
    other.receive(0, "a", Have(sound.table.version, sound.table.digest))
    (asked,) = [out.message for out in other.outgoing()]
    sound.receive(0, "b", msgspec.structs.replace(asked, base=base, base_digest=digest))
    for out in sound.outgoing():
        if isinstance(out.message, Piece):
            other.receive(0, "a", out.message)
    assert other.counts["did not fit"] == 1 and "digest" in other.faults[0] and other.table.entries["a"] == "1"
    (again,) = [out.message for out in other.outgoing()]
    assert again.base == NOTHING
    sound.receive(0, "b", again)
    for out in sound.outgoing():
        other.receive(0, "a", out.message)
    assert dict(other.table.entries) == {"a": "2"} and other.table.digest == sound.table.digest


def test_every_order_of_events_in_a_small_fleet_keeps_the_invariants():
    found = explore.search(explore.IN_CI)
    assert not found.fault, (found.fault, found.steps)
    assert found.states >= explore.IN_CI and found.healed == explore.IN_CI // explore.HEALED


def unfenced(replica, now, epoch, wanted):
    increment = replica.table.difference(wanted, Version(epoch, replica.table.version.number + 1))
    replica._apply(now, increment, replica.name)
    return increment.version


def unverified(table, increment):
    table._commit(increment, 0)


def any_push(replica, now, sender, piece):
    """Takes what is handed on, whatever version it begins from."""
    if piece.version > replica.table.version:
        assembly = Assembly(piece)
        assembly.add(piece)
        if assembly.whole:
            replica._take(now, assembly, sender, spread=True)


def test_increments_taken_from_any_version_do_no_harm_where_all_is_verified(monkeypatch):
    monkeypatch.setattr(Replica, "_piece", any_push)
    assert "apart" in (explore.search(explore.IN_CI).fault or "apart")


@pytest.mark.parametrize(
    "bugs",
    [
        [(Table, "apply", unverified), (Replica, "_piece", any_push)],
        [(explore, "PUBLICATIONS", tuple(explore.Publication(p.name, 1, p.entries) for p in explore.PUBLICATIONS))],
        [(Replica, "_newer", lambda self, now, sender, version: None)],
    ],
    ids=["nothing verified", "two publishers of one epoch", "nothing fetched"],
)
def test_the_search_finds_a_seeded_fault(bugs, monkeypatch):
    for bug in bugs:
        monkeypatch.setattr(*bug)
    assert explore.search(explore.IN_CI).fault
