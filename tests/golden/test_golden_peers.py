"""Datagrams of both versions, state files of parts, and the file that stores the boot epoch."""

from unittest.mock import Mock

from tests.golden.cases import each, load
from yardbank.cluster.peers.batch import Batch, BatchEntry
from yardbank.cluster.peers.batch import decode as decode_batch
from yardbank.cluster.peers.batch import encode as encode_batch
from yardbank.cluster.peers.datagram import (
    ACK,
    ALIVE,
    ASK,
    GONE,
    NACK,
    PING,
    SUSPECT,
    CounterValue,
    Datagram,
    HealthReport,
    MembershipUpdate,
    read_keys,
)
from yardbank.cluster.peers.datagram import decode as decode_datagram
from yardbank.cluster.peers.datagram import encode as encode_datagram
from yardbank.cluster.peers.file_store import FileStore
from yardbank.cluster.peers.report_store import FAILING, FULL, NOTHING, SILENT, WELL
from yardbank.cluster.peers.transport import Peers
from yardbank.config.blocks import PeersBlock

DATA = load("peers")
KEYS = read_keys(DATA["key_file"])


def health_report(witness, boot_epoch, number, server, started, kind, age):
    return HealthReport(
        witness=witness, boot_epoch=boot_epoch, number=number, server=server, started=started, kind=kind, age=age
    )


def datagram(fleet, sender, boot_epoch, incarnation, sequence, kind, number, target, updates, counters, reports):
    return Datagram(
        fleet=fleet,
        sender=sender,
        boot_epoch=boot_epoch,
        incarnation=incarnation,
        sequence=sequence,
        kind=kind,
        number=number,
        target=target,
        updates=tuple(
            MembershipUpdate(name=name, state=state, incarnation=update_incarnation, witness=witness)
            for name, state, update_incarnation, witness in updates
        ),
        counters=tuple(CounterValue(key=key, version=version, value=value) for key, version, value in counters),
        health_reports=tuple(health_report(*values) for values in reports),
    )


def batch(fleet, sender, boot_epoch, sequence, messages):
    entries = tuple(BatchEntry(topic=topic, body=bytes.fromhex(body)) for topic, body in messages)
    return Batch(fleet=fleet, sender=sender, boot_epoch=boot_epoch, sequence=sequence, entries=entries)


@each("peers", "datagrams")
def test_the_encoding_of_a_version_1_datagram_is_unchanged(octets, meaning):
    assert decode_datagram(octets, KEYS, DATA["fleet"]) == datagram(*meaning)
    assert encode_datagram(datagram(*meaning), KEYS) == octets


@each("peers", "parcels")
def test_the_encoding_of_a_version_2_datagram_is_unchanged(octets, meaning):
    assert decode_batch(octets, KEYS, DATA["fleet"]) == batch(*meaning)
    assert encode_batch(batch(*meaning), KEYS) == octets


def test_numeric_codes_are_unchanged():
    assert DATA["states"] == [ALIVE, SUSPECT, GONE]
    assert DATA["findings"] == [WELL, SILENT, FAILING, FULL, NOTHING]
    assert DATA["probes"] == [PING, ACK, ASK, NACK]


@each("peers", "files")
def test_the_state_file_of_a_part_is_unchanged(octets, meaning, tmp_path):
    (tmp_path / "old").write_bytes(octets)
    assert FileStore(tmp_path / "old", Mock()).load() == bytes.fromhex(meaning)
    assert FileStore(tmp_path / "new", Mock()).save(bytes.fromhex(meaning))
    assert (tmp_path / "new").read_bytes() == octets


@each("peers", "lives")
def test_the_boot_epoch_follows_the_stored_one(octets, meaning, tmp_path):
    stored, wall, boot_epoch = meaning
    if stored is not None:
        (tmp_path / "peers-life").write_bytes(bytes.fromhex(stored))
    (tmp_path / "key").write_text(DATA["key_file"])
    block = PeersBlock(name="g1", port=0, list="peers.hcl", key="key")
    peers = Peers(
        block, tmp_path, tmp_path, reactor=Mock(), now=Mock(), wall=lambda: wall, seed=1, log=Mock(), sharing=Mock()
    )
    assert peers.node.detector.boot_epoch == boot_epoch
    assert (tmp_path / "peers-life").read_bytes() == octets
