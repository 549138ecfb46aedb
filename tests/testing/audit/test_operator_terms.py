"""Claims checked on handmade records of network traffic: each passes a good record and finds the violations."""

from itertools import count

from yardbank.testing.audit.client_departure import DepartureBounds, departures, gone_clients
from yardbank.testing.audit.cold_sum import ColdBounds, cold_sum
from yardbank.testing.audit.lateness import RigDelays
from yardbank.testing.audit.notification_deadline import NotificationBounds, drains_notified_in_time

# Departed clients


def request_sent(tag, at=1.0, client="c1", port=4001, message=2):
    return [
        {"at": at - 0.1, "kind": "opened", "client": client, "port": port},
        {"at": at, "kind": "sent", "client": client, "tag": tag, "gateway": "g1", "message": message},
    ]


def begun(tag, at, gateway="g1", server="a-1", op="search"):
    return {"at": at, "kind": "begun", "gateway": gateway, "server": server, "tag": tag, "op": op}


def reached(at, port=4001, what="end", message=0):
    return {"at": at, "kind": "reached", "gateway": "g1", "port": port, "what": what, "message": message}


def in_order(*rows):
    facts = [fact for row in rows for fact in (row if isinstance(row, list) else [row])]
    return sorted(facts, key=lambda fact: fact["at"])


def departing_clients(number, first_attempt):
    """Clients with one request each that depart at 2.0; ``first_attempt`` gives the time of its attempt, if any."""
    rows = []
    for n in range(number):
        rows += request_sent(f"c{n}/1", client=f"c{n}", port=5000 + n)
        rows.append(reached(2.0, 5000 + n))
        if (at := first_attempt(n)) is not None:
            rows.append(begun(f"c{n}/1", at))
    return in_order(rows)


def test_three_attempts_after_departure_violate_the_claim():
    for number, held in ((2, True), (3, False)):
        found = gone_clients(departing_clients(40, lambda n, most=number: 2.2 if n < most else 1.5))
        assert found.held is held and f"{number} attempts" in found.seen
    assert found.fact["kind"] == "begun" and found.fact["tag"] in found.seen
    assert gone_clients(departing_clients(40, lambda n: 2.2 if n < 3 else 1.5), DepartureBounds(cases=4)).held


def test_an_attempt_at_the_bound_is_allowed_and_a_later_repeated_attempt_is_not():
    assert gone_clients(departing_clients(10, lambda n: 2.1)).held
    assert not gone_clients(departing_clients(10, lambda n: 2.1001)).held
    repeated = [begun(f"c{n}/1", 2.5, server="a-2") for n in range(3)]
    first = departing_clients(10, lambda n: 1.5)
    assert gone_clients(first).held and not gone_clients(in_order(first, repeated)).held
    assert "0 waited" in gone_clients(first).seen


def test_late_first_attempts_violate_above_a_quarter_of_waiting_requests_and_from_five_on():
    few = DepartureBounds(cases=1000)
    for waiting, late_count, held in ((20, 5, True), (20, 6, False), (4, 4, True), (5, 5, False), (19, 5, False)):
        sent_late = departing_clients(waiting, lambda n, late_count=late_count: 2.4 if n < late_count else None)
        assert gone_clients(sent_late, few).held is held, (waiting, late_count)
    assert gone_clients(departing_clients(8, lambda n: 2.3), few).held
    assert not gone_clients(departing_clients(8, lambda n: 2.3001), few).held


def test_answered_requests_and_connected_clients_are_not_departures():
    answer = {"at": 1.5, "kind": "answer", "client": "c1", "tag": "c1/1", "code": 0}
    assert departures(in_order(request_sent("c1/1"), answer, reached(2.0))) == {}
    assert departures(in_order(request_sent("c1/1"), reached(2.0, port=4002))) == {}
    reused = in_order(request_sent("c1/1"), request_sent("c2/1", 1.5, "c2"), reached(2.0))
    assert list(departures(reused)) == ["c2/1"]
    no_departures = gone_clients(in_order(request_sent("c1/1"), begun("c1/1", 1.1)))
    # A record without departures proves nothing.
    assert not no_departures.held and no_departures.seen.startswith("0 requests")


