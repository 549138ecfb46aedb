"""What a scenario's rollouts ask for: a gateway's settings changed one way or another, and the file that asks."""

from __future__ import annotations

from yardbank.testing.rig.steps import Step

SETTLE = "300ms"  # so long after it is back a gateway's figures do not count yet
# By name: words of the settings, and what stands there instead.
_WORDS = {
    "in-service": ('identity "', 'identity "cn=auditor,dc=porting" {\n  password = "auditor"\n}\n\nidentity "'),
    "anew": ("limits {\n", "limits {\n  connections = 9\n"),
    "refuses": ("limits {\n", "limits {\n  max_open = 1\n"),  # only where several requests are open at once
    "locked-out": ('bind_password = "', 'bind_password = "not '),  # no server takes it in
    "one-class": ('deadline = "3000ms"', 'deadline = "1ms"\n  # too short for any commit'),
    "crashes": ('listener "ldap" {\n', 'listener "ldap" {\n  address = "192.0.2.1"\n'),  # nobody has this address
}


def changed(settings: str, change: str) -> str:
    """A gateway's settings as a rollout would have them."""
    before, after = _WORDS[change]
    if before not in settings:
        raise ValueError(f"these settings have nothing that {change} could change")
    text = settings.replace(before, after, 1)
    return text.replace('aim = "500ms"\n  deadline = "1ms"', 'aim = "1ms"\n  deadline = "1ms"')


def asking(step: Step) -> str:
    """The file that asks for it."""
    ms = lambda ns: f'"{ns / 1e6:.0f}ms"'  # noqa: E731
    rows = {
        "settings": f'"{file_name(step)}"',
        "stages": list(step.stages),
        "hold": ms(step.hold),
        "settle": f'"{SETTLE}"',
        "most_at_once": step.most,
        "outage": ms(step.outage),
        "longest": ms(step.longest),
        "worse_by": step.worse_by,
        "false_stop": step.chance,
        "false_pass": step.chance,
    }
    return f'rollout "{step.rollout}" {{\n' + "".join(f"  {key} = {value}\n" for key, value in rows.items()) + "}\n"


def file_name(step: Step) -> str:
    """Where the new settings are, beside the old ones."""
    return f"{step.rollout}.hcl"


def word(step: Step) -> str:
    """The operator's word, which stands in a file beside the one that asks."""
    return f'{"stop" if step.do == "stop_rollout" else "withdraw"} "{step.rollout}" {{}}\n'
