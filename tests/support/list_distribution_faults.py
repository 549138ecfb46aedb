"""Seeded faults in a gateway's replica of the distributed list; each changes one behavior."""


def deaf_to_lists():
    """Ignores messages about new versions."""
    from yardbank.cluster.list_distribution.replica import Replica

    Replica.receive = lambda self, now, sender, message: None


def alters_entries():
    """Announces the published version with a wrong digest."""
    from yardbank.cluster.list_distribution.replica import Replica

    Replica._own = lambda self: type(own(self))(own(self).version, bytes(16)) if self.table.entries else own(self)


def own(replica):
    """The announcement of a correct replica."""
    from yardbank.cluster.list_distribution.messages import Have

    return Have(replica.table.version, replica.table.digest)


def goes_back():
    """Announces an empty replica in every other tick."""
    from yardbank.cluster.list_distribution.messages import Have
    from yardbank.cluster.list_distribution.replica import EMPTY, Replica

    heartbeat, turns = Replica.tick, []

    def tick(self, now):
        turns.append(now)
        Replica._own = (
            (lambda self: EMPTY) if len(turns) % 2 else (lambda self: Have(self.table.version, self.table.digest))
        )
        heartbeat(self, now)

    Replica.tick = tick


def appoints_itself():
    """Publishes its own entries without a lease, always with the same epoch."""
    from yardbank.cluster.list_distribution.part import DistributionPart

    publish = DistributionPart._publish

    def alone(self, now, source):
        leases, self._leases = self._leases, type("Always", (), {"epoch": lambda *_: 1 << 61})()
        publish(self, now, {**source, self._membership_view.name: "its own"})
        self._leases = leases

    DistributionPart._publish = alone


BUGS = {made.__name__: made for made in (deaf_to_lists, alters_entries, goes_back, appoints_itself)}
EVERYWHERE = {"appoints_itself"}
