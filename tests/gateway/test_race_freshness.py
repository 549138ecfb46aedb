"""A read's data become too old, or its server loses its role, between the decision to send it and the write."""

import pytest

from tests.support.delayed_gateway import COPY, LONE, Place
from tests.support.virtual_gateway import WRITE
from yardbank.gateway.api import MS, SECOND
from yardbank.interface import RequestClass

BOUNDED = RequestClass("read", 500 * MS, 3 * SECOND, 1, 0, "safe", read="bounded", staleness_bound=200 * MS)
FRESH = RequestClass("read", 500 * MS, 3 * SECOND, 1, 0, "safe", read="fresh")


def servers_by_name(harness):
    return {link.server.name: harness.router.servers[number] for number, link in endpoint_links(harness).items()}


def endpoint_links(harness):
    return harness.gateway._endpoints.links


@pytest.mark.parametrize(("opened_after", "sent"), [(0.18, "c"), (0.22, "p")])
def test_read_is_not_written_once_the_data_of_its_replica_are_too_old(opened_after, sent):
    harness = Place(LONE, COPY, classes=(BOUNDED, WRITE))
    harness.router.table.record_position(harness.gateway.now(), servers_by_name(harness)["c"], harness.gateway.now())
    sink = harness.ask()
    assert [server.name for server, _, _ in harness.backend.waiting] == ["c"]
    harness.clock.advance(opened_after)
    harness.up(0)
    if sent == "p":
        assert harness.backend.sent == [] and harness.statuses() == ["moot"]
        harness.up(1)
    assert harness.backend.sent == [(sent, "op")]
    harness.backend.connections[-1].answer()
    assert sink.finals == ["served"]


def test_read_is_not_written_to_a_primary_that_has_lost_its_role_meanwhile():
    harness = Place(LONE, COPY, classes=(FRESH, WRITE))
    sink = harness.ask()
    servers_by_name(harness)["p"].role.on_answer(False, harness.gateway.now())
    harness.up(0)
    assert harness.backend.sent == [] and harness.statuses() == ["moot"]
    harness.clock.advance(4)
    assert sink.finals == ["refused"]
