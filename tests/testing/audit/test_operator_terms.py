"""Judgements from what crossed the sockets, over records made by hand: each holds, and finds what is put in."""

from itertools import count

from yardbank.testing.audit.client_departure import GoneBounds, departures, gone_clients
from yardbank.testing.audit.cold_sum import ColdBounds, cold_sum
from yardbank.testing.audit.lateness import Lateness
from yardbank.testing.audit.notification_deadline import ToldBounds, told_in_time

# Gone clients


def taken(tag, at=1.0, client="c1", port=4001, message=2):
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


def leavers(number, first_attempt):
    """So many clients that go at 2.0, each with a request; when the first attempt of each begins, if it does."""
    rows = []
    for n in range(number):
        rows += taken(f"c{n}/1", client=f"c{n}", port=5000 + n)
        rows.append(reached(2.0, 5000 + n))
        if (at := first_attempt(n)) is not None:
            rows.append(begun(f"c{n}/1", at))
    return in_order(rows)


def test_attempts_of_clients_that_have_gone_break_it_from_the_third_on():
    for number, held in ((2, True), (3, False)):
        found = gone_clients(leavers(40, lambda n, most=number: 2.2 if n < most else 1.5))
        assert found.held is held and f"{number} attempts" in found.seen
    assert found.fact["kind"] == "begun" and found.fact["tag"] in found.seen
    assert gone_clients(leavers(40, lambda n: 2.2 if n < 3 else 1.5), GoneBounds(cases=4)).held


def test_the_bound_itself_is_no_case_and_a_further_attempt_is_one():
    assert gone_clients(leavers(10, lambda n: 2.1)).held
    assert not gone_clients(leavers(10, lambda n: 2.1001)).held
    further = [begun(f"c{n}/1", 2.5, server="a-2") for n in range(3)]
    first = leavers(10, lambda n: 1.5)
    assert gone_clients(first).held and not gone_clients(in_order(first, further)).held
    assert "0 waited" in gone_clients(first).seen


def test_over_a_quarter_of_those_that_waited_breaks_it_and_five_at_least():
    few = GoneBounds(cases=1000)
    for waiting, late, held in ((20, 5, True), (20, 6, False), (4, 4, True), (5, 5, False), (19, 5, False)):
        sent_late = leavers(waiting, lambda n, late=late: 2.4 if n < late else None)
        assert gone_clients(sent_late, few).held is held, (waiting, late)
    assert gone_clients(leavers(8, lambda n: 2.3), few).held
    assert not gone_clients(leavers(8, lambda n: 2.3001), few).held


def test_what_was_answered_before_and_whose_client_stays_is_nobody_gone():
    answer = {"at": 1.5, "kind": "answer", "client": "c1", "tag": "c1/1", "code": 0}
    assert departures(in_order(taken("c1/1"), answer, reached(2.0))) == {}
    assert departures(in_order(taken("c1/1"), reached(2.0, port=4002))) == {}
    reused = in_order(taken("c1/1"), taken("c2/1", 1.5, "c2"), reached(2.0))
    assert list(departures(reused)) == ["c2/1"]
    nobody = gone_clients(in_order(taken("c1/1"), begun("c1/1", 1.1)))
    assert not nobody.held and nobody.seen.startswith("0 requests")  # nothing was shown


def test_a_cancelled_request_has_gone_and_the_others_of_its_connection_have_not():
    facts = in_order(
        taken("c1/1", message=2), taken("c1/2", 1.1, message=3)[1:], reached(2.0, what="abandon", message=2)
    )
    assert list(departures(facts)) == ["c1/1"]
    both = in_order(facts, reached(3.0))
    assert {tag: fact["at"] for tag, fact in departures(both).items()} == {"c1/1": 2.0, "c1/2": 3.0}


def test_what_the_rig_may_have_noted_late_is_judged_by_the_earliest_time():
    facts = leavers(10, lambda n: 2.2)
    assert not gone_clients(facts).held
    assert gone_clients(in_order(facts, {"at": 2.25, "kind": "rig_late", "by": 0.2})).held
    assert not gone_clients(in_order(facts, {"at": 2.25, "kind": "rig_late", "by": 0.06})).held
    assert not gone_clients(in_order(facts, {"at": 2.16, "kind": "rig_late", "by": 0.2})).held
    late = Lateness([{"at": 5.0, "kind": "rig_late", "by": 1.0}])
    assert [late.earliest(at) for at in (3.9, 4.5, 5.0, 5.02, 5.1)] == [3.9, 4.0, 4.0, 4.0, 5.1]


# Cold servers


def start(at=10.0, server="a-1", per_s=40.0):
    return {"at": at, "kind": "start", "server": server, "cold_s": 4.0, "cold_share": 0.25, "per_s": per_s}


def calls(number, at, server="a-1", gateways=20, op="search"):
    tags = count()
    return [begun(f"{server}/{next(tags)}", at + n * 1e-4, f"g{n % gateways}", server, op) for n in range(number)]


def test_the_sum_of_all_gateways_stays_within_budget_and_chance():
    bounds = ColdBounds(multiple=2.0, window=1.25)  # 2 x 10 x 1.25: N = 25, and 2 x 5 + 2 beside it
    assert cold_sum([start(), *calls(37, 10.0)], bounds).held
    over = cold_sum([start(), *calls(38, 10.0)], bounds)
    assert not over.held and "38 calls" in over.seen and "from 20 gateways" in over.seen and "25.0" in over.seen
    assert over.fact["kind"] == "begun" and over.fact["tag"] == "a-1/37"
    assert cold_sum([start(), *calls(38, 10.0)], ColdBounds(2.0, 1.25, spare=3.0)).held


