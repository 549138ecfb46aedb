"""Messages of channels."""

from tests.golden.cases import each, load
from yardbank.cluster.channels.members import Members
from yardbank.cluster.channels.messages import (
    ChannelState,
    EndedAt,
    EndQuery,
    FollowerProgress,
    Heartbeat,
    InterestDigest,
    InterestQuery,
    InterestSet,
    Item,
    OwnerQuery,
    Retransmit,
    Subscribe,
    TransferNotice,
)
from yardbank.cluster.channels.messages import decode as decode_message
from yardbank.cluster.channels.messages import encode as encode_message
from yardbank.cluster.channels.part import ChannelPart


def state(channel, epoch, sequence, age, owner, boot_epoch, after):
    after_position = after and tuple(after)
    return ChannelState(
        channel=channel,
        epoch=epoch,
        sequence=sequence,
        age=age,
        owner=owner,
        boot_epoch=boot_epoch,
        previous_end=after_position,
    )


MESSAGE_FACTORIES = {
    "item": lambda channel, epoch, sequence, data, owner, boot_epoch, after: Item(
        channel=channel,
        epoch=epoch,
        sequence=sequence,
        data=bytes.fromhex(data),
        owner=owner,
        boot_epoch=boot_epoch,
        previous_end=after and tuple(after),
    ),
    "heartbeat": lambda states: Heartbeat(states=tuple(state(*values) for values in states)),
    "subscribe": lambda channels: Subscribe(
        channels=tuple(
            FollowerProgress(channel=channel, epoch=epoch, sequence=sequence) for channel, epoch, sequence in channels
        )
    ),
    "retransmit request": lambda channel, epoch, first, last: Retransmit(
        channel=channel, epoch=epoch, first=first, last=last
    ),
    "end of epoch": lambda channel, epoch, sequence: EndedAt(channel=channel, epoch=epoch, sequence=sequence),
    "end query": lambda channel, epoch: EndQuery(channel=channel, epoch=epoch),
    "handover": lambda channel: TransferNotice(channel=channel),
    "holder query": lambda channels: OwnerQuery(channels=tuple(channels)),
    "interest digest": lambda number, own, other: InterestDigest(
        version=number, interests_hash=own, receiver_hash=other
    ),
    "interest query": lambda digest: InterestQuery(interests_hash=digest),
    "interest set": lambda digest, part, parts, owns, follows: InterestSet(
        interests_hash=digest, part=part, parts=parts, owns=tuple(owns), follows=tuple(follows)
    ),
}


@each("channels", "letters")
def test_the_encoding_of_a_message_is_unchanged(octets, meaning):
    kind, *values = meaning
    assert decode_message(octets) == MESSAGE_FACTORIES[kind](*values)
    assert encode_message(MESSAGE_FACTORIES[kind](*values)) == octets


def test_topic_and_interest_digests_are_unchanged():
    assert ChannelPart.topic == load("channels")["topic"]
    for owns, follows, digest in load("channels")["interests"]:
        members = Members("g1")
        members.set_own_interests(owns, follows)
        assert members.hash == digest
