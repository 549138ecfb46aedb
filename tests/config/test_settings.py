"""Settings: each fault is one line naming file and line, and checked settings determine how operations are classified."""

import subprocess
import sys

import pytest
from click.testing import CliRunner

from tests.support.paths import EXAMPLE_SETTINGS as EXAMPLE
from yardbank.cli import main
from yardbank.config import ConfigError, advice, build, load_text
from yardbank.ldap import filters
from yardbank.ldap import messages as m
from yardbank.ldap.classify import Classifier, Rule, operation_name
from yardbank.proxy import ldap_parts

TEXT = EXAMPLE.read_text()

FAULTS = [
    ("port    = 3891", 'port    = "x"', 'server "norte-1": port'),
    ("port    = 3891", "port    = 99999", 'server "norte-1": port'),
    ('  deadline  = "1500ms"\n', "", 'class "route-lookup": deadline: missing'),
    ('deadline  = "1500ms"', 'deadline  = "1500"', "is not a duration such as"),
    ('deadline  = "1500ms"', "deadline  = 1500", "a duration such as"),
    ('deadline  = "1500ms"', 'deadline  = "100ms"', "aim is longer than deadline"),
    ('zone    = "sur"', 'zoe     = "sur"', "zoe: unknown key"),
    ("worth     = 2", "worth     = {", "this is not HCL"),
    ("worth     = 2", "worth     = abc", "'abc' is a name"),
    ("worth     = 2", "worth     = 1 + 1", "only constants"),
    ("worth     = 2", "worth     = -2", "worth"),
    ("worth     = 2", "worth     = 2\n  worth = 3", "'worth' is given twice"),
    ('staleness = "800ms"', "", "a bounded read needs staleness"),
    ('effect    = "safe"', 'effect    = "unsafe"', 'the effect of a read must be "safe"'),
    ('server "sur-1"', 'server "norte-1"', 'server "norte-1" is given twice'),
    ('group   = "numbers"', 'group   = "none"', 'no group "none"'),
    ("port    = 3892", "port    = 3891", "has the address of server"),
    ('base      = "ou=requests,dc=porting"', 'base      = "OU=numbers, dc=porting"', "match alike"),
    ('operation = ["search", "compare"]', 'operation = "find"', "none of add"),
    ('operation = ["search", "compare"]', 'operation = "modify"', "cannot be of a class"),
    ('listener "ldap"', 'listener "smtp"', 'listener "smtp": protocol'),
    ("gateway {", "gateway {\n}\ngateway {", "'gateway' is given twice"),
    ('class "route-lookup"', 'class "strict-x"', "strict- are reserved"),
    ('level   = "info"', 'level   = "${x}"', "interpolation"),
]


@pytest.mark.parametrize(("old", "new", "reason"), FAULTS)
def test_faults_name_file_and_line(old, new, reason):
    assert old in TEXT
    text = TEXT.replace(old, new, 1)
    with pytest.raises(ConfigError) as problem:
        load_text(text, "gateway.hcl")
    fault = problem.value.faults[0]
    name, line, _ = fault.split(":", 2)
    assert name == "gateway.hcl" and reason in fault
    first = next(n for n, (a, b) in enumerate(zip(TEXT.split("\n"), text.split("\n")), 1) if a != b)
    assert first - 10 <= int(line) <= first + 40 and int(line) <= text.count("\n") + 1


def test_truncated_file_is_rejected_or_has_complete_blocks():
    accepted = 0
    for length in range(0, TEXT.index("# Gateways that go together"), 23):  # only comments follow
        try:
            load_text(TEXT[:length])
            accepted += 1
        except ConfigError as problem:
            assert all(fault.startswith("settings:") for fault in problem.faults)
    assert accepted <= 12  # accepted only if all required blocks are complete


def test_check_prints_classes_and_exits_2_on_a_fault(tmp_path):
    runner = CliRunner()
    done = runner.invoke(main, ["check", str(EXAMPLE)])
    assert done.exit_code == 0
    assert "route-lookup" in done.output and "at most 800 ms behind" in done.output and "strict-write" in done.output
    bad = tmp_path / "bad.hcl"
    bad.write_text(TEXT.replace("port    = 3891", "prt     = 3891"))
    done = runner.invoke(main, ["check", str(bad)])
    assert done.exit_code == 2 and f"{bad}:" in done.output and "unknown key" in done.output
    bad.write_bytes(b"\n\n\xff")
    assert f"{bad}:3: not UTF-8" in runner.invoke(main, ["check", str(bad)]).output
    assert "No such file" in runner.invoke(main, ["check", str(tmp_path / "none")]).output
    done = subprocess.run([sys.executable, "-m", "yardbank", "serve", str(bad)], capture_output=True, check=False)
    assert done.returncode == 2 and done.stderr.count(b"\n") == 1


