"""Which client connections are kept, which give way, and how descriptors are shared."""

from hypothesis import given
from hypothesis import strategies as st

from yardbank.gateway.api import MS, SECOND
from yardbank.platform.admission import OWN, Admission, AdmissionLimits, Descriptors, State


def test_a_connection_that_says_nothing_gives_way_then_an_idle_one_but_never_a_busy_one():
    admission = Admission(AdmissionLimits())
    assert [admission.arrived(number, 0, 3) for number in (1, 2, 3)] == [None, None, None]
    assert admission.arrived(4, MS, 3) == 4  # the others have only just come
    admission.became(2, State.IDLE, MS)
    admission.became(3, State.BUSY, MS)
    assert admission.arrived(4, 300 * MS, 3) == 1
    assert admission.arrived(5, 310 * MS, 3) == 5
    admission.became(4, State.BUSY, 310 * MS)
    assert admission.arrived(6, 3 * SECOND, 3) == 2
    admission.became(6, State.BUSY, 3 * SECOND)
    assert admission.arrived(7, 60 * SECOND, 3) == 7
    assert admission.closable() == [] and len(admission) == 3


def test_time_runs_from_when_a_state_began():
    admission = Admission(AdmissionLimits())
    for number in (1, 2, 3, 4):
        admission.arrived(number, 0, 9)
    admission.became(2, State.PARTIAL, SECOND)
    admission.became(2, State.PARTIAL, 2 * SECOND)  # a drip of octets buys no time
    admission.became(3, State.IDLE, SECOND)
    admission.became(4, State.BUSY, 0)
    assert admission.overdue(2 * SECOND) == [(1, State.NEW)]
    admission.left(1)
    assert admission.overdue(3 * SECOND) == [(2, State.PARTIAL)]
    admission.left(2)
    admission.served(3, 9 * SECOND)
    assert admission.overdue(18 * SECOND) == []
    assert admission.overdue(19 * SECOND) == [(3, State.IDLE)]
    assert admission.closable() == [3]


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from([*State, "left", "arrived"]), st.integers(0, SECOND))))
def test_admission_keeps_its_bound_and_loses_count_of_none(steps):
    admission, now, held = Admission(AdmissionLimits()), 0, {}
    for number, step, pause in steps:
        now += pause
        if step == "arrived":
            if number not in held:
                way = admission.arrived(number, now, 3)
                if way != number:
                    held[number] = State.NEW
                    if way is not None:
                        assert held.pop(way) is not State.BUSY
        elif step == "left":
            admission.left(number)
            held.pop(number, None)
        else:
            admission.became(number, step, now)
            if number in held:
                held[number] = step
        assert len(admission) == len(held) <= 3
        assert all(admission.count(state) == list(held.values()).count(state) for state in State)
        assert all(held[number] is state is not State.BUSY for number, state in admission.overdue(now))


@given(st.integers(64, 4096), st.lists(st.tuples(st.booleans(), st.integers(0, 4096))))
def test_clients_and_servers_together_never_hold_more_than_there_are(sockets, steps):
    descriptors, clients, servers = Descriptors.of(sockets), 0, 0
    assert descriptors.both + descriptors.closing + OWN <= sockets
    assert descriptors.for_clients(descriptors.servers_least) > sockets // 3
    for clients_grow, wanted in steps:  # whoever grows looks at what the other holds at that time; all may shrink
        if clients_grow:
            clients = min(wanted, max(clients, descriptors.for_clients(servers)))
        else:
            servers = min(wanted, max(servers, descriptors.for_servers(clients)))
        assert clients + servers <= descriptors.both
        assert descriptors.for_servers(clients) >= descriptors.servers_least >= sockets // 5
