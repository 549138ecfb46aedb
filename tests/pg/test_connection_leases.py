"""Transaction-level connection pool: which client gets which connection, in what state, within which limits."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.pg.classify import Taint
from yardbank.pg.pool.lease import Close, ConnectionRequest, Grant, Leases, Limits, Open, Refuse, Reset

FAR_DEADLINE = 10**12


def request(key, client=1, user="u", database="d", priority=1.0, deadline=FAR_DEADLINE):
    return ConnectionRequest(key, client, user, database, priority, deadline)


def pool_with_leases(limits=None, clients=1):
    """A pool with one connection leased to each of some clients."""
    leases = Leases(limits)
    for client in range(1, clients + 1):
        (action,) = leases.request(0, request(f"a{client}", client))
        assert leases.connection_opened(0, action.connection) == [Grant(f"a{client}", action.connection)]
    return leases


def test_connection_is_reused_after_each_transaction():
    leases = pool_with_leases(Limits(connections=1))
    assert leases.request(1, request("b", 2)) == []  # none is free, and the limit is reached
    # the client keeps the connection until its transaction ends
    assert leases.transaction_ended(2, 1, "T") == [] and leases.transaction_ended(3, 1, "E") == []
    assert leases.transaction_ended(4, 1, "I") == [Grant("b", 1)]
    assert leases.waiting == 0


def test_waiting_transactions_are_ordered_by_priority_fairness_and_deadline():
    leases = pool_with_leases(Limits(connections=1))
    for key, user, priority, deadline in (
        ("low", "u", 1, 5),
        ("late", "u", 2, 9),
        ("soon", "u", 2, 8),
        ("other", "v", 2, 10),
    ):
        assert leases.request(1, request(key, 2, user, "d", priority, deadline)) == []
    assert leases.transaction_ended(2, 1, "I") == [Grant("soon", 1)]  # priority first, then the earlier deadline
    assert leases.transaction_ended(2, 1, "I") == [Close(1)]  # v is next, but the connection belongs to u
    (action,) = leases.connection_lost(3, 1)
    assert (action.user, action.connection) == ("v", 2)
    assert leases.connection_opened(3, 2) == [Grant("other", 2)]
    assert leases.transaction_ended(4, 2, "I") == [Close(2)]
    (action,) = leases.connection_lost(4, 2)
    assert leases.connection_opened(4, action.connection) == [Grant("late", 3)]
    assert leases.expire(8) == [Refuse("low", "no connection came free in time")]


def test_session_settings_follow_their_client_and_are_reset_for_others():
    leases = pool_with_leases(Limits(connections=1))
    assert leases.transaction_ended(1, 1, "I", [Taint.SETTING], {"timezone": "UTC", "work_mem": "1MB"}) == []
    assert leases.request(2, request("b", 2)) == [Grant("b", 1, (("timezone", None), ("work_mem", None)))]
    assert leases.transaction_ended(3, 1, "I", [Taint.SETTING], {"timezone": "GMT"}) == []
    assert leases.request(4, request("c", 1)) == [Grant("c", 1, (("timezone", "UTC"), ("work_mem", "1MB")))]
    assert leases.transaction_ended(5, 1, "I", [Taint.SETTING], {"": None}) == []  # RESET ALL
    assert leases.request(6, request("d", 1)) == [Grant("d", 1)]


@pytest.mark.parametrize("taint", [Taint.TEMPORARY, Taint.UNKNOWN])
def test_session_state_pins_the_connection_until_its_client_disconnects(taint):
    leases = pool_with_leases(Limits(connections=2), clients=2)
    leases.transaction_ended(1, 1, "I", [taint])
    assert leases.request(2, request("x", 3)) == []  # the pinned connection is not available
    assert leases.request(3, request("mine", 1)) == [Grant("mine", 1)]
    leases.transaction_ended(4, 1, "I")
    if taint is Taint.TEMPORARY:
        assert leases.client_disconnected(5, 1) == [Reset(1, "DISCARD ALL")]
        assert leases.reset_done(6, 1, "I") == [Grant("x", 1)]
        return
    assert leases.client_disconnected(5, 1) == [Close(1)]
    (action,) = leases.connection_lost(6, 1)
    assert isinstance(action, Open) and leases.connection_opened(7, action.connection) == [
        Grant("x", action.connection)
    ]


def test_transaction_of_a_disconnected_client_is_rolled_back_before_reuse():
    leases = pool_with_leases(Limits(connections=1))
    leases.request(1, request("b", 2))
    assert leases.transaction_ended(2, 1, "T", stays=False) == [Reset(1, "ROLLBACK")]
    assert leases.reset_done(3, 1, "I") == [Grant("b", 1)]
    assert leases.transaction_ended(4, 1, "T", [Taint.ADVISORY], stays=False) == [Reset(1, "ROLLBACK")]
    assert leases.reset_done(5, 1, "I") == [Reset(1, "DISCARD ALL")]
    leases.request(6, request("c", 3))
    assert leases.reset_done(7, 1, "I") == [Grant("c", 1)]
    assert leases.transaction_ended(8, 1, "T", stays=False) == [Reset(1, "ROLLBACK")]
    assert leases.reset_done(9, 1, "E") == [Close(1)]  # the rollback failed


def test_limits_per_user_database_and_queue():
    leases = pool_with_leases(Limits(connections=5, of_user=1, of_database=2, waiting=2))
    assert leases.request(1, request("b", 2)) == []  # limit of the user
    (action,) = leases.request(1, request("c", 3, user="v"))
    leases.connection_opened(1, action.connection)
    assert leases.request(2, request("d", 4, user="w")) == []  # limit of the database
    assert leases.request(3, request("e", 5)) == [Refuse("e", "more than 2 wait for a connection")]
    assert leases.cancel(4, "b") == [] and leases.waiting == 1
    with pytest.raises(ValueError, match=r"pool\.connections"):
        Limits(connections=0)


@given(st.integers(0, 2**32))
@settings(max_examples=150, deadline=None)
def test_random_events_keep_the_limits_and_finish_every_request(seed):
    rng = random.Random(seed)
    limits = Limits(connections=rng.randint(1, 4), of_user=rng.randint(1, 4), of_database=rng.randint(1, 4), waiting=8)
    leases, now, requests = Leases(limits), 0, {}
    leased, opening, cleaning, closing_connections = {}, set(), {}, set()
    owner, dirty = {}, {}  # by connection: its (user, database); the only client that may use its session
    finished = set()

    def act(actions):
        for action in actions:
            match action:
                case Grant(key, number, _):
                    granted_request = requests[key]
                    assert (
                        key not in finished
                        and number not in leased
                        and number not in closing_connections | opening | set(cleaning)
                    )
                    assert owner[number] == (granted_request.user, granted_request.database)
                    assert dirty.get(number) in (None, granted_request.client), "another client's session is seen"
                    leased[number] = granted_request
                    finished.add(key)
                case Open(number, user, database):
                    owner[number] = user, database
                    opening.add(number)
                    assert len(owner) <= limits.connections
                    assert sum(u == user for u, _ in owner.values()) <= limits.of_user
                    assert sum(d == database for _, d in owner.values()) <= limits.of_database
                case Reset(number, text):
                    cleaning[number] = text
                case Close(number):
                    assert number not in leased
                    closing_connections.add(number)
                case Refuse(key, _):
                    assert key not in finished
                    finished.add(key)

    def lose(number):
        leased.pop(number, None)
        for collection in (opening, closing_connections):
            collection.discard(number)
        cleaning.pop(number, None)
        dirty.pop(number, None)
        del owner[number]
        act(leases.connection_lost(now, number))

    def step(closing=False):
        nonlocal now
        now += 1
        event = rng.choices(
            ("ask", "end", "open", "clean", "shut", "lose", "leave"),
            (0 if closing else 5, 5, 4, 4, 4, 0 if closing else 0.3, 1),
        )[0]
        if event == "ask":
            client = rng.randrange(6)
            user, database = f"u{client % 3}", f"d{client % 2}"
            key = f"k{len(requests)}"
            requests[key] = ConnectionRequest(
                key, client, user, database, rng.choice((1.0, 3.0)), now + rng.randint(5, 60)
            )
            act(leases.request(now, requests[key]))
        elif event == "end" and leased:
            number = rng.choice(sorted(leased))
            granted_request = leased.pop(number)
            taints = rng.choice(((), (), (), (Taint.TEMPORARY,), (Taint.ADVISORY,), (Taint.SETTING,)))
            if set(taints) & {Taint.TEMPORARY, Taint.ADVISORY}:
                dirty[number] = granted_request.client
            stays = rng.random() < 0.6
            status = "I" if stays else rng.choice("ITE")
            act(
                leases.transaction_ended(
                    now, number, status, taints, {"a": "1"} if Taint.SETTING in taints else {}, stays
                )
            )
        elif event == "open" and opening:
            number = rng.choice(sorted(opening))
            opening.discard(number)
            act(leases.connection_opened(now, number))
        elif event == "clean" and cleaning:
            number = rng.choice(sorted(cleaning))
            if cleaning.pop(number) == "DISCARD ALL":
                dirty.pop(number, None)
            act(leases.reset_done(now, number, "I" if rng.random() < 0.9 else "E"))
        elif event == "shut" and closing_connections:
            lose(rng.choice(sorted(closing_connections)))
        elif event == "lose" and owner:
            lose(rng.choice(sorted(owner)))
        elif event == "leave":
            client = rng.randrange(6)
            if not any(granted_request.client == client for granted_request in leased.values()):
                act(leases.client_disconnected(now, client))
        act(leases.expire(now))

    for _ in range(150):
        step()
    for _ in range(600):
        step(closing=True)
    now += 100
    act(leases.expire(now))
    assert finished == set(requests) and leases.waiting == 0
