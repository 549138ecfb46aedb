"""Contents of the files that request a rollout: changed settings, the request, and the operator's orders."""

from __future__ import annotations

from yardbank.testing.rig.steps import Step

SETTLE_TIME = "300ms"  # time after a gateway's return in which its metrics are ignored
# By name of the change: text of the settings, and its replacement.
_REPLACEMENTS = {
    "in-service": ('identity "', 'identity "cn=auditor,dc=porting" {\n  password = "auditor"\n}\n\nidentity "'),
    "anew": ("limits {\n", "limits {\n  connections = 9\n"),
    "refuses": ("limits {\n", "limits {\n  max_open = 1\n"),  # takes effect only with several concurrent requests
    "locked-out": ('bind_password = "', 'bind_password = "not '),  # no server accepts the bind
    "one-class": ('deadline = "3000ms"', 'deadline = "1ms"\n  # too short for any commit'),
    "crashes": ('listener "ldap" {\n', 'listener "ldap" {\n  address = "192.0.2.1"\n'),  # no interface has this address
}


def changed_settings(settings: str, change: str) -> str:
    """A gateway's settings after the change."""
    before, after = _REPLACEMENTS[change]
    if before not in settings:
        raise ValueError(f"settings have no text to replace for change {change}")
    text = settings.replace(before, after, 1)
    return text.replace('aim = "500ms"\n  deadline = "1ms"', 'aim = "1ms"\n  deadline = "1ms"')


def rollout_request(step: Step) -> str:
    """The file that requests the rollout."""
    ms = lambda ns: f'"{ns / 1e6:.0f}ms"'  # noqa: E731
    rows = {
        "settings": f'"{settings_file_name(step)}"',
        "stages": list(step.stages),
        "hold": ms(step.hold),
        "settle": f'"{SETTLE_TIME}"',
        "most_at_once": step.most,
        "outage": ms(step.outage),
        "longest": ms(step.longest),
        "worse_by": step.worse_by,
        "false_stop": step.chance,
        "false_pass": step.chance,
    }
    return f'rollout "{step.rollout}" {{\n' + "".join(f"  {key} = {value}\n" for key, value in rows.items()) + "}\n"


def settings_file_name(step: Step) -> str:
    """The name of the file with the new settings, beside the old ones."""
    return f"{step.rollout}.hcl"


def operator_order(step: Step) -> str:
    """The operator's order to stop or withdraw, for a file beside the request."""
    return f'{"stop" if step.do == "stop_rollout" else "withdraw"} "{step.rollout}" {{}}\n'
