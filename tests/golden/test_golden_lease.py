"""Messages of leases, and the stored lease state of a gateway."""

from random import Random
from unittest.mock import Mock

from tests.golden.cases import each, load
from yardbank.cluster.lease import LeaseTerms
from yardbank.cluster.lease.messages import (
    LeaseRequest,
    LeaseTaken,
    Release,
    SuccessorNotice,
    TransferOffer,
    Verdict,
    VoterAnnouncement,
    VoteReply,
    decode,
    encode,
)
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.peers.node import GossipNode
from yardbank.cluster.peers.parts import KeyValueStore

MESSAGE_FACTORIES = {
    "vote request": lambda resource, boot_epoch, number, epoch, renewal, current, known_lists: LeaseRequest(
        resource=resource,
        boot_epoch=boot_epoch,
        number=number,
        epoch=epoch,
        renewal=renewal,
        list_hash=current,
        known_lists=tuple(known_lists),
    ),
    "vote reply": lambda resource, boot_epoch, number, verdict, highest_epoch, current, older_lists, holder, remaining_ms: (
        VoteReply(
            resource=resource,
            boot_epoch=boot_epoch,
            number=number,
            verdict=verdict,
            highest_epoch=highest_epoch,
            list_hash=current,
            older_lists=tuple(older_lists),
            holder=holder,
            remaining_ms=remaining_ms,
        )
    ),
    "release": lambda resource, boot_epoch, number, epoch: Release(
        resource=resource, boot_epoch=boot_epoch, number=number, epoch=epoch
    ),
    "successor": lambda resource, boot_epoch, number, epoch, to: SuccessorNotice(
        resource=resource, boot_epoch=boot_epoch, number=number, epoch=epoch, successor=to
    ),
    "transfer offer": lambda resource, epoch: TransferOffer(resource=resource, epoch=epoch),
    "transfer done": lambda resource, epoch: LeaseTaken(resource=resource, epoch=epoch),
    "status": lambda resource, current, older_lists, highest_epoch, wants_reply: VoterAnnouncement(
        resource=resource,
        list_hash=current,
        older_lists=tuple(older_lists),
        highest_epoch=highest_epoch,
        wants_reply=wants_reply,
    ),
}


@each("lease", "letters")
def test_the_encoding_of_a_message_is_unchanged(octets, meaning):
    kind, *values = meaning
    assert decode(octets) == MESSAGE_FACTORIES[kind](*values)
    assert encode(MESSAGE_FACTORIES[kind](*values)) == octets


@each("lease", "memory")
def test_the_encoding_of_stored_state_is_unchanged(octets, meaning):
    boot_epoch, (term, drift, overlap, voters), zones, epoch, lists, longest = meaning
    storage = Mock(spec=KeyValueStore)
    storage.load.return_value = octets
    node = GossipNode("g1", "fleet", [], boot_epoch, Random(1))
    node.listed(0, zones, zones)
    part = LeasePart(
        node.membership_view, LeaseTerms(term=term, drift=drift, overlap=overlap, voters=voters), Random(1), storage
    )
    part.listed(0)
    assert (part.epochs.highest_epoch, part.electorate.longest_lease) == (epoch, longest)
    assert part.electorate.stored_lists() == [tuple(entry) for entry in lists]
    storage.save.assert_called_once_with(octets)


def test_topic_and_verdicts_are_unchanged():
    assert LeasePart.topic == load("lease")["topic"]
    assert load("lease")["verdicts"] == [
        Verdict.GRANTED,
        Verdict.HELD,
        Verdict.OTHER_CANDIDATE,
        Verdict.SILENT,
        Verdict.EPOCH_USED,
        Verdict.OTHER_LIST,
        Verdict.FULL,
        Verdict.EPOCH_TOO_FAR,
        Verdict.SUCCESSOR_NOTED,
    ]
