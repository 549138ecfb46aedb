"""Random settings: what the program does depends on the settings, and on no name in them."""

from collections import Counter

import pytest
from hypothesis import Phase, given, seed, settings
from hypothesis import strategies as st

from tests.support.drawn_adapter_play import WirePlay
from tests.support.drawn_platform_play import Play, milliseconds
from yardbank.policy.admission import Admission
from yardbank.policy.selection import Selection

NAMED = st.text(st.sampled_from("abzAZ019_-.:;!?@#$%^&()+~|<>=/'\\\"[]{}`"), min_size=1, max_size=12)
READS = ("mutate", "strong", "causal", "lag_bound", "eventual")
EFFECTS = ("pure", "token", "side_effect")


def some(strategy):
    """A field that may be left out."""
    return st.one_of(st.just(None), strategy)


def present(fields):
    return {name: held for name, held in fields.items() if held is not None}


def in_ms(least, most):
    return st.integers(least, most).map(milliseconds)


SERVICE = st.fixed_dictionaries(
    {
        "aim": in_ms(100, 900),
        "hard_limit": in_ms(500, 3000),
        "effect": st.sampled_from(EFFECTS),
        "credit": some(st.sampled_from((0, 1, 1.5, 4))),
        "late_worth": some(st.sampled_from((0.0, 0.3, 1))),
        "key_scope": some(st.sampled_from(("all", "cell", "zone"))),
        "window": some(in_ms(50, 3000)),
    }
).map(present)
CEILINGS = st.fixed_dictionaries(
    {
        "max_attempts": some(st.integers(1, 8)),
        "cancel": some(st.booleans()),
        "probes": st.sampled_from((True, True, False, None)),
        "retry_after": some(st.booleans()),
        "max_retry_after": some(in_ms(0, 2000)),
        "connect_timeout": some(in_ms(100, 400)),
    }
).map(present)
REPORTING = st.fixed_dictionaries(
    {
        "via": st.sampled_from(("pull", "pull", "piggyback", "silent", None)),
        "names": some(
            st.permutations(("utilization", "x0", "x1", "backlog")).flatmap(
                lambda names: st.integers(0, 4).map(lambda most: names[:most])
            )
        ),
    }
).map(present)
STEP = st.one_of(
    st.tuples(
        st.just("ask"), st.integers(0, 4), st.integers(0, 5), st.integers(0, 2), st.integers(0, 3), st.integers(1, 3000)
    ),
    st.tuples(
        st.just("answer"),
        st.integers(0, 9),
        st.sampled_from((0, 0, 0, 0, *range(1, 9))),
        st.integers(0, 1),
        st.integers(0, 900),
        st.integers(0, 120),
    ),
    st.tuples(st.just("burst"), st.integers(4, 24), st.integers(0, 5), st.integers(0, 2), st.integers(300, 3000)),
    st.tuples(st.just("wait"), st.one_of(st.integers(1, 40), st.integers(1, 700))),
    st.tuples(st.just("leave"), st.integers(0, 4)),
    st.tuples(st.just("refuse"), st.integers(0, 11)),
    st.tuples(st.just("change"), st.integers(0, 11), st.integers(0, 4)),
)


@st.composite
def deployments(draw):
    """Settings, servers by number, and a script."""
    services = draw(st.lists(SERVICE, min_size=1, max_size=6))
    count = len(services)
    domain = {
        "class_read": draw(st.lists(st.sampled_from(READS), min_size=count, max_size=count)),
        "lag_allowed": draw(some(st.lists(in_ms(50, 2000), min_size=count, max_size=count))),
        "checks": draw(some(st.sampled_from(("silent", "bounce", "await")))),
        "patience": draw(some(in_ms(0, 80))),
        "session_marks": draw(some(st.sampled_from(("brought", "kept")))),
        "tells_position": draw(some(st.booleans())),
    }
    told = {
        "services": services,
        "domain": present(domain),
        "ceilings": draw(some(CEILINGS)),
        "reporting": draw(some(REPORTING)),
        "fleet_size": draw(some(st.sampled_from((1, 3, 40, 200)))),
        "period": draw(some(in_ms(1, 10))),
        "rules": draw(
            some(st.fixed_dictionaries({"cold": in_ms(1000, 9000), "start_capacity": st.sampled_from((0.2, 0.5, 1))}))
        ),
        "unheard_of": draw(some(st.just({"more": [1]}))),
    }
    zones, groups = draw(st.integers(1, 3)), draw(st.integers(1, 3))
    sizes = draw(st.lists(st.integers(1, 4), min_size=groups, max_size=groups))
    servers = [
        (group, draw(st.integers(0, zones - 1)), "master" if member == 0 else "replica")
        for group, size in enumerate(sizes)
        for member in range(size)
    ]
    script = draw(st.lists(STEP, min_size=25, max_size=60))
    return {"settings": present(told), "servers": servers, "zones": zones, "groups": groups}, script


