"""Gossip messages as the rig's relays see them: a small reader of its own, of the fields that claims need."""

from __future__ import annotations

from typing import Any

import msgspec

HEAD, MAGIC, VERSION = 19, b"yb", 2


def letters(data: bytes) -> list[tuple[str, str, list[Any]]]:
    """What one datagram carries: sender, topic and fields. Nothing of what is spoilt or of another kind."""
    if data[:2] != MAGIC or data[2:3] != bytes((VERSION,)):
        return []
    try:
        _, sender, _, _, items, *_ = msgspec.msgpack.decode(data[HEAD:])
        found = [(str(sender), str(topic), msgspec.msgpack.decode(body)) for topic, body, *_ in items]
    except (msgspec.DecodeError, ValueError, TypeError):
        return []
    return [(sender, topic, body) for sender, topic, body in found if isinstance(body, list) and body]


def holdings(data: bytes) -> list[dict[str, Any]]:
    """Versions of the distributed list that a gateway says it holds, in one datagram, as facts."""
    found = []
    for sender, topic, body in letters(data):
        if topic == "list" and body[0] == "have" and len(body) == 3:
            (epoch, number), digest = body[1], body[2]
            found.append({"kind": "holds", "gateway": sender, "epoch": epoch, "number": number, "digest": digest.hex()})
    return found


def items(data: bytes) -> list[dict[str, Any]]:
    """Items of channels in one datagram, as facts. ``sender`` may hand on what ``owner`` has made."""
    found = []
    for sender, topic, body in letters(data):
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
