"""The stored rollout state of a gateway, the file of its active version, and messages with gateway records."""

from unittest.mock import Mock

from tests.golden.cases import each, load
from yardbank.cluster.peers.parts import KeyValueStore
from yardbank.cluster.rollout.active_version import ActiveVersion, Version, read, write
from yardbank.cluster.rollout.document import SHAPE, Change, taken
from yardbank.cluster.rollout.local_state import Memory, Options, load_memory
from yardbank.cluster.rollout.part import RolloutPart
from yardbank.cluster.rollout.phase import Phase
from yardbank.cluster.rollout.record import Cell, GatewayRecord, decode_message, encode_message, encode_record
from yardbank.cluster.rollout.state_machine import RolloutStateMachine

DATA = load("rollout")


def memory(change, phase, down, restarts, stopped, finished):
    reasons = [tuple(reason) for reason in stopped]
    return Memory(change=change, phase=phase, down=down, restarts=restarts, stopped=reasons, finished=finished)


def version(rollout, mark, settings, program, name):
    return Version(rollout=rollout, mark=mark, settings=settings, program=program, name=name)


def cell(name, good, late, refused, failed, left, p99):
    return Cell(name=name, good=good, late=late, refused=refused, failed=failed, left=left, p99=p99)


def record(owner, boot_epoch, number, rollout, mark, phase, running, stop, beat, slow, restarts, memory, cells):
    return GatewayRecord(
        owner=owner,
        boot_epoch=boot_epoch,
        number=number,
        rollout=rollout,
        mark=mark,
        phase=phase,
        version=running,
        stop=stop,
        beat=beat,
        slow=slow,
        restarts=restarts,
        memory=memory,
        cells=tuple(cell(*values) for values in cells),
    )


@each("rollout", "changes")
def test_the_stored_form_and_number_of_a_rollout_are_unchanged(octets, meaning):
    text, mark = meaning
    change = taken(text.encode(), "rollout.hcl", SHAPE).change
    assert change.to_json().encode() == octets
    assert Change.from_json(octets.decode()) == change
    assert Change.from_json(octets.decode()).mark() == mark


@each("rollout", "memory")
def test_the_encoding_of_stored_state_is_unchanged(octets, meaning):
    values, (rollout, mark), stored = meaning
    storage = Mock(spec=KeyValueStore)
    storage.load.return_value = octets
    assert load_memory(storage) == memory(*values)
    RolloutStateMachine(
        Mock(), storage, Options(active_version=ActiveVersion(now=Version(rollout=rollout, mark=mark)))
    ).begun(0)
    storage.save.assert_called_once_with(bytes.fromhex(stored))  # a start changes the phase at most


@each("rollout", "in_force")
def test_the_file_of_the_active_version_is_unchanged(octets, meaning, tmp_path):
    now, before, restarts, changed, fell, fell_from = meaning
    active_version = ActiveVersion(
        now=version(*now), before=version(*before), restarts=restarts, changed=changed, fell=fell, fell_from=fell_from
    )
    (tmp_path / DATA["file"]).write_bytes(octets)
    assert read(tmp_path) == active_version
    (tmp_path / DATA["file"]).unlink()
    write(tmp_path, active_version)
    assert (tmp_path / DATA["file"]).read_bytes() == octets


@each("rollout", "letters")
def test_the_encoding_of_a_message_with_records_is_unchanged(octets, meaning):
    records = [record(*values) for values in meaning]
    assert [record_entry for record_entry, _ in decode_message(octets)] == records
    assert encode_message([encode_record(record_entry) for record_entry in records]) == octets


def test_topic_and_phases_are_unchanged():
    assert RolloutPart.topic == DATA["topic"]
    assert DATA["places"] == [
        Phase.OLD,
        Phase.DUE,
        Phase.OUT,
        Phase.SETTLING,
        Phase.NEW,
        Phase.BACK_DUE,
        Phase.BACK_OUT,
        Phase.BACK_SETTLING,
        Phase.FELL,
    ]