def test_retries_and_probes_are_counted_and_servers_by_themselves():
    bounds = ColdBounds(2.0, 1.25)
    mixed = [*calls(20, 10.0), *calls(18, 10.1, op="probe")]
    assert not cold_sum([start(), *mixed], bounds).held
    again = [begun("same", 10.0 + n * 1e-3) for n in range(38)]  # one request, sent again and again
    assert not cold_sum([start(), *again], bounds).held
    both = [start(), start(server="a-2"), *calls(37, 10.0), *calls(37, 10.0, "a-2")]
    assert cold_sum(in_order(both), bounds).held
    second = cold_sum(in_order([*both, begun("x", 10.5, server="a-2")]), bounds)
    assert not second.held and second.seen.startswith("a-2")


def test_windows_move_and_the_budget_grows_with_the_servers_capacity():
    bounds = ColdBounds(2.0, 1.25)
    apart = [start(), *calls(30, 10.0), *calls(30, 11.26)]
    assert cold_sum(in_order(apart), bounds).held
    assert not cold_sum(in_order([start(), *calls(20, 10.0), *calls(20, 11.2)]), bounds).held
    warmer = cold_sum([start(), *calls(69, 12.0)], bounds)  # 2 x 25 x 1.25 = 62.5: 80 with chance
    assert warmer.held and not cold_sum([start(), *calls(81, 12.0)], bounds).held
    assert not cold_sum(
        [start(), *calls(121 + 1, 13.9999)], bounds
    ).held  # runs on beyond the warming up: N is near 100
    assert not cold_sum([start(), *calls(500, 14.1)], bounds).held  # nothing was sent while it was cold: no proof
    assert cold_sum([start(), begun("x", 10.0), *calls(500, 14.1)], bounds).held  # a warm one may get any number
    assert not cold_sum([*calls(500, 9.0), start()], bounds).held
    assert "0 calls" in cold_sum([*calls(500, 9.0), start()], bounds).seen


def test_a_server_that_starts_once_more_is_judged_from_then_on_anew():
    bounds = ColdBounds(2.0, 1.25)
    facts = in_order([start(), begun("x", 10.0), start(12.0), *calls(38, 12.0)])
    assert not cold_sum(facts, bounds).held


# Told


def fact(kind, at, state="draining", gateway="g1", server="a-1"):
    return {"at": at, "kind": kind, "gateway": gateway, "server": server, "state": state}


def discovery(at, reached, gateway="g1"):
    return {"at": at, "kind": "discovery", "gateway": gateway, "reached": reached}


def process(at, what, name="g1"):
    return {"at": at, "kind": "process", "name": name, "what": what}


def broken(*rows, **bounds):
    found = told_in_time(in_order(list(rows)), ToldBounds(**bounds))
    assert (found.fact is None) == (found.held or found.seen == "0 drains kept")
    return found.fact is not None


def test_a_change_counts_as_told_when_written_or_after_the_bound():
    listed = fact("listed", 10.0)
    assert not broken(listed, begun("x", 16.5)) and broken(listed, begun("x", 16.501))
    assert broken(listed, fact("told", 11.0), begun("x", 11.501)) and not broken(
        listed, fact("told", 11.0), begun("x", 11.5)
    )
    assert not broken(listed, fact("told", 18.0), begun("x", 16.4)) and broken(
        listed, fact("told", 18.0), begun("x", 16.6)
    )
    assert broken(listed, begun("x", 12.6), bound=2.0) and not broken(listed, begun("x", 12.6), bound=2.0, grace=0.7)


def test_each_gateway_and_each_server_by_itself_and_probes_are_no_work():
    listed = fact("listed", 10.0)
    assert not broken(listed, begun("x", 18.0, "g2")) and not broken(listed, begun("x", 18.0, server="a-2"))
    assert not broken(listed, begun("", 18.0, op="probe"))
    assert broken(fact("listed", 10.0, "gone"), begun("x", 18.0))
    assert not told_in_time([begun("x", 18.0)]).held  # no drain at all shows nothing


def test_discovery_that_could_not_be_reached_counts_from_its_return():
    listed = fact("listed", 10.0)
    out = [discovery(9.0, False), discovery(13.0, True)]
    assert not broken(listed, *out, begun("x", 19.5)) and broken(listed, *out, begun("x", 19.501))
    assert broken(listed, *[{**one, "gateway": "g2"} for one in out], begun("x", 17.0))
    assert broken(listed, discovery(8.0, False), discovery(9.0, True), begun("x", 16.6))
    assert broken(listed, discovery(11.0, False), begun("x", 16.6))  # it could be reached as it had the change
    assert not broken(listed, *out, discovery(14.0, False), begun("x", 19.5))
    assert told_in_time([discovery(9.0, False), listed, begun("x", 99.0)]).seen == "0 drains kept"


def test_a_server_that_is_ready_again_takes_work_and_a_second_drain_counts_anew():
    first, back, second = fact("listed", 10.0), fact("listed", 20.0, "ready"), fact("listed", 30.0)
    assert not broken(first, back, begun("x", 20.1)) and broken(first, back, begun("x", 19.9))
    assert not broken(first, back, second, begun("x", 36.4)) and broken(first, back, second, begun("x", 36.6))
    assert broken(first, fact("listed", 14.0, "gone"), begun("x", 17.0))  # the same drain


def test_a_gateway_that_was_stopped_counts_as_told_when_it_goes_on():
    listed, told = fact("listed", 10.0), fact("told", 10.0)
    stop, goes_on = process(9.0, "pause"), process(12.0, "resume")
    assert not broken(listed, told, stop, goes_on, begun("x", 12.5))
    assert broken(listed, told, stop, goes_on, begun("x", 12.6))
    assert broken(listed, told, process(10.1, "pause"), goes_on, begun("x", 12.1))  # it had been told before
