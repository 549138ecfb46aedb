"""Decodes gossip datagrams seen by the rig's relays, independently of the gateway and only as far as claims need."""

from __future__ import annotations

from typing import Any

import msgspec

HEADER_SIZE, MAGIC, VERSION = 19, b"yb", 2


def decode_datagram(data: bytes) -> list[tuple[str, str, list[Any]]]:
    """The sender, topic and fields of each message in a datagram. Empty if it is malformed or of another protocol."""
    if data[:2] != MAGIC or data[2:3] != bytes((VERSION,)):
        return []
    try:
        _, sender, _, _, items, *_ = msgspec.msgpack.decode(data[HEADER_SIZE:])
        found = [(str(sender), str(topic), msgspec.msgpack.decode(body)) for topic, body, *_ in items]
    except (msgspec.DecodeError, ValueError, TypeError):
        return []
    return [(sender, topic, body) for sender, topic, body in found if isinstance(body, list) and body]


def holdings(data: bytes) -> list[dict[str, Any]]:
    """Facts for the versions of the distributed list that a gateway announces in one datagram."""
    found = []
    for sender, topic, body in decode_datagram(data):
        if topic == "list" and body[0] == "have" and len(body) == 3:
            (epoch, number), digest = body[1], body[2]
            found.append({"kind": "holds", "gateway": sender, "epoch": epoch, "number": number, "digest": digest.hex()})
    return found


def items(data: bytes) -> list[dict[str, Any]]:
    """Facts for the channel items in one datagram. ``sender`` may relay an item that ``owner`` created."""
    found = []
    for sender, topic, body in decode_datagram(data):
        if topic == "feed" and body[0] == "item" and len(body) >= 6:
            _, channel, epoch, sequence, _, owner, *_ = body
            found.append(
                {
                    "kind": "item",
                    "channel": channel,
                    "epoch": epoch,
                    "sequence": sequence,
                    "sender": sender,
                    "owner": owner,
                }
            )
    return found
