"""Seeded faults for ``tests.support.rig_runner``: each disables one guard, and the claims on rare moments must detect it."""


def keeps_the_gone():
    """Continues a request although its client has disconnected or cancelled it."""
    from yardbank.gateway.attempt_runner import AttemptRunner

    AttemptRunner.leave = lambda self, number: None


def never_cold():
    """Treats a server that has just started as warm."""
    from yardbank.policy.servers import ServerTable

    ServerTable.warmup_fraction = lambda self, now, server: 1.0


def hears_late():
    """Reads the server list at the start and ignores later changes."""
    from yardbank.policy import Router

    heard = Router.on_server_list

    def once(self, event):
        if not self.servers:
            heard(self, event)

    Router.on_server_list = once


BUGS = {made.__name__: made for made in (keeps_the_gone, never_cold, hears_late)}
EVERYWHERE = set(BUGS)  # faults of the whole fleet: all gateways have them