def test_address_in_use_is_one_line_and_exit_2(tmp_path):
    import socket

    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        file = tmp_path / "g.hcl"
        file.write_text(TEXT.replace("3890", str(occupied.getsockname()[1])))
        process = subprocess.run(
            [sys.executable, "-m", "yardbank", "serve", str(file)], capture_output=True, check=False
        )
    assert process.returncode == 2 and b"cannot listen" in process.stderr


def test_settings_of_the_router():
    router_settings = build.settings(load_text(TEXT), workers=3)
    assert router_settings.gateways == 6 and router_settings.cold == 18 * 10**9 and router_settings.zone == "norte"
    assert [kind.name for kind in router_settings.classes] == [
        "route-lookup",
        "request-status",
        "port-commit",
        "strict-read",
        "strict-write",
    ]


LOOKUP = m.SearchRequest("cn=1,OU=numbers, dc=porting", 0, filters.parse("(cn=1)"))
CASES = [
    (LOOKUP, "", "route-lookup"),
    (m.SearchRequest("ou=requests,dc=porting", 2, filters.parse("(cn=1)")), "", "request-status"),
    (m.SearchRequest("ou=other,dc=porting", 2, filters.parse("(cn=1)")), "", "strict-read"),
    (m.CompareRequest("cn=1,ou=numbers,dc=porting", "a", b"b"), "", "route-lookup"),
    (m.ModifyRequest("cn=1,ou=numbers,dc=porting", ()), "", "port-commit"),
    (m.DeleteRequest("cn=1,dc=porting"), "", "port-commit"),
    (m.ModifyRequest("cn=1,dc=elsewhere", ()), "", "strict-write"),
    (m.ExtendedRequest(m.Oid.PASSWORD_MODIFY), "", "strict-write"),
]


@pytest.mark.parametrize(("operation", "identity", "wanted"), CASES)
def test_operation_is_classified(operation, identity, wanted):
    assert ldap_parts.classifier(load_text(TEXT)).place(operation, identity).class_name == wanted


def test_most_specific_rule_wins_and_equal_rules_give_the_strictest_class():
    search = frozenset(["search"])
    rules = (
        Rule("wide", search),
        Rule("below", search, base="ou=a,dc=x"),
        Rule("by-attribute", search, base="ou=a,dc=x", attributes=frozenset(["uid"])),
        Rule("by-scope-1", search, base="ou=b,dc=x", scopes=frozenset([0, 1])),
        Rule("by-scope-2", search, base="ou=b,dc=x", scopes=frozenset([0, 2])),
        Rule("of-desk", search, identities=frozenset(["cn=desk"])),
    )
    classifier = Classifier(rules, {"x": "dc=x", "deep": "ou=deep,dc=x"}, "strict-read", "strict-write")

    def place(base, text="(cn=1)", scope=0, identity=""):
        return classifier.place(m.SearchRequest(base, scope, filters.parse(text)), identity)

    assert place("dc=x").class_name == "wide"
    assert place("cn=1,ou=a,dc=x").class_name == "below"
    assert place("ou=a,dc=x", "(&(UID=1)(cn=*))").class_name == "by-attribute"
    assert place("ou=b,dc=x", scope=1).class_name == "by-scope-1"
    assert place("ou=b,dc=x", scope=0).class_name == "strict-read"
    assert place("ou=a,dc=x", identity="cn=desk").class_name == "of-desk"
    assert place("ou=notb,dc=x").class_name == "wide"
    assert place("cn=1,ou=deep,dc=x").group == "deep" and place("ou=deeper,dc=x").group == "x"
    assert place("dc=y").group is None
    assert operation_name(m.ExtendedRequest("1.2.3")) == "extended"


def test_subtree_written_but_only_read_with_staleness_gives_a_warning():
    result = CliRunner().invoke(main, ["check", str(EXAMPLE)])
    assert result.exit_code == 0 and result.output.count("Warning:") == 1
    assert 'class "route-lookup": ou=numbers,dc=porting is written as port-commit' in result.output.replace("\n", " ")
    without_warning = TEXT.replace('read      = "bounded"\n  staleness = "800ms"', 'read      = "session"')
    assert advice.warnings(load_text(without_warning)) == []
    separate_subtrees = TEXT.replace('base      = "dc=porting"', 'base      = "ou=requests,dc=porting"')
    assert advice.warnings(load_text(separate_subtrees)) == []
    any_member = TEXT.replace('read      = "bounded"\n  staleness = "800ms"', 'read      = "any"')
    assert "from any member" in advice.warnings(load_text(any_member))[0]