def called(draw, count, strategy=NAMED):
    return draw(st.lists(strategy, min_size=count, max_size=count, unique=True))


def renamed(names, others, back):
    """Other names for the same things, in the same order or reversed."""
    ranks = {name: rank for rank, name in enumerate(sorted(names))}
    ordered = sorted(others, reverse=back)
    return [ordered[ranks[name]] for name in names]


def search(play=Play, played=None, phases=(Phase.generate, Phase.shrink), number=None):
    """Plays random deployments, each under three sets of names; an ``AssertionError`` if the traces differ.

    ``number``: selects a set of draws other than the usual one.
    """
    cells = st.integers(0, 10**6)

    @settings(derandomize=number is None, max_examples=80, deadline=None, database=None, phases=phases)
    @given(deployments(), st.data())
    def plays(drawn, data):
        told, script = drawn
        sizes = {
            "class": len(told["settings"]["services"]),
            "zone": told["zones"],
            "group": told["groups"],
            "server": len(told["servers"]),
            "number": len(told["servers"]),
            "tenant": 2,
        }
        kinds = {kind: cells if kind in ("group", "number") else NAMED for kind in sizes}
        names = {kind: called(data.draw, sizes[kind], kinds[kind]) for kind in sizes}
        others = {kind: called(data.draw, sizes[kind], kinds[kind]) for kind in sizes}
        trace = play(told, names).run(script)
        for back in (False, True):
            again = {kind: renamed(names[kind], others[kind], back) for kind in sizes}
            assert play(told, again).run(script) == trace
        if played is not None:
            played.update(what[0] for what in trace)

    if number is not None:
        plays = seed(number)(plays)
    plays()


def test_actions_do_not_depend_on_names():
    played = Counter()
    search(played=played)
    assert min(played[what] for what in ("server", "client", "dial", "closed")) > 100, played


MAX_ROUNDS = 6  # of further draws; Hypothesis draws differently depending on the loaded modules


def test_actions_through_the_benchmark_adapter_do_not_depend_on_names_or_tenants():
    played = Counter()

    def enough():
        return min(played[what] for what in ("forward", "busy", "schedule")) > 100 and played["sound_out"] > 30

    search(WirePlay, played)
    for number in range(MAX_ROUNDS):
        if not enough():
            search(WirePlay, played, (Phase.generate,), number)
    assert enough(), played
    assert not played["die"]


@pytest.mark.parametrize("what", ["classes", "servers", "zones"])
def test_an_action_that_depends_on_a_name_is_detected(what, monkeypatch):
    if what == "classes":  # requests are held in the order of their class names
        ranked = Admission._ranked
        monkeypatch.setattr(Admission, "_ranked", lambda self: sorted(ranked(self)))
    elif what == "servers":  # the list is processed in the order of names
        take = Play.__init__.__globals__["specs"]
        monkeypatch.setitem(
            Play.__init__.__globals__, "specs", lambda listing: sorted(take(listing), key=lambda s: s.name)
        )
    else:
        monkeypatch.setattr(
            Selection, "cost", lambda self, now, server, primary: (server.zone > "M") + self._random.random()
        )
    with pytest.raises(AssertionError):
        search(phases=(Phase.generate,))
