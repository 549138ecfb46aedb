"""List distribution: tables, histories, documents in pieces, messages, and replicas on an unreliable network."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from yardbank.cluster.list_distribution import model_check as checker
from yardbank.cluster.list_distribution.history import MAX_INCREMENTS, History
from yardbank.cluster.list_distribution.messages import (
    MAX_PIECE,
    MAX_REQUESTED_PIECES,
    Fetch,
    Have,
    Piece,
    decode,
    encode,
)
from yardbank.cluster.list_distribution.replica import FencedError, Replica
from yardbank.cluster.list_distribution.table import DoesNotFitError, Entry, Table
from yardbank.cluster.list_distribution.transfer import Assembly, decode_document, split
from yardbank.cluster.list_distribution.version import EMPTY_DIGEST, NOTHING, Version
from yardbank.cluster.peers.datagram import DroppedError

KEYS, VALUES = st.sampled_from("abcdef"), st.text(max_size=8)
LISTS = st.lists(st.dictionaries(KEYS, VALUES, max_size=6), min_size=1, max_size=8)


def table_from(lists, epoch=1):
    """A table to which these contents were applied in order, and the increments with their base digests."""
    table, increments = Table(), []
    for content in lists:
        found = table.difference(content, Version(epoch, table.version.number + 1))
        if found is not None:
            increments.append((found, table.digest))
            table.apply(found)
    return table, increments


@given(LISTS)
def test_table_holds_published_entries_and_digest_depends_only_on_entries(lists):
    table, _ = table_from(lists)
    wanted = lists[-1] if table.version != NOTHING or lists[-1] else {}
    assert dict(table.entries) == wanted
    direct, _ = table_from([wanted])
    assert direct.digest == table.digest
    other = Table()
    if table.version != NOTHING:
        other.apply(table.snapshot())
    assert (dict(other.entries), other.version, other.digest) == (dict(table.entries), table.version, table.digest)


@given(LISTS, st.integers(0, 7))
def test_history_merges_increments_from_each_known_version_to_the_newest(lists, at):
    table, increments = table_from(lists)
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


def test_history_is_bounded_and_cleared_by_a_gap():
    table, increments = table_from([{"a": str(n)} for n in range(MAX_INCREMENTS + 20)])
    history = History()
    for increment, digest in increments:
        history.add(increment, digest)
    assert len(history) == MAX_INCREMENTS
    assert history.since(increments[5][0].version, increments[6][1]) is None
    history.add(increments[3][0], increments[3][1])
    assert len(history) == 1
    history.add(table.snapshot(), table.digest)
    assert len(history) == 0


FIRST_INCREMENT = Table().difference({"a": "1"}, Version(1, 1))


@pytest.mark.parametrize(
    ("increment", "reason"),
    [
        (msgspec.structs.replace(FIRST_INCREMENT, version=NOTHING), "not after"),
        (msgspec.structs.replace(FIRST_INCREMENT, base=Version(1, 7), version=Version(1, 8)), "begins from 1.7"),
        (msgspec.structs.replace(FIRST_INCREMENT, digest=bytes(16)), "digest"),
        (msgspec.structs.replace(FIRST_INCREMENT, entries=(Entry("a", "2"),)), "digest"),
        (msgspec.structs.replace(FIRST_INCREMENT, entries=FIRST_INCREMENT.entries * 2), "is repeated"),
        (msgspec.structs.replace(FIRST_INCREMENT, entries=(Entry("", "1"),)), "a key has"),
        (msgspec.structs.replace(FIRST_INCREMENT, entries=(Entry("a", "x" * 9000),)), "more than 8192"),
    ],
)
def test_inapplicable_increment_raises_reason_and_changes_nothing(increment, reason):
    table = Table()
    with pytest.raises(DoesNotFitError, match=reason):
        table.apply(increment)
    assert table.version == NOTHING and table.digest == EMPTY_DIGEST and not table.entries


@given(st.integers(1, 400), st.randoms())
def test_document_is_assembled_from_reordered_and_duplicated_pieces(entries, random):
    table, _ = table_from([{f"db-{n}": str(random.random()) for n in range(entries)}])
    pieces = list(split(table.snapshot()))
    assert all(len(piece.body) <= MAX_PIECE for piece in pieces)
    shuffled = [decode(encode(piece)) for piece in pieces + pieces[: len(pieces) // 2]]
    random.shuffle(shuffled)
    assembly = Assembly(shuffled[0])
    for piece in shuffled:
        assert assembly.matches(piece)
        assembly.add(piece)
    assert assembly.is_complete and assembly.increment() == table.snapshot()


def test_truncated_corrupted_or_mismatching_document_is_rejected():
    table, _ = table_from([{f"db-{n}": str(n) for n in range(500)}])
    packed = b"".join(piece.body for piece in split(table.snapshot()))
    for corrupted in (packed[:-1], b"y" + packed[1:], b"", packed[: len(packed) // 2]):
        with pytest.raises(DoesNotFitError):
            decode_document(corrupted)
    mismatching = [msgspec.structs.replace(piece, version=Version(9, 9)) for piece in split(table.snapshot())]
    assembly = Assembly(mismatching[0])
    for piece in mismatching:
        assembly.add(piece)
    with pytest.raises(DoesNotFitError, match="the document does not match the fields of its pieces"):
        assembly.increment()


@given(st.binary(max_size=200))
def test_arbitrary_octets_decode_to_a_valid_message_or_are_dropped(octets):
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
        Fetch(NOTHING, bytes(16), Version(1, 1), 0, MAX_REQUESTED_PIECES + 1),
        Fetch(NOTHING, bytes(16), Version(1, 1), 0, 0),
        Piece(Version(1, 1), bytes(16), NOTHING, 1, 1, b"x"),
        Piece(Version(1, 1), bytes(16), NOTHING, 0, 1, b""),
        Piece(Version(1, 1), bytes(16), NOTHING, 0, 9999, b"x"),
        Piece(Version(1, 1), bytes(16), NOTHING, 0, 1, b"x" * (MAX_PIECE + 1)),
    ],
)
def test_message_with_field_out_of_range_is_dropped(message):
    with pytest.raises(DroppedError) as caught:
        decode(encode(message))
    assert caught.value.reason == "range"


def test_publisher_with_old_epoch_is_fenced():
    replica = Replica("a", checker.FixedChoice())
    replica.publish(0, 5, {"a": "1"})
    with pytest.raises(FencedError, match="epoch 4 is over"):
        replica.publish(0, 4, {"a": "2"})
    assert replica.publish(0, 5, {"a": "1"}) is None
    assert replica.publish(0, 6, {"a": "2"}) == Version(6, 2)


def test_inapplicable_increment_is_reported_and_a_snapshot_requested():
    sound, other = Replica("a", checker.FixedChoice()), Replica("b", checker.FixedChoice())
    sound.publish(0, 1, {"a": "1"})
    # As published by a gateway without a lease.
    other.table.apply(Table().difference({"a": "1", "b": "other"}, Version(1, 1)))
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


def test_model_check_finds_no_violation_in_a_small_fleet():
    found = checker.search(checker.CI_STATES)
    assert not found.fault, (found.fault, found.steps)
    assert (
        found.states >= checker.CI_STATES
        and found.converged == checker.CI_STATES // checker.STATES_PER_CONVERGENCE_CHECK
    )


def publish_unfenced(replica, now, epoch, wanted):
    increment = replica.table.difference(wanted, Version(epoch, replica.table.version.number + 1))
    replica._apply(now, increment, replica.name)
    return increment.version


def apply_unverified(table, increment):
    table._commit(increment, 0)


def accept_any_push(replica, now, sender, piece):
    """Accept pushed pieces whatever version they begin from."""
    if piece.version > replica.table.version:
        assembly = Assembly(piece)
        assembly.add(piece)
        if assembly.is_complete:
            replica._apply_assembly(now, assembly, sender, spread=True)


def test_pushes_from_any_base_version_are_harmless_while_digests_are_verified(monkeypatch):
    monkeypatch.setattr(Replica, "_on_piece", accept_any_push)
    assert "do not converge" in (checker.search(checker.CI_STATES).fault or "do not converge")


@pytest.mark.parametrize(
    "bugs",
    [
        [(Table, "apply", apply_unverified), (Replica, "_on_piece", accept_any_push)],
        [(checker, "PUBLICATIONS", tuple(checker.Publication(p.name, 1, p.entries) for p in checker.PUBLICATIONS))],
        [(Replica, "_on_newer_version", lambda self, now, sender, version: None)],
    ],
    ids=["unverified increments", "two publishers in one epoch", "no fetches"],
)
def test_model_check_finds_seeded_faults(bugs, monkeypatch):
    for bug in bugs:
        monkeypatch.setattr(*bug)
    assert checker.search(checker.CI_STATES).fault
