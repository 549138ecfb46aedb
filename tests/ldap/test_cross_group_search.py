"""State machines of searches that span groups, compared with one directory that holds the whole tree."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.directory import naming
from yardbank.directory.codes import Code, Scope
from yardbank.interface import RequestClass
from yardbank.ldap import messages as m
from yardbank.ldap.classify import Classifier, Rule
from yardbank.ldap.spread import cross_group_coverage
from yardbank.spread import Budget, CookieError, MergedSearch, Pages, Part, Tree, Verdict, search_identity
from yardbank.spread.tree import glue_attributes
from yardbank.testing.standin.directory import Directory, Entry

SECOND = 1_000_000_000
PRESENT = m.Present("objectClass")


def merged_search(count=3, deadline=SECOND, priorities=(), **more):
    parts = [Part(f"ou=g{i},dc=x", f"ou=g{i},dc=x", priorities[i] if priorities else 1.0) for i in range(count)]
    created = MergedSearch(parts, 0, deadline, **more)
    created.glue_entries_done()
    return created


def send_all(search, now=0):
    return [ask.index for ask in iter(lambda: search.next_part(now, False), None)]


def test_tree_finds_the_group_or_glue_entry_of_a_dn():
    tree = Tree({"top": "dc=Porting", "deep": "ou=a,ou=B,dc=porting", "far": "o=X,c=ec"})
    assert tree.group_holding("cn=1,ou=a,ou=b,dc=porting") == "deep" and tree.group_holding("ou=b,dc=porting") == "top"
    assert tree.group_holding("c=ec") is None and tree.glue("c=ec") == "c=ec" and tree.glue("ou=b,dc=porting") is None
    assert tree.matched("ou=none,c=ec") == "c=ec" and tree.matched("dc=none") == ""
    assert not tree.coverage("dc=none", Scope.SUBTREE).known and tree.coverage("dc=none", Scope.SUBTREE).matched == ""
    assert tree.has_suffixes_below("dc=porting") and not tree.has_suffixes_below("ou=a,ou=b,dc=porting")
    assert glue_attributes("ou=A+cn=b,c=ec") == (
        ("objectClass", (b"top", b"organizationalUnit")),
        ("ou", (b"A",)),
        ("cn", (b"b",)),
    )
    assert glue_attributes("x=1")[0] == ("objectClass", (b"top", b"extensibleObject"))
    with pytest.raises(ValueError, match="max_parts"):
        Budget(0)


def test_renames_across_groups_are_detected():
    tree = Tree({"top": "dc=x", "deep": "ou=b,ou=a,dc=x"})
    assert tree.moves_between_groups("cn=1,dc=x", "cn=1,ou=b,ou=a,dc=x") and tree.moves_between_groups(
        "ou=a,dc=x", "ou=c,dc=x"
    )
    assert not tree.moves_between_groups("cn=1,dc=x", "cn=2,dc=x") and not tree.moves_between_groups(
        "cn=1,dc=y", "cn=2,dc=y"
    )


def test_escaped_comma_does_not_separate_rdns():
    tree = Tree({"a": "ou=a,dc=x"})
    assert tree.group_holding("cn=1\\,ou=a,dc=x") is None and tree.group_holding("cn=1\\,2,ou=a,dc=x") == "a"


NAMES = ["dc=x", "ou=a,dc=x", "ou=b,dc=x", "ou=c,ou=a,dc=x", "ou=d,ou=c,ou=a,dc=x", "o=y", "ou=e,o=y"]


def whole_tree(groups):
    """One directory with all glue entries, the suffixes, and two entries in each group."""
    one = Directory("")
    one.entries.clear()
    names = set()
    for suffix in groups.values():
        names |= {f"cn=1,{suffix}", f"cn=2,cn=1,{suffix}"}
        above = suffix
        while above:  # the ancestors of a suffix exist, as entries of a group or as glue
            names.add(above)
            above = naming.parent(above)
    for name in names:
        one.entries[name] = Entry(name, {"objectclass": ("objectClass", [b"top"])})
    return one


@given(
    st.sets(st.sampled_from(NAMES), min_size=1),
    st.sampled_from([*NAMES, "cn=1,ou=a,dc=x"]),
    st.sampled_from(list(Scope)),
)
@settings(max_examples=300, deadline=None)
def test_parts_and_glue_match_a_search_in_one_directory(suffixes, base, scope):
    groups = {f"g{i}": suffix for i, suffix in enumerate(sorted(suffixes))}
    tree = Tree(groups)
    one = whole_tree(groups)
    (code, _), wanted = one.search(m.SearchRequest(base, scope, PRESENT))
    coverage = tree.coverage(base, scope)
    if not coverage.known:
        assert code != 0
        return
    found = list(coverage.glue)
    for group_scope in coverage.group_scopes:
        member = Directory(groups[group_scope.group])
        for name, entry in one.entries.items():
            # a group may hold entries below other groups' suffixes; these must not count
            if naming.under(name, groups[group_scope.group]):
                member.entries[name] = entry
        (code, _), entries = member.search(m.SearchRequest(group_scope.base, group_scope.scope, PRESENT))
        merged = MergedSearch([Part("", group_scope.base, 1.0, group_scope.excluded)], 0, SECOND)
        merged.next_part(0, False)
        if code == 0:
            found += [e.dn for e in entries if merged.entry(0, hash(e.dn), e.dn) is Verdict.PASS]
    assert sorted(found) == sorted(e.dn for e in wanted)


def test_only_searches_that_span_groups_are_split():
    tree = Tree({"a": "ou=a,dc=x", "b": "ou=b,dc=x"})
    ask = lambda base, scope: cross_group_coverage(tree, m.SearchRequest(base, scope, PRESENT), base)  # noqa: E731
    assert ask("ou=a,dc=x", Scope.SUBTREE) is None and ask("cn=1,ou=a,dc=x", Scope.BASE) is None
    assert [p.group for p in ask("dc=x", Scope.SUBTREE).group_scopes] == ["a", "b"]
    assert ask("dc=x", Scope.BASE).glue == ("dc=x",)
    assert ask("", Scope.ONE).glue == ("dc=x",)  # the root DSE is not a result of a one-level search
    assert {p.scope for p in ask("dc=x", Scope.ONE).group_scopes} == {Scope.BASE}


def test_search_succeeds_only_if_every_part_succeeded():
    for outcomes in itertools.product(("ok", "none", "refused", "failed", "unwilling"), repeat=3):
        search = merged_search()
        assert send_all(search) == [0, 1, 2]
        for index, outcome in enumerate(outcomes):
            assert search.final_result is None
            match outcome:
                case "ok":
                    search.done(index, Code.SUCCESS)
                case "none":
                    search.done(index, Code.NO_SUCH_OBJECT)
                case "refused":
                    search.refused(index, "turned away")
                case "failed":
                    search.failed(index, "dead", 1)
                case "unwilling":
                    search.done(index, Code.UNWILLING, "no")
        bad = [f"ou=g{i},dc=x" for i, outcome in enumerate(outcomes) if outcome not in ("ok", "none")]
        assert (search.final_result.code == Code.SUCCESS) == (not bad) and list(search.final_result.missing) == bad
        assert all(name in search.final_result.diagnostic for name in bad)
        if "failed" in outcomes:
            assert search.final_result.code == Code.UNAVAILABLE
        elif "refused" in outcomes:
            assert search.final_result.code == Code.BUSY


def test_final_result_does_not_change_after_later_events():
    search = merged_search()
    send_all(search)
    search.done(0, Code.SUCCESS)
    search.time_out()
    first = search.final_result
    assert first.code == Code.UNAVAILABLE and first.missing == ("ou=g1,dc=x", "ou=g2,dc=x")
    search.done(1, Code.SUCCESS)
    search.failed(2, "late", 2)
    search.cancel()
    assert search.final_result is first and search.entry(1, 1) is Verdict.DROP and search.next_part(3, False) is None
    assert search.in_flight == (1, 2)  # for the caller to abandon


def test_size_limit_applies_to_all_parts_together():
    search = merged_search(3, size_limit=4)
    assert [search.next_part(0, False).size_limit for _ in range(2)] == [4, 4]
    assert [search.entry(i % 2, i) for i in range(4)] == [Verdict.PASS] * 4
    assert search.next_part(0, False).size_limit == 1  # none may follow, but the search must detect whether one does
    search.done(0, Code.SUCCESS)
    search.done(1, Code.SUCCESS)
    assert search.final_result is None  # exactly at the limit: no error yet
    assert search.entry(2, 5) is Verdict.END
    assert search.final_result.code == Code.SIZE_LIMIT and search.passed == 4


def test_result_of_exactly_the_size_limit_is_a_success():
    search = merged_search(2, size_limit=2)
    send_all(search)
    assert search.entry(0, 1) is search.entry(1, 2) is Verdict.PASS
    search.done(0, Code.SUCCESS)
    search.done(1, Code.SUCCESS)
    assert search.final_result.code == Code.SUCCESS


def test_search_ends_at_the_shorter_of_time_limit_and_deadline():
    search = merged_search(2, deadline=3 * SECOND, time_limit=2 * SECOND)
    assert search.ends_at == 2 * SECOND and search.next_part(SECOND, False).time_limit == SECOND
    assert search.next_part(2 * SECOND, False) is None
    assert search.final_result.code == Code.TIME_LIMIT and len(search.final_result.missing) == 2
    search = merged_search(1, deadline=SECOND, time_limit=2 * SECOND)
    search.time_out()
    assert search.final_result.code == Code.UNAVAILABLE


def test_failed_part_is_retried_once_without_repeating_entries():
    search = merged_search(2, size_limit=10)
    send_all(search)
    assert search.entry(0, 1) is search.entry(0, 2) is Verdict.PASS
    search.failed(0, "the answer broke off", 5)
    assert search.waiting and search.next_part(6, False).index == 0
    assert [search.entry(0, i) for i in (2, 1, 3)] == [Verdict.DROP, Verdict.DROP, Verdict.PASS]
    search.failed(0, "again", 7)
    search.done(1, Code.SUCCESS)
    assert search.final_result.code == Code.UNAVAILABLE and search.passed == 3


def test_part_that_fails_before_its_first_entry_is_not_retried():
    search = merged_search(1)
    send_all(search)
    search.failed(0, "no server", 5)
    assert search.final_result.code == Code.UNAVAILABLE


def test_parts_are_sent_by_priority_under_strain():
    search = merged_search(3, priorities=(1.0, 3.0, 3.0))
    assert [search.next_part(0, True).index for _ in range(3)] == [1, 2, 0]


def test_continuation_references_are_deduplicated():
    search = MergedSearch([Part("a", "ou=a,dc=x", 1.0), Part("b", "ou=b,dc=x", 1.0)], 0, SECOND)
    assert not search.reference(("ldap://b/ou=b,dc=x",), ["ou=b,dc=x"])  # the search covers this base itself
    assert search.reference(("ldap://c/ou=c",), ["ou=c"]) and not search.reference(("ldap://c/ou=c",), ["ou=c"])


def test_budget_is_round_robin_and_its_window_shrinks_on_refusals():
    budget = Budget(4)
    budget.enqueue("a")
    budget.enqueue("b")
    budget.enqueue("a")
    order = []
    while (search := budget.next_search()) is not None:
        order.append(search)
        budget.part_sent()
    assert order == ["a", "b", "a", "b"] and budget.in_flight == 4
    budget.part_ended(refused=True)
    budget.part_ended(refused=True)
    assert budget.window == 1 and budget.reduced and budget.next_search() is None
    budget.part_ended(served=True)
    budget.part_ended(served=True)
    for _ in range(20):
        budget.part_sent()
        budget.part_ended(served=True)
    assert budget.window == 4 and not budget.reduced
    budget.dequeue("a")
    budget.dequeue("a")
    assert [budget.next_search() for _ in range(2)] == ["b", "b"]


@given(st.lists(st.integers(0, 7), min_size=1, max_size=6), st.integers(0, 3), st.integers(1, 5))
@settings(max_examples=200, deadline=None)
def test_pages_return_each_entry_once_within_the_page_size(sizes, own, size):
    """Each part is paged by its server; only the cookie is kept between pages."""
    cookie, seen = b"", []
    for _ in range(sum(sizes) + own + len(sizes) + 1):
        pages = Pages(7, len(sizes), own, size, cookie)
        page = [("own", i) for i in pages.glue_entries()]
        while not pages.page_complete:
            start = int(pages.server_cookie or b"0")
            got = [(pages.part, i) for i in range(start, min(sizes[pages.part], start + pages.remaining))]
            page += got
            end = start + len(got)
            pages.part_answered(len(got), b"%d" % end if end < sizes[pages.part] else b"")
        assert len(page) <= size
        seen += page
        cookie = pages.cookie()
        if not cookie:
            break
    assert seen == [("own", i) for i in range(own)] + [(p, i) for p, n in enumerate(sizes) for i in range(n)]


def test_cookie_of_another_search_is_rejected():
    first = Pages(search_identity(b"a"), 3, 2, 1, b"")
    first.glue_entries()
    cookie = first.cookie()
    assert Pages(search_identity(b"a"), 3, 2, 1, cookie).glue_entries() == range(1, 2)
    for identity, given_cookie in (
        (search_identity(b"b"), cookie),
        (search_identity(b"a"), b"x"),
        (search_identity(b"a"), b"\xff\x00"),
    ):
        with pytest.raises(CookieError):
            Pages(identity, 3, 2, 1, given_cookie)
    last = Pages(search_identity(b"a"), 3, 0, 1, b"")
    last.part_answered(1, b"")
    with pytest.raises(CookieError, match="nowhere"):
        Pages(search_identity(b"a"), 1, 0, 1, last.cookie())


def kind(name, read, staleness=0, deadline=SECOND):
    return RequestClass(name, deadline // 2, deadline, 1, 0, "safe", read=read, staleness_bound=staleness)


def test_search_gets_the_strictest_class_that_it_covers():
    kinds = [
        kind("wide", "bounded", 900),
        kind("tight", "bounded", 100, SECOND // 2),
        kind("own", "session"),
        kind("strict-read", "fresh", 0, 5 * SECOND),
        kind("all", "any"),
    ]
    search = frozenset({"search"})
    rules = (
        Rule("wide", search, "ou=a,dc=x"),
        Rule("tight", search, "ou=t,ou=a,dc=x"),
        Rule("wide", search, "ou=b,dc=x"),
        Rule("own", search, "ou=s,ou=b,dc=x"),
        Rule("all", search, "ou=c,dc=x"),
        Rule("own", search, "ou=s,ou=c,dc=x", identities=frozenset({"cn=desk"})),
    )
    suffixes = {name: f"ou={name},dc=x" for name in "abc"}
    created = Classifier(rules, suffixes, "strict-read", "strict-write", {k.name: k for k in kinds})

    def place(base, scope, identity=""):
        placed = created.place(m.SearchRequest(base, scope, PRESENT), identity)
        return placed.class_name, placed.deadline

    assert place("ou=a,dc=x", Scope.SUBTREE) == ("tight", SECOND // 2)
    assert place("ou=a,dc=x", Scope.BASE) == ("wide", 0) and place("ou=t,ou=a,dc=x", Scope.SUBTREE) == ("tight", 0)
    assert place("ou=b,dc=x", Scope.SUBTREE)[0] == place("ou=b,dc=x", Scope.ONE)[0] == "strict-read"
    assert place("ou=c,dc=x", Scope.SUBTREE, "cn=desk")[0] == "own" and place("ou=c,dc=x", Scope.SUBTREE)[0] == "all"