def test_cancelling_a_request_does_not_affect_others_on_its_connection():
    facts = in_order(
        request_sent("c1/1", message=2),
        request_sent("c1/2", 1.1, message=3)[1:],
        reached(2.0, what="abandon", message=2),
    )
    assert list(departures(facts)) == ["c1/1"]
    both = in_order(facts, reached(3.0))
    assert {tag: fact["at"] for tag, fact in departures(both).items()} == {"c1/1": 2.0, "c1/2": 3.0}


def test_facts_recorded_after_a_rig_delay_are_checked_at_their_earliest_time():
    facts = departing_clients(10, lambda n: 2.2)
    assert not gone_clients(facts).held
    assert gone_clients(in_order(facts, {"at": 2.25, "kind": "rig_late", "by": 0.2})).held
    assert not gone_clients(in_order(facts, {"at": 2.25, "kind": "rig_late", "by": 0.06})).held
    assert not gone_clients(in_order(facts, {"at": 2.16, "kind": "rig_late", "by": 0.2})).held
    delays = RigDelays([{"at": 5.0, "kind": "rig_late", "by": 1.0}])
    assert [delays.earliest_time(at) for at in (3.9, 4.5, 5.0, 5.02, 5.1)] == [3.9, 4.0, 4.0, 4.0, 5.1]


# Cold servers


def start(at=10.0, server="a-1", per_s=40.0):
    return {"at": at, "kind": "start", "server": server, "cold_s": 4.0, "cold_share": 0.25, "per_s": per_s}


def calls(number, at, server="a-1", gateways=20, op="search"):
    tags = count()
    return [begun(f"{server}/{next(tags)}", at + n * 1e-4, f"g{n % gateways}", server, op) for n in range(number)]


def test_calls_of_all_gateways_together_are_limited_by_budget_and_allowance():
    bounds = ColdBounds(multiple=2.0, window=1.25)  # budget 2 x 10 x 1.25 = 25, plus an allowance of 2 x 5 + 2
    assert cold_sum([start(), *calls(37, 10.0)], bounds).held
    over = cold_sum([start(), *calls(38, 10.0)], bounds)
    assert not over.held and "38 calls" in over.seen and "from 20 gateways" in over.seen and "25.0" in over.seen
    assert over.fact["kind"] == "begun" and over.fact["tag"] == "a-1/37"
    assert cold_sum([start(), *calls(38, 10.0)], ColdBounds(2.0, 1.25, spare=3.0)).held


def test_retries_and_probes_count_and_each_server_is_checked_separately():
    bounds = ColdBounds(2.0, 1.25)
    mixed = [*calls(20, 10.0), *calls(18, 10.1, op="probe")]
    assert not cold_sum([start(), *mixed], bounds).held
    again = [begun("same", 10.0 + n * 1e-3) for n in range(38)]  # one request, retried repeatedly
    assert not cold_sum([start(), *again], bounds).held
    both = [start(), start(server="a-2"), *calls(37, 10.0), *calls(37, 10.0, "a-2")]
    assert cold_sum(in_order(both), bounds).held
    second = cold_sum(in_order([*both, begun("x", 10.5, server="a-2")]), bounds)
    assert not second.held and second.seen.startswith("a-2")


def test_windows_slide_and_the_budget_grows_with_server_capacity():
    bounds = ColdBounds(2.0, 1.25)
    apart = [start(), *calls(30, 10.0), *calls(30, 11.26)]
    assert cold_sum(in_order(apart), bounds).held
    assert not cold_sum(in_order([start(), *calls(20, 10.0), *calls(20, 11.2)]), bounds).held
    warmer = cold_sum([start(), *calls(69, 12.0)], bounds)  # budget 2 x 25 x 1.25 = 62.5, 80 with the allowance
    assert warmer.held and not cold_sum([start(), *calls(81, 12.0)], bounds).held
    # The window extends past the warm-up: the budget is near 100.
    assert not cold_sum([start(), *calls(121 + 1, 13.9999)], bounds).held
    assert not cold_sum([start(), *calls(500, 14.1)], bounds).held  # no proof without calls while it was cold
    # Calls to a warm server are not limited.
    assert cold_sum([start(), begun("x", 10.0), *calls(500, 14.1)], bounds).held
    assert not cold_sum([*calls(500, 9.0), start()], bounds).held
    assert "0 calls" in cold_sum([*calls(500, 9.0), start()], bounds).seen


