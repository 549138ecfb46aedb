"""Messages of list distribution, documents split into chunks, and stored copies of the list."""

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


MESSAGE_FACTORIES = {
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
def test_the_encoding_of_a_message_is_unchanged(octets, meaning):
    kind, *values = meaning
    assert decode(octets) == MESSAGE_FACTORIES[kind](*values)
    assert encode(MESSAGE_FACTORIES[kind](*values)) == octets


@each("distribution", "documents")
def test_the_encoding_of_a_document_is_unchanged(octets, meaning):
    base, held, digest, entries, messages = meaning
    changes = tuple(Entry(key=key, value=value) for key, value in entries)
    increment = Increment(base=version(base), version=version(held), digest=bytes.fromhex(digest), entries=changes)
    pieces = [decode(bytes.fromhex(message)) for message in messages]
    assembly = Assembly(pieces[-1])
    for piece in reversed(pieces):
        assembly.add(piece)
    assert assembly.increment() == increment
    compressed = b"".join(piece.body for piece in split(increment))
    assert zlib.decompress(compressed) == octets  # the compressed form depends on the installed zlib


@each("distribution", "sources")
def test_a_source_yields_the_same_entries(octets, meaning):
    assert entries_of({"source.hcl": octets}, ["g0", "g1"]) == meaning


@each("distribution", "copies")
def test_the_text_of_a_stored_copy_is_unchanged(octets, meaning, tmp_path):
    held, digest, entries = meaning
    (tmp_path / "list.hcl").write_bytes(octets)
    table = stored_table(tmp_path / "list.hcl", Mock())
    assert (table.version, table.digest, table.entries) == (version(held), bytes.fromhex(digest), entries)
    assert text_of(table).encode() == octets


def test_topic_and_lease_name_are_unchanged():
    assert DistributionPart.topic == load("distribution")["topic"]
    assert load("distribution")["lease"] == RESOURCE
