"""Letters of the map of round trips; figures are rounded on the way, so what is read differs from what was given."""

from tests.golden.cases import each, load
from yardbank.cluster.latency_map.measurements import GatewayHealth
from yardbank.cluster.latency_map.messages import Entry, ReceivedRows, decode, digest, encode
from yardbank.cluster.latency_map.part import LatencyMapPart


def entry(value, spread, age, witnesses):
    return Entry(value=value, spread=spread, age=age, witnesses=witnesses)


def rows(values):
    return tuple((own, {zone: entry(*figures) for zone, figures in row.items()}) for own, row in values)


@each("atlas", "letters")
def test_a_letter_keeps_its_octets(octets, meaning):
    number, health, given, read = meaning
    zones = {zone for own, row in given for zone in (own, *row)}
    told = decode(octets, {digest(zone): zone for zone in zones})
    assert told == ReceivedRows(number=number, health=health, own_zone=given[0][0], rows=rows(read))
    assert encode(number, health, rows(given)) == octets


def test_topic_and_states_stay_the_same():
    assert LatencyMapPart.topic == load("atlas")["topic"]
    assert load("atlas")["states"] == [GatewayHealth.WELL, GatewayHealth.DOUBTFUL, GatewayHealth.SLOW]
