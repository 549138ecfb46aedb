"""Validation of scenarios, and the schedule of steps."""

from collections import Counter
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.cli import main
from yardbank.config.checked import ConfigError, check_text
from yardbank.testing.rig.scenario import SHAPE, load_scenario, shipped
from yardbank.testing.rig.schedule import ACTIVE, OVER, TRANSITIONS, WAITING, Schedule

HEAD = 'title = "t"\ngroup "a" {\n  suffix = "dc=a"\n}\nclaim "r" {\n  kind = "rules"\n}\n'


def scenario(text):
    return check_text(HEAD + text, "s.hcl", SHAPE)


def step(name, text):
    return f'step "{name}" {{\n{text}\n}}\n'


def test_bundled_scenarios_are_valid_and_listed():
    listed = CliRunner().invoke(main, ["rig", "list"]).output
    assert len(shipped()) >= 7
    for name, path in shipped().items():
        made = load_scenario(path)
        assert name in listed and made.title in listed
        assert {"rules", "alive", "serves_again"} <= {claim.kind for claim in made.claim}
        assert CliRunner().invoke(main, ["rig", "check", name]).exit_code == 0


FAULTY = [
    (step("x", 'do = "cut"\nfrom = ["g1"]\nto = ["b-1"]'), 's.hcl:11: step "x": to: nothing is called "b-1"'),
    (step("x", 'do = "cut"\nfrom = ["g1"]'), 's.hcl:8: step "x": to: missing for do = "cut"'),
    (step("x", 'do = "kill"\nwho = ["g1"]\nby = "1s"'), 's.hcl:8: step "x": by: not for do = "kill"'),
    (step("x", 'do = "kill"\nwho = ["g1"]\nlasts = "1 s"'), "s.hcl:11: step \"x\": lasts: '1 s' is not a duration"),
    (step("x", 'do = "delay"\nfrom = ["g1"]\nto = ["a-1"]'), 's.hcl:8: step "x": by: missing for do = "delay"'),
    (step("x", 'do = "kill"\nwho = ["g1"]\nlasts = "1s"\nuntil = "elected:a"'), "lasts and until: one of both"),
    (step("x", 'do = "kill"\nwho = ["g1"]\nafter = "y"'), 's.hcl:11: step "x": after: no step or event "y"'),
    (step("x", 'do = "kill"\nwho = ["g1"]\nafter = "x"'), 'step "x": after: is the step itself'),
    (
        step("x", 'do = "kill"\nwho = ["g1"]\nafter = "y"') + step("y", 'do = "kill"\nwho = ["g1"]\nafter = "x"'),
        'step "x": after: waits for itself in the end',
    ),
    (step("x", 'do = "crash"\nwho = ["g1"]'), 'step "x": who: nothing is called "g1"'),
    (step("x", 'do = "burn"\nwho = ["g1"]'), 'step "x": do: Input should be'),
    (
        step("x", 'do = "lose"\nshare = 0.5\nfrom = ["g1"]\nto = ["a-1"]'),
        's.hcl:9: step "x": do: lose is for datagrams',
    ),
    ('clock "g9" {\n  rate = 1.1\n}\n', 's.hcl:8: clock "g9": there is no such gateway'),
    ('claim "r" {\n  kind = "rules"\n}\n', 's.hcl:8: claim "r" is given twice'),
    ('claim "s" {\n  kind = "served"\n}\n', 'claim "s": least: missing for kind = "served"'),
    ('claim "s" {\n  kind = "serves_again"\n  after = "z"\n}\n', 's.hcl:10: claim "s": after: no step "z"'),
    ("fleet {\n  gateways = 0\n}\n", "s.hcl:9: fleet"),
    ("load {\n  speed = 3\n}\n", "s.hcl:9: load"),
    ("nonsense", ": this is not HCL"),
]


@pytest.mark.parametrize(("text", "fault"), FAULTY)
def test_an_invalid_scenario_is_rejected_with_line_and_field(text, fault, tmp_path):
    with pytest.raises(ConfigError) as problem:
        scenario(text)
    assert any(fault in line for line in problem.value.faults), problem.value.faults
    file = tmp_path / "s.hcl"
    file.write_text(HEAD + text)
    done = CliRunner().invoke(main, ["rig", "run", str(file)])
    assert done.exit_code == 2 and str(file) in done.output


