"""Connections shared by transaction: who gets which, in what state, and that nobody waits beside a free one."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.pg.classify import Taint
from yardbank.pg.pool.lease import Ask, Clean, Give, Leases, Limits, Open, Refuse, Shut

FAR = 10**12


def ask(key, client=1, user="u", database="d", worth=1.0, deadline=FAR):
    return Ask(key, client, user, database, worth, deadline)


def begun(limits=None, clients=1):
    """Leases with one connection given to each of some clients."""
    leases = Leases(limits)
    for client in range(1, clients + 1):
        (opens,) = leases.ask(0, ask(f"a{client}", client))
        assert leases.opened(0, opens.connection) == [Give(f"a{client}", opens.connection)]
    return leases


def test_a_connection_serves_one_transaction_after_another():
    leases = begun(Limits(connections=1))
    assert leases.ask(1, ask("b", 2)) == []  # none is free, and no more may be opened
    assert leases.ended(2, 1, "T") == [] and leases.ended(3, 1, "E") == []  # the client's own until it ends
    assert leases.ended(4, 1, "I") == [Give("b", 1)]
    assert leases.waiting == 0


def test_worth_then_turns_then_deadline():
    leases = begun(Limits(connections=1))
    for key, user, worth, deadline in (
        ("low", "u", 1, 5),
        ("late", "u", 2, 9),
        ("soon", "u", 2, 8),
        ("other", "v", 2, 10),
    ):
        assert leases.ask(1, ask(key, 2, user, "d", worth, deadline)) == []
    assert leases.ended(2, 1, "I") == [Give("soon", 1)]  # worth before all; of equals the earlier deadline
    assert leases.ended(2, 1, "I") == [Shut(1)]  # now it is v's turn, and this is u's connection
    (opens,) = leases.lost(3, 1)
    assert (opens.user, opens.connection) == ("v", 2)
    assert leases.opened(3, 2) == [Give("other", 2)]
    assert leases.ended(4, 2, "I") == [Shut(2)]
    (opens,) = leases.lost(4, 2)
    assert leases.opened(4, opens.connection) == [Give("late", 3)]
    assert leases.expire(8) == [Refuse("low", "no connection came free in time")]


def test_what_a_client_sets_follows_it_and_is_not_seen_by_others():
    leases = begun(Limits(connections=1))
    assert leases.ended(1, 1, "I", [Taint.SETTING], {"timezone": "UTC", "work_mem": "1MB"}) == []
    assert leases.ask(2, ask("b", 2)) == [Give("b", 1, (("timezone", None), ("work_mem", None)))]
    assert leases.ended(3, 1, "I", [Taint.SETTING], {"timezone": "GMT"}) == []
    assert leases.ask(4, ask("c", 1)) == [Give("c", 1, (("timezone", "UTC"), ("work_mem", "1MB")))]
    assert leases.ended(5, 1, "I", [Taint.SETTING], {"": None}) == []  # RESET ALL
    assert leases.ask(6, ask("d", 1)) == [Give("d", 1)]


@pytest.mark.parametrize("taint", [Taint.TEMPORARY, Taint.UNKNOWN])
def test_what_a_session_keeps_pins_a_connection_for_as_long_as_its_client_stays(taint):
    leases = begun(Limits(connections=2), clients=2)
    leases.ended(1, 1, "I", [taint])
    assert leases.ask(2, ask("x", 3)) == []  # not this one
    assert leases.ask(3, ask("mine", 1)) == [Give("mine", 1)]
    leases.ended(4, 1, "I")
    if taint is Taint.TEMPORARY:
        assert leases.left(5, 1) == [Clean(1, "DISCARD ALL")]
        assert leases.cleaned(6, 1, "I") == [Give("x", 1)]
        return
    assert leases.left(5, 1) == [Shut(1)]
    (opens,) = leases.lost(6, 1)
    assert isinstance(opens, Open) and leases.opened(7, opens.connection) == [Give("x", opens.connection)]


def test_a_client_gone_in_a_transaction_is_rolled_back_before_anybody_else():
    leases = begun(Limits(connections=1))
    leases.ask(1, ask("b", 2))
    assert leases.ended(2, 1, "T", stays=False) == [Clean(1, "ROLLBACK")]
    assert leases.cleaned(3, 1, "I") == [Give("b", 1)]
    assert leases.ended(4, 1, "T", [Taint.ADVISORY], stays=False) == [Clean(1, "ROLLBACK")]
    assert leases.cleaned(5, 1, "I") == [Clean(1, "DISCARD ALL")]
    leases.ask(6, ask("c", 3))
    assert leases.cleaned(7, 1, "I") == [Give("c", 1)]
    assert leases.ended(8, 1, "T", stays=False) == [Clean(1, "ROLLBACK")]
    assert leases.cleaned(9, 1, "E") == [Shut(1)]  # it could not be rolled back


def test_bounds():
    leases = begun(Limits(connections=5, of_user=1, of_database=2, waiting=2))
    assert leases.ask(1, ask("b", 2)) == []  # the user's bound
    (opens,) = leases.ask(1, ask("c", 3, user="v"))
    leases.opened(1, opens.connection)
    assert leases.ask(2, ask("d", 4, user="w")) == []  # the database's bound
    assert leases.ask(3, ask("e", 5)) == [Refuse("e", "more than 2 wait for a connection")]
    assert leases.give_up(4, "b") == [] and leases.waiting == 1
    with pytest.raises(ValueError, match=r"pool\.connections"):
        Limits(connections=0)


@given(st.integers(0, 2**32))
@settings(max_examples=150, deadline=None)
def test_any_run_of_events_keeps_bounds_and_ends_every_ask(seed):
    chance = random.Random(seed)
    limits = Limits(
        connections=chance.randint(1, 4), of_user=chance.randint(1, 4), of_database=chance.randint(1, 4), waiting=8
    )
    leases, now, asked = Leases(limits), 0, {}
    held, opening, cleaning, shutting = {}, set(), {}, set()
    owner, dirty = {}, {}  # by connection: (user, database); whose session it is unfit for others
    ended = set()

    def act(actions):
        for action in actions:
            match action:
                case Give(key, number, _):
                    mine = asked[key]
                    assert key not in ended and number not in held and number not in shutting | opening | set(cleaning)
                    assert owner[number] == (mine.user, mine.database)
                    assert dirty.get(number) in (None, mine.client), "another client's session is seen"
                    held[number] = mine
                    ended.add(key)
                case Open(number, user, database):
                    owner[number] = user, database
                    opening.add(number)
                    assert len(owner) <= limits.connections
                    assert sum(u == user for u, _ in owner.values()) <= limits.of_user
                    assert sum(d == database for _, d in owner.values()) <= limits.of_database
                case Clean(number, text):
                    cleaning[number] = text
                case Shut(number):
                    assert number not in held
                    shutting.add(number)
                case Refuse(key, _):
                    assert key not in ended
                    ended.add(key)

    def lose(number):
        held.pop(number, None)
        for place in (opening, shutting):
            place.discard(number)
        cleaning.pop(number, None)
        dirty.pop(number, None)
        del owner[number]
        act(leases.lost(now, number))

    def step(closing=False):
        nonlocal now
        now += 1
        what = chance.choices(
            ("ask", "end", "open", "clean", "shut", "lose", "leave"),
            (0 if closing else 5, 5, 4, 4, 4, 0 if closing else 0.3, 1),
        )[0]
        if what == "ask":
            client = chance.randrange(6)
            user, database = f"u{client % 3}", f"d{client % 2}"
            key = f"k{len(asked)}"
            asked[key] = Ask(key, client, user, database, chance.choice((1.0, 3.0)), now + chance.randint(5, 60))
            act(leases.ask(now, asked[key]))
        elif what == "end" and held:
            number = chance.choice(sorted(held))
            mine = held.pop(number)
            taints = chance.choice(((), (), (), (Taint.TEMPORARY,), (Taint.ADVISORY,), (Taint.SETTING,)))
            if set(taints) & {Taint.TEMPORARY, Taint.ADVISORY}:
                dirty[number] = mine.client
            stays = chance.random() < 0.6
            status = "I" if stays else chance.choice("ITE")
            act(leases.ended(now, number, status, taints, {"a": "1"} if Taint.SETTING in taints else {}, stays))
        elif what == "open" and opening:
            number = chance.choice(sorted(opening))
            opening.discard(number)
            act(leases.opened(now, number))
        elif what == "clean" and cleaning:
            number = chance.choice(sorted(cleaning))
            if cleaning.pop(number) == "DISCARD ALL":
                dirty.pop(number, None)
            act(leases.cleaned(now, number, "I" if chance.random() < 0.9 else "E"))
        elif what == "shut" and shutting:
            lose(chance.choice(sorted(shutting)))
        elif what == "lose" and owner:
            lose(chance.choice(sorted(owner)))
        elif what == "leave":
            client = chance.randrange(6)
            if not any(mine.client == client for mine in held.values()):
                act(leases.left(now, client))
        act(leases.expire(now))

    for _ in range(150):
        step()
    for _ in range(600):
        step(closing=True)
    now += 100
    act(leases.expire(now))
    assert ended == set(asked) and leases.waiting == 0
