"""Messages of the latency map. Encoding rounds the numbers, so decoded values differ from the original ones."""

from tests.golden.cases import each, load
from yardbank.cluster.latency_map.measurements import GatewayHealth
from yardbank.cluster.latency_map.messages import Entry, ReceivedRows, decode, digest, encode
from yardbank.cluster.latency_map.part import LatencyMapPart


def entry(value, spread, age, witnesses):
    return Entry(value=value, spread=spread, age=age, witnesses=witnesses)


def rows(values):
    return tuple((own, {zone: entry(*figures) for zone, figures in row.items()}) for own, row in values)


@each("atlas", "letters")
def test_the_encoding_of_a_message_is_unchanged(octets, meaning):
    number, health, original, rounded = meaning
    zones = {zone for own, row in original for zone in (own, *row)}
    decoded = decode(octets, {digest(zone): zone for zone in zones})
    assert decoded == ReceivedRows(number=number, health=health, own_zone=original[0][0], rows=rows(rounded))
    assert encode(number, health, rows(original)) == octets


def test_topic_and_states_are_unchanged():
    assert LatencyMapPart.topic == load("atlas")["topic"]
    assert load("atlas")["states"] == [GatewayHealth.WELL, GatewayHealth.DOUBTFUL, GatewayHealth.SLOW]
