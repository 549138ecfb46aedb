"""Small runs of the scale benchmarks: they complete, growth laws are found, and counts are deterministic."""

import math

import pytest

from benchmarks.scale.fit import fit
from benchmarks.scale.gossip import link_by_gateways
from benchmarks.scale.health import questions_by_gateways
from benchmarks.scale.line import COUNTED, LineResults, load
from benchmarks.scale.lines import LINES
from benchmarks.scale.report import page
from benchmarks.scale.whole import play

SIZES = (8, 50, 200, 500, 1000)


@pytest.mark.parametrize(
    ("shape", "value"),
    [
        ("flat", lambda n: 7.0),
        ("log", lambda n: 3 + 2 * math.log2(n)),
        ("linear", lambda n: 5 + 0.5 * n),
        ("square", lambda n: 5 + 0.01 * n * n),
    ],
)
def test_fit_finds_the_growth_law_and_its_coefficients(shape, value):
    law = fit(SIZES, [value(size) for size in SIZES])
    assert law.shape == shape and law.at(1800) == pytest.approx(value(1800))
    assert law.worst < 1e-6


def test_fit_needs_two_sizes():
    with pytest.raises(ValueError, match="two sizes"):
        fit([8, 8], [1, 1])


QUICK_LINES = sorted(
    set(LINES)
    - {"link-gateways", "join-gateways", "rollout-gateways", "feeds-channels", "map-zones", "questions-gateways"}
)


@pytest.mark.parametrize("name", QUICK_LINES)
def test_each_line_measures_its_quantities_and_counts_are_deterministic(name):
    line = LINES[name]
    first, second = (line.measure(line.small[0], 1) for _ in range(2))
    assert set(first) == {quantity.name for quantity in line.quantities}
    for quantity in line.quantities:
        if quantity.how == COUNTED:
            assert first[quantity.name] == second[quantity.name]


def test_gossip_traffic_and_failure_detection_of_a_small_fleet_stay_within_bounds():
    found = link_by_gateways(8, 1)
    assert 50 < found["octets"] < 400 and found["death"] < 60 and found["death at 5 % loss"] < 60


def test_probe_counts_are_deterministic_and_connections_grow_with_the_number_of_gateways():
    few, again, many = (questions_by_gateways(size, 1) for size in (5, 5, 50))
    assert few == again and many["opened"] > few["opened"]


def test_a_small_whole_fleet_stays_within_its_budgets():
    found = play(33, 30, 60.0)
    assert found["versions"] >= 5 and found["reachable and never"] == 0
    assert found["in force, most, s"] < 7 and found["octets/s, mean"] < 7000
    assert found["returned and not caught up"] == 0 and found["returns"] > 5


def test_saved_results_are_loaded_and_rendered_as_a_page(tmp_path):
    line = LINES["module-sessions"]
    found = LineResults(line.name, "abc", "a machine")
    for size in (1000, 2500, 5000):
        found.runs[size] = [{quantity.name: float(size) for quantity in line.quantities}] * 2
    found.save(tmp_path)
    assert load(line.name, tmp_path) == found and load("none", tmp_path) is None
    text = page(line, found)
    assert "python -m benchmarks.scale module-sessions" in text and "| write | linear |" in text
    assert "extrapolated 10.0 times" in text


def test_every_line_has_four_sizes_and_a_small_size():
    for line in LINES.values():
        assert len(line.sizes) >= 4 and line.small and line.note


def test_values_that_fit_no_law_are_reported_as_flat():
    law = fit(SIZES, [20, 18, 30, 18, 20])
    assert law.shape == "flat" and law.at(1800) == pytest.approx(21.2) and law.r_squared < 0.5
