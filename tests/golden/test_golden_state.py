"""State snapshots, and the directory in which they are stored."""

import shutil

import lmdb

from tests.golden.cases import FOLDER, each, load
from yardbank.state.snapshot import GroupState, ServerState, Snapshot, decode, encode
from yardbank.state.store import Store


def server(name, group, zone, host, port, primary, state, started, weight, marks):
    return ServerState(
        name=name,
        group=group,
        zone=zone,
        host=host,
        port=port,
        primary=primary,
        state=state,
        started=started,
        weight=weight,
        marks=marks,
    )


def snapshot(written, version, digest, clean, servers, groups, generation):
    return Snapshot(
        written=written,
        version=version,
        digest=digest,
        clean=clean,
        servers=[server(*values) for values in servers],
        groups=[GroupState(name=name, marks=marks) for name, marks in groups],
        generation=generation,
    )


@each("state", "snapshots")
def test_the_encoding_of_a_snapshot_is_unchanged(octets, meaning):
    assert decode(octets) == snapshot(*meaning)
    assert encode(snapshot(*meaning)) == octets


@each("state", "older_snapshots")
def test_a_snapshot_of_format_1_is_decoded(octets, meaning):
    written, version, digest, servers = meaning
    assert decode(octets) == snapshot(written, version, digest, False, servers, [], 0)


def test_the_files_of_a_store_are_unchanged(tmp_path):
    data = load("state")["store"]
    store = Store(shutil.copytree(FOLDER / "store", tmp_path / "old"))
    assert (store.apart, store.read(), store.fault) == (data["generation"], snapshot(*data["meaning"]), "")
    store.close()
    new = Store(tmp_path / "new")
    new.begin(data["generation"])
    new.write(snapshot(*data["meaning"]))
    new.close()
    assert (tmp_path / "new" / "owner").read_bytes() == bytes.fromhex(data["owner"])
    with lmdb.open(str(tmp_path / "new"), readonly=True) as database, database.begin() as transaction:
        assert transaction.get(bytes.fromhex(data["key"])) == encode(snapshot(*data["meaning"]))
