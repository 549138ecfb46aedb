"""Letters of the distribution, documents in pieces, and copies of the list as text."""

import zlib
from unittest.mock import Mock

from tests.golden.cases import each, load
from yardbank.cluster.list_distribution.document import entries_of, text_of
from yardbank.cluster.list_distribution.files import stored_table
from yardbank.cluster.list_distribution.messages import Fetch, Have, Piece, decode, encode
from yardbank.cluster.list_distribution.part import RESOURCE, DistributionPart
from yardbank.cluster.list_distribution.table import Entry, Increment
from yardbank.cluster.list_distribution.transfer import Assembly, split
from yardbank.cluster.list_distribution.version import Version


def version(values):
    epoch, number = values
    return Version(epoch=epoch, number=number)


LETTERS = {
    "version announcement": lambda held, digest: Have(version=version(held), digest=bytes.fromhex(digest)),
    "fetch": lambda base, digest, wanted, first, count: Fetch(
        base=version(base), base_digest=bytes.fromhex(digest), version=version(wanted), first=first, count=count
    ),
    "chunk": lambda held, digest, base, index, count, body: Piece(
        version=version(held),
        digest=bytes.fromhex(digest),
        base=version(base),
        index=index,
        count=count,
        body=bytes.fromhex(body),
    ),
}


@each("distribution", "letters")
def test_a_letter_keeps_its_octets(octets, meaning):
    kind, *values = meaning
    assert decode(octets) == LETTERS[kind](*values)
    assert encode(LETTERS[kind](*values)) == octets


@each("distribution", "documents")
def test_a_document_keeps_its_octets(octets, meaning):
    base, held, digest, entries, letters = meaning
    changes = tuple(Entry(key=key, value=value) for key, value in entries)
    increment = Increment(base=version(base), version=version(held), digest=bytes.fromhex(digest), entries=changes)
    pieces = [decode(bytes.fromhex(one)) for one in letters]
    assembly = Assembly(pieces[-1])
    for piece in reversed(pieces):
        assembly.add(piece)
    assert assembly.increment() == increment
    packed = b"".join(piece.body for piece in split(increment))
    assert zlib.decompress(packed) == octets  # how it is compressed depends on the installed zlib


@each("distribution", "sources")
def test_a_source_gives_the_same_entries(octets, meaning):
    assert entries_of({"source.hcl": octets}, ["g0", "g1"]) == meaning


@each("distribution", "copies")
def test_a_copy_keeps_its_octets(octets, meaning, tmp_path):
    held, digest, entries = meaning
    (tmp_path / "list.hcl").write_bytes(octets)
    table = stored_table(tmp_path / "list.hcl", Mock())
    assert (table.version, table.digest, table.entries) == (version(held), bytes.fromhex(digest), entries)
    assert text_of(table).encode() == octets


def test_topic_and_lease_stay_the_same():
    assert DistributionPart.topic == load("distribution")["topic"]
    assert load("distribution")["lease"] == RESOURCE