def test_a_restarted_server_is_checked_as_cold_again():
    bounds = ColdBounds(2.0, 1.25)
    facts = in_order([start(), begun("x", 10.0), start(12.0), *calls(38, 12.0)])
    assert not cold_sum(facts, bounds).held


# Notification deadline


def fact(kind, at, state="draining", gateway="g1", server="a-1"):
    return {"at": at, "kind": kind, "gateway": gateway, "server": server, "state": state}


def discovery(at, reached, gateway="g1"):
    return {"at": at, "kind": "discovery", "gateway": gateway, "reached": reached}


def process(at, what, name="g1"):
    return {"at": at, "kind": "process", "name": name, "what": what}


def violated(*rows, **bounds):
    found = drains_notified_in_time(in_order(list(rows)), NotificationBounds(**bounds))
    assert (found.fact is None) == (found.held or found.seen == "0 drains kept")
    return found.fact is not None


def test_a_gateway_counts_as_notified_when_the_change_is_sent_or_after_the_bound():
    listed = fact("listed", 10.0)
    assert not violated(listed, begun("x", 16.5)) and violated(listed, begun("x", 16.501))
    assert violated(listed, fact("told", 11.0), begun("x", 11.501)) and not violated(
        listed, fact("told", 11.0), begun("x", 11.5)
    )
    assert not violated(listed, fact("told", 18.0), begun("x", 16.4)) and violated(
        listed, fact("told", 18.0), begun("x", 16.6)
    )
    assert violated(listed, begun("x", 12.6), bound=2.0) and not violated(
        listed, begun("x", 12.6), bound=2.0, grace=0.7
    )


def test_gateways_and_servers_are_checked_separately_and_probes_are_exempt():
    listed = fact("listed", 10.0)
    assert not violated(listed, begun("x", 18.0, "g2")) and not violated(listed, begun("x", 18.0, server="a-2"))
    assert not violated(listed, begun("", 18.0, op="probe"))
    assert violated(fact("listed", 10.0, "gone"), begun("x", 18.0))
    assert not drains_notified_in_time([begun("x", 18.0)]).held  # a record without drains proves nothing


def test_the_bound_starts_when_discovery_is_reachable_again():
    listed = fact("listed", 10.0)
    unreachable = [discovery(9.0, False), discovery(13.0, True)]
    assert not violated(listed, *unreachable, begun("x", 19.5)) and violated(listed, *unreachable, begun("x", 19.501))
    assert violated(listed, *[{**one, "gateway": "g2"} for one in unreachable], begun("x", 17.0))
    assert violated(listed, discovery(8.0, False), discovery(9.0, True), begun("x", 16.6))
    assert violated(listed, discovery(11.0, False), begun("x", 16.6))  # discovery was reachable when it had the change
    assert not violated(listed, *unreachable, discovery(14.0, False), begun("x", 19.5))
    assert drains_notified_in_time([discovery(9.0, False), listed, begun("x", 99.0)]).seen == "0 drains kept"


def test_a_ready_server_accepts_requests_and_a_second_drain_is_checked_separately():
    first, ready, second = fact("listed", 10.0), fact("listed", 20.0, "ready"), fact("listed", 30.0)
    assert not violated(first, ready, begun("x", 20.1)) and violated(first, ready, begun("x", 19.9))
    assert not violated(first, ready, second, begun("x", 36.4)) and violated(first, ready, second, begun("x", 36.6))
    assert violated(first, fact("listed", 14.0, "gone"), begun("x", 17.0))  # still the same drain


def test_a_paused_gateway_counts_as_notified_when_it_resumes():
    listed, told = fact("listed", 10.0), fact("told", 10.0)
    stop, resume = process(9.0, "pause"), process(12.0, "resume")
    assert not violated(listed, told, stop, resume, begun("x", 12.5))
    assert violated(listed, told, stop, resume, begun("x", 12.6))
    assert violated(listed, told, process(10.1, "pause"), resume, begun("x", 12.1))  # it was notified before the pause
