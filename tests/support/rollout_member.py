"""A gateway process with peers, leases and a rollout: python -m tests.support.rollout_member FOLDER NAME PORT."""

import sys
import time
from pathlib import Path
from random import Random

from twisted.internet import reactor

from yardbank.cluster.lease import LeaseTerms
from yardbank.cluster.lease.part import LeasePart
from yardbank.cluster.peers.file_store import FileStore
from yardbank.cluster.peers.transport import Peers
from yardbank.cluster.rollout.document import SHAPE, taken
from yardbank.cluster.rollout.local_state import Options
from yardbank.cluster.rollout.part import RolloutPart
from yardbank.config.schema import PeersBlock

CHANGE = b'rollout "a" {\n settings = "new.hcl"\n}\n'


class NothingShared:
    """A gateway without findings on servers, which ignores the reports of others."""

    def figures(self):
        return {"figure": 1}

    def first_hand(self, now):
        return {}

    def listed(self):
        return []

    def apply_consensus(self, consensus):
        pass


class SilentLog:
    """Discards every line."""

    def __getattr__(self, level):
        return lambda event, **fields: None


def main(folder, name, port):
    block = PeersBlock(
        name=name, port=port, list="peers.hcl", key="key", view=f"{name}.json", period="200ms", timeout="50ms"
    )
    peers = Peers(
        block,
        folder,
        folder / f"{name}-state",
        reactor=reactor,
        now=time.monotonic_ns,
        wall=time.time,
        seed=1,
        log=SilentLog(),
        sharing=NothingShared(),
    )
    leases = LeasePart(
        peers.node.membership_view, LeaseTerms(), Random(2), FileStore(folder / f"{name}-leases", SilentLog())
    )
    rollout = RolloutPart(
        peers.node.membership_view, leases, Random(1), FileStore(folder / f"{name}-kept", SilentLog()), Options()
    )
    peers.node.add(leases)
    peers.node.add(rollout)
    change = taken(CHANGE, "r", SHAPE).change

    def request_change():
        rollout.asked(time.monotonic_ns(), change, "new")
        peers.prompt()

    reactor.callLater(1, request_change)
    peers.start()
    reactor.run()


if __name__ == "__main__":
    main(Path(sys.argv[1]), sys.argv[2], int(sys.argv[3]))
