"""Gateways with the guard of one term taken out, for ``tests.support.rig_runner``: the claims on rare moments must find them."""


def keeps_the_gone():
    """Goes on with a request whose client has left or wants no answer, as if nothing had been said."""
    from yardbank.gateway.attempt_runner import AttemptRunner

    AttemptRunner.leave = lambda self, number: None


def never_cold():
    """Takes a server that has just started for one that is warm."""
    from yardbank.policy.servers import ServerTable

    ServerTable.warmup_fraction = lambda self, now, server: 1.0


def hears_late():
    """Reads the list as it starts and never again: what is written to it later is not taken in."""
    from yardbank.policy import Router

    heard = Router.on_server_list

    def once(self, event):
        if not self.servers:
            heard(self, event)

    Router.on_server_list = once


BUGS = {made.__name__: made for made in (keeps_the_gone, never_cold, hears_late)}
EVERYWHERE = set(BUGS)  # these are of the fleet: all gateways have them
