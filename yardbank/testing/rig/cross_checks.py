"""Consistency checks across the blocks of a scenario: references, dependencies of steps, required features."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yardbank.config.checked import Faults
from yardbank.testing.rig.claim import CHANNEL_CLAIMS, DISTRIBUTION_CLAIMS, PEER_CLAIMS, Claim
from yardbank.testing.rig.claim import ROLLOUT_CLAIMS as CLAIMS_ON_ROLLOUTS
from yardbank.testing.rig.steps import DATAGRAMS, GATEWAY, PUBLISH, ROLLOUT, Step, matching

if TYPE_CHECKING:
    from yardbank.testing.rig.scenario import Scenario


_REQUIRED_FEATURES = {
    PEER_CLAIMS: "peers",
    CHANNEL_CLAIMS: "channels",
    CLAIMS_ON_ROLLOUTS: "rollout",
    ("map",): "atlas",
}


def cross(scenario: Scenario) -> Faults:
    """All faults of a scenario that involve several blocks, each with its location."""
    found = _repeated_names(scenario) + _clocks(scenario)
    for index, step in enumerate(scenario.step):
        found += _step(scenario, index, step)
    found += _cycles(scenario) + _feature_dependencies(scenario)
    for index, claim in enumerate(scenario.claim):
        found += _claim(scenario, index, claim)
    return found


def _repeated_names(scenario: Scenario) -> Faults:
    names: dict[str, list[str]] = {
        "group": [group.name for group in scenario.group],
        "step": [step.name for step in scenario.step],
        "claim": [claim.name for claim in scenario.claim],
        "clock": [clock.gateway for clock in scenario.clock],
        "program": [program.name for program in scenario.program],
    }
    return [
        ((kind, index), f'{kind} "{name}" is given twice')
        for kind, given in names.items()
        for index, name in enumerate(given)
        if name in given[:index]
    ]


def _clocks(scenario: Scenario) -> Faults:
    gateways = scenario.gateways()
    return [
        (("clock", index), f'clock "{clock.gateway}": there is no such gateway')
        for index, clock in enumerate(scenario.clock)
        if clock.gateway not in gateways
    ]


def _step(scenario: Scenario, index: int, step: Step) -> Faults:
    return [
        *_unknown_names(scenario, index, step),
        *_datagram_faults(scenario, index, step),
        *_unknown_references(scenario, index, step),
        *_features_of_step(scenario, index, step),
    ]


def _unknown_names(scenario: Scenario, index: int, step: Step) -> Faults:
    """Names in a step that match no gateway, server or other endpoint."""
    gateways = scenario.gateways()
    servers = list(scenario.servers())
    ends = scenario.ends()
    on_gateways = step.do in (*GATEWAY, *ROLLOUT, "hold")
    words = (
        ("from", step.from_, ends),
        ("to", step.to, ends),
        ("who", step.who, gateways if on_gateways else servers),
        ("gateways", step.gateways, gateways),
    )
    found: Faults = []
    for field, patterns, known in words:
        for pattern in patterns:
            resolved_at_run_time = pattern in scenario.dynamic_names() and known is not servers
            if not resolved_at_run_time and not scenario.matching_ends((pattern,), known):
                reason = f'step "{step.name}": {field}: nothing is called "{pattern}"'
                found.append((("step", index, field), reason))
    return found


def _datagram_faults(scenario: Scenario, index: int, step: Step) -> Faults:
    if step.do not in DATAGRAMS:
        return []
    gateways = scenario.gateways()
    others = [end for end in scenario.matching_ends((*step.from_, *step.to), scenario.ends()) if end not in gateways]
    if scenario.fleet.peers and not others:
        return []
    reason = f'step "{step.name}": do: {step.do} is for datagrams, which go between gateways with peers'
    return [(("step", index, "do"), reason)]


def _unknown_references(scenario: Scenario, index: int, step: Step) -> Faults:
    """References of a step to unknown steps or events, or to itself."""
    steps = [other.name for other in scenario.step]
    found: Faults = []
    for field, word in (("after", step.after), ("until", step.until)):
        if word and word not in steps and word not in scenario.events():
            found.append((("step", index, field), f'step "{step.name}": {field}: no step or event "{word}"'))
        if word == step.name:
            found.append((("step", index, field), f'step "{step.name}": {field}: is the step itself'))
    return found


def _features_of_step(scenario: Scenario, index: int, step: Step) -> Faults:
    found: Faults = []
    if step.do in ROLLOUT and not scenario.fleet.rollout:
        found.append((("step", index, "do"), f'step "{step.name}": do: needs fleet {{ rollout = true }}'))
    if step.do in PUBLISH and not scenario.fleet.publishers:
        found.append((("step", index, "do"), f'step "{step.name}": do: needs fleet {{ publishers }}'))
    return found


def _claim(scenario: Scenario, index: int, claim: Claim) -> Faults:
    found: Faults = []
    steps = [step.name for step in scenario.step]
    for step in scenario.step if claim.kind == "told" else ():
        if step.late >= claim.bound:
            reason = f'claim "{claim.name}": bound: step "{step.name}" tells later than that'
            found.append((("claim", index, "bound"), reason))
    found += _features_of_claim(scenario, index, claim)
    for field, word in (("after", claim.after), ("until", claim.until)):
        if word and word not in steps:
            found.append((("claim", index, field), f'claim "{claim.name}": {field}: no step "{word}"'))
    if not all(matching((pattern,), scenario.gateways()) for pattern in claim.who):
        found.append((("claim", index, "who"), f'claim "{claim.name}": who: a word names no gateway'))
    return found


def _features_of_claim(scenario: Scenario, index: int, claim: Claim) -> Faults:
    found: Faults = []
    if claim.kind in DISTRIBUTION_CLAIMS and not scenario.fleet.publishers:
        reason = f'claim "{claim.name}": kind: {claim.kind} needs fleet {{ publishers }}'
        found.append((("claim", index, "kind"), reason))
    for claims, feature in _REQUIRED_FEATURES.items():
        if claim.kind in claims and not getattr(scenario.fleet, feature):
            reason = f'claim "{claim.name}": kind: {claim.kind} needs fleet {{ {feature} = true }}'
            found.append((("claim", index, "kind"), reason))
    return found


def _feature_dependencies(scenario: Scenario) -> Faults:
    """Features of the fleet that need ``peers``, and programs without gateways or channels."""
    fleet = scenario.fleet
    found: Faults = []
    if not all(matching((pattern,), scenario.gateways()) for pattern in fleet.publishers):
        found.append((("fleet", "publishers"), "fleet: publishers: a word names no gateway"))
    for feature in ("channels", "rollout", "atlas", "publishers"):
        if getattr(fleet, feature) and not fleet.peers:
            found.append((("fleet", feature), f"fleet: {feature}: needs peers = true"))
    for index, program in enumerate(scenario.program):
        if not all(matching((pattern,), scenario.gateways()) for pattern in program.who):
            found.append((("program", index, "who"), f'program "{program.name}": who: a word names no gateway'))
        if program.name == "notices" and not fleet.channels:
            found.append((("program", index), 'program "notices": needs fleet { channels = true }'))
    return found


def _cycles(scenario: Scenario) -> Faults:
    """Cyclic dependencies between steps."""
    waits = {step.name: step.after for step in scenario.step}
    found: Faults = []
    for index, step in enumerate(scenario.step):
        at, visited = step.after, {step.name}
        while at in waits and at not in visited:
            visited.add(at)
            at = waits[at]
        if at == step.name and step.after != step.name:
            found.append((("step", index, "after"), f'step "{step.name}": after: waits for itself in the end'))
    return found
