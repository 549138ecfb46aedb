"""Messages of parts between gateways: packing, signing, dispatch by topic, rate limits; and the file store."""

from collections import Counter
from random import Random

import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st

from yardbank.cluster.peers import batch, datagram
from yardbank.cluster.peers.batch import Batch, BatchEntry
from yardbank.cluster.peers.datagram import DroppedError
from yardbank.cluster.peers.file_store import FileStore
from yardbank.cluster.peers.node import GossipNode
from yardbank.cluster.peers.parts import Message
from yardbank.testing.rig.gossip import GossipFleet

KEY = b"k" * 32
SECOND = 10**9


class Echo:
    """A part that answers requests and records the messages that it receives."""

    topic, rate = "echo", None

    def __init__(self, node=None):
        self.heard, self.out, self.lists = [], [], 0

    def listed(self, now):
        self.lists += 1

    def receive(self, now, sender, boot_epoch, body):
        if body == b"odd":
            raise DroppedError("shape")
        self.heard.append((sender, body))
        if body == b"ask":
            self.out.append(Message(sender, b"answer"))

    def tick(self, now):
        pass

    def next_at(self):
        return None

    def outgoing_messages(self):
        found, self.out = self.out, []
        return found

    def view(self, now):
        return {"heard": len(self.heard)}


@given(st.lists(st.binary(max_size=1300), max_size=60))
def test_packed_messages_keep_their_order_and_fit_their_datagrams(bodies):
    capacity = batch.entry_capacity("porting", "g1")
    packed = batch.pack([BatchEntry("echo", body) for body in bodies], capacity)
    fitting = [body for body in bodies if batch.size_of(BatchEntry("echo", body)) <= capacity]
    assert [item.body for items in packed for item in items] == fitting
    for items in packed:
        data = batch.encode(Batch("porting", "g1", 7, 8, tuple(items)), [KEY])
        assert len(data) <= datagram.MAX_OCTETS and batch.decode(data, [KEY], "porting").entries == tuple(items)


def test_batch_corrupt_in_any_octet_is_dropped_whole():
    data = batch.encode(Batch("porting", "g1", 7, 8, (BatchEntry("echo", b"x"),)), [KEY])
    for at in range(len(data)):
        with pytest.raises(DroppedError):
            batch.decode(data[:at] + bytes((data[at] ^ 1,)) + data[at + 1 :], [KEY], "porting")
    with pytest.raises(DroppedError, match="version"):  # how a program that only knows version 1 sees it
        datagram.decode(data, [KEY], "porting")


def test_unknown_fields_of_newer_versions_are_ignored():
    more = batch.msgspec.msgpack.encode(["porting", "g1", 7, 8, [["echo", b"x", "new"]], "new too"])
    found = batch.decode(datagram.seal(batch.VERSION, more, [KEY]), [KEY], "porting")
    assert found.entries == (BatchEntry("echo", b"x"),)


def test_messages_reach_their_part_and_unusable_ones_or_unknown_topics_are_counted():
    made = {}
    fleet = GossipFleet(["a", "b"], parts=lambda node, random: [made.setdefault(node.name, Echo())])
    for name in fleet.names:
        fleet.start(name)
    made["a"].out = [Message("b", b"ask"), Message("b", b"odd"), Message("stranger", b"ask")]
    fleet.prompt("a")
    fleet.run(SECOND)
    assert made["b"].heard == [("a", b"ask")] and made["a"].heard == [("b", b"answer")]
    assert fleet.nodes["b"].dropped == Counter({"echo shape": 1})
    del fleet.nodes["b"].outbox.parts["echo"]
    made["a"].out = [Message("b", b"ask")]
    fleet.prompt("a")
    fleet.run(2 * SECOND)
    assert fleet.nodes["b"].dropped["topic"] == 1