def names(actions):
    return [(due.step.name, due.begin) for due in actions]


def test_steps_run_in_the_order_of_their_dependencies():
    made = scenario(
        step("a", 'do = "kill"\nwho = ["g1"]\nat = "1s"\nlasts = "2s"')
        + step("b", 'do = "kill"\nwho = ["g2"]\nafter = "a"\nat = "500ms"')
        + step("c", 'do = "kill"\nwho = ["g3"]\nafter = "b"\nuntil = "elected:a"')
        + step("d", 'do = "kill"\nwho = ["g4"]\nafter = "elected:a"')
    )
    schedule = Schedule(made.step)
    assert schedule.begin(10.0) == [] and schedule.next_at() == 11.0
    assert names(schedule.due(11.0)) == [("a", True)]
    assert schedule.due(12.9) == [] and schedule.next_at() == 13.0
    assert names(schedule.due(13.0)) == [("a", False)]
    assert schedule.not_begun() == ["b", "c", "d"]
    assert names(schedule.due(13.5)) == [("b", True), ("c", True)]  # b is permanent, so c starts at once
    assert schedule.next_at() is None
    assert names(schedule.handle_event(20.0, "elected:a")) == [("c", False), ("d", True)]
    assert [one.name for one in schedule.active_steps()] == ["b", "d"]


def test_the_schedule_is_idle_once_no_step_will_begin_or_end():
    made = scenario(
        step("a", 'do = "kill"\nwho = ["g1"]\nat = "1s"\nlasts = "2s"')
        + step("b", 'do = "cut"\nfrom = ["g1"]\nto = ["g2"]\nafter = "ready:g1"'),
    )
    schedule = Schedule(made.step)
    schedule.begin(0.0)
    seen = [schedule.is_idle()]
    for move in (lambda: schedule.due(1.0), lambda: schedule.due(3.0), lambda: schedule.handle_event(4.0, "ready:g1")):
        move()
        seen.append(schedule.is_idle())
    assert seen == [False, False, False, True]


def test_a_step_whose_until_event_comes_first_never_begins():
    made = scenario(step("late", 'do = "kill"\nwho = ["g1"]\nat = "5s"\nuntil = "elected:a"'))
    schedule = Schedule(made.step)
    schedule.begin(0.0)
    assert schedule.handle_event(1.0, "elected:a") == []
    assert schedule.due(9.0) == [] and schedule.active_steps() == [] and schedule.not_begun() == []


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(0, 3), st.booleans()), min_size=1, max_size=6),
    st.lists(st.floats(0, 20), max_size=20),
)
def test_each_step_begins_and_ends_once_in_the_order_of_the_transitions(rows, moments):
    text = ""
    for index, (at, lasts, follows) in enumerate(rows):
        after = f'after = "s{index - 1}"\n' if follows and index else ""
        text += step(f"s{index}", f'do = "kill"\nwho = ["g1"]\n{after}at = "{at}s"\nlasts = "{lasts}s"')
    schedule = Schedule(scenario(text).step)
    seen = Counter(names(schedule.begin(0.0)))
    for moment in sorted(moments):
        seen.update(names(schedule.due(moment)))
        assert schedule.next_at() is None or schedule.next_at() > moment
    while (at := schedule.next_at()) is not None:
        seen.update(names(schedule.due(at)))
    lasting = {f"s{index}" for index, (_, lasts, _) in enumerate(rows) if lasts}
    assert seen == Counter({(f"s{i}", True): 1 for i in range(len(rows))} | {(name, False): 1 for name in lasting})
    assert {(before, after) for before, _, after in TRANSITIONS} == {(WAITING, ACTIVE), (ACTIVE, OVER), (WAITING, OVER)}


def test_bundled_scenarios_are_in_the_package():
    import yardbank.testing.rig

    assert all(path.parent.parent == Path(yardbank.testing.rig.__file__).parent for path in shipped().values())
