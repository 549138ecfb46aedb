"""Admission: which client connections are kept or evicted, and how descriptors are shared."""

from hypothesis import given
from hypothesis import strategies as st

from yardbank.gateway.api import MS, SECOND
from yardbank.platform.admission import RESERVED_DESCRIPTORS, Admission, AdmissionLimits, Descriptors, State


def test_silent_connections_are_evicted_first_then_idle_ones_never_busy_ones():
    admission = Admission(AdmissionLimits())
    assert [admission.connected(number, 0, 3) for number in (1, 2, 3)] == [None, None, None]
    assert admission.connected(4, MS, 3) == 4  # the others are too young to be evicted
    admission.set_state(2, State.IDLE, MS)
    admission.set_state(3, State.BUSY, MS)
    assert admission.connected(4, 300 * MS, 3) == 1
    assert admission.connected(5, 310 * MS, 3) == 5
    admission.set_state(4, State.BUSY, 310 * MS)
    assert admission.connected(6, 3 * SECOND, 3) == 2
    admission.set_state(6, State.BUSY, 3 * SECOND)
    assert admission.connected(7, 60 * SECOND, 3) == 7
    assert admission.closable() == [] and len(admission) == 3


def test_timeouts_run_from_the_last_change_of_state():
    admission = Admission(AdmissionLimits())
    for number in (1, 2, 3, 4):
        admission.connected(number, 0, 9)
    admission.set_state(2, State.PARTIAL, SECOND)
    admission.set_state(2, State.PARTIAL, 2 * SECOND)  # further octets of the same message do not extend the timeout
    admission.set_state(3, State.IDLE, SECOND)
    admission.set_state(4, State.BUSY, 0)
    assert admission.timed_out(2 * SECOND) == [(1, State.NEW)]
    admission.remove(1)
    assert admission.timed_out(3 * SECOND) == [(2, State.PARTIAL)]
    admission.remove(2)
    admission.touch(3, 9 * SECOND)
    assert admission.timed_out(18 * SECOND) == []
    assert admission.timed_out(19 * SECOND) == [(3, State.IDLE)]
    assert admission.closable() == [3]


@given(st.lists(st.tuples(st.integers(0, 9), st.sampled_from([*State, "left", "arrived"]), st.integers(0, SECOND))))
def test_admission_keeps_its_limit_and_counts_every_connection(steps):
    admission, now, held = Admission(AdmissionLimits()), 0, {}
    for number, step, delay in steps:
        now += delay
        if step == "arrived":
            if number not in held:
                evicted = admission.connected(number, now, 3)
                if evicted != number:
                    held[number] = State.NEW
                    if evicted is not None:
                        assert held.pop(evicted) is not State.BUSY
        elif step == "left":
            admission.remove(number)
            held.pop(number, None)
        else:
            admission.set_state(number, step, now)
            if number in held:
                held[number] = step
        assert len(admission) == len(held) <= 3
        assert all(admission.count(state) == list(held.values()).count(state) for state in State)
        assert all(held[number] is state is not State.BUSY for number, state in admission.timed_out(now))


@given(st.integers(64, 4096), st.lists(st.tuples(st.booleans(), st.integers(0, 4096))))
def test_clients_and_servers_together_never_exceed_the_descriptor_total(sockets, steps):
    descriptors, clients, servers = Descriptors.of(sockets), 0, 0
    assert descriptors.total + descriptors.closing + RESERVED_DESCRIPTORS <= sockets
    assert descriptors.max_clients(descriptors.min_servers) > sockets // 3
    for clients_grow, wanted in steps:  # each side grows by what the other holds at that time; either may shrink
        if clients_grow:
            clients = min(wanted, max(clients, descriptors.max_clients(servers)))
        else:
            servers = min(wanted, max(servers, descriptors.max_servers(clients)))
        assert clients + servers <= descriptors.total
        assert descriptors.max_servers(clients) >= descriptors.min_servers >= sockets // 5