def test_messages_keep_to_the_rate_and_urgent_ones_may_exceed_it():
    node, echo = GossipNode("a", "porting", [KEY], 1, Random(1)), Echo()
    node.add(echo)
    node.listed(SECOND, ["a", "b"])
    assert echo.lists == 1
    echo.out = [Message("b", bytes(1000)) for _ in range(40)] + [Message("b", b"now", urgent=True)]
    sent = [data for _, data in node.flush(SECOND)]
    first = batch.decode(sent[0], [KEY], "porting")
    assert first.entries == (BatchEntry("echo", b"now"),)
    assert (
        sum(map(len, sent)) <= 20 * 1024 + 2400 and node.outbox.withheld > 15
    )  # with the reserved share of other messages
    echo.out = [Message("b", bytes(1000)), Message("b", b"now", urgent=True)]
    assert len(node.flush(SECOND)) == 1


def test_round_trips_are_timed_by_peer():
    seen = []
    fleet = GossipFleet(["a", "b", "c"])
    for name in fleet.names:
        fleet.start(name)
    fleet.nodes["a"].on_round_trip.append(lambda now, peer, ns: seen.append((peer, ns)))
    fleet.run(10 * SECOND)
    assert {peer for peer, _ in seen} == {"b", "c"} and all(1_000_000 <= ns <= 4_000_000 for _, ns in seen)


def test_list_hash_depends_on_zones():
    one, other = (GossipNode(name, "porting", [KEY], 1, Random(1)) for name in "ab")
    one.listed(0, ["a", "b"], {"a": "norte", "b": "sur"})
    other.listed(0, ["a", "b"], {"a": "norte", "b": "sur"})
    assert one.list_hash == other.list_hash and one.membership_view.zones() == {"a": "norte", "b": "sur"}
    other.listed(0, ["a", "b"], {"a": "norte", "b": "norte"})
    assert one.list_hash != other.list_hash


def test_file_store_loads_the_saved_data_or_nothing(tmp_path):
    store = FileStore(tmp_path / "deep" / "kept", structlog.get_logger())
    assert store.load() is None and store.save(b"epoch 7") and store.load() == b"epoch 7"
    path = tmp_path / "deep" / "kept"
    whole = path.read_bytes()
    for cut in range(len(whole)):
        path.write_bytes(whole[:cut])
        assert store.load() is None
    path.write_bytes(whole[:-1] + b"8")
    assert store.load() is None
    path.unlink()
    path.mkdir()
    assert not store.save(b"epoch 8") and store.load() is None


def test_burst_to_all_peers_is_not_dropped_as_old_by_any_recipient():
    """Sequence numbers are counted by recipient.

    With one sequence for all, the numbers of a burst to hundreds of peers would jump at each recipient, and a datagram
    overtaken by a later one would fall out of the replay window.
    """
    node, echo = GossipNode("a", "porting", [KEY], 1, Random(1)), Echo()
    node.add(echo)
    names = ["a", *(f"g{number}" for number in range(100))]
    node.listed(SECOND, names)
    echo.out = [Message(name, b"x", urgent=True) for name in names[1:] for _ in range(2)]
    first = node.flush(SECOND)
    echo.out = [Message("g0", b"y", urgent=True)]
    later = node.flush(SECOND)
    other = GossipNode("g0", "porting", [KEY], 1, Random(2))
    other.add(heard := Echo())
    other.listed(SECOND, names)
    for _, data in later + [one for one in first if one[0] == "g0"]:  # arrive out of order
        other.receive(SECOND, data)
    assert sorted(body for _, body in heard.heard) == [b"x", b"x", b"y"] and not other.dropped


def test_other_messages_keep_a_share_of_the_rate_beside_urgent_ones():
    """Lease renewals once used up the whole rate, and a restarted gateway learned of no rollout for 50 s."""
    node, echo, passed = GossipNode("a", "porting", [KEY], 1, Random(1)), Echo(), 0
    node.add(echo)
    node.listed(SECOND, ["a", "b"])
    for second in range(1, 60):
        echo.out = [Message("b", bytes(1100), urgent=True) for _ in range(2)] + [Message("b", b"other")]
        passed += sum(len(data) < 200 for _, data in node.flush(second * SECOND))
    assert passed == 59
