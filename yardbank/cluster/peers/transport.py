"""A gateway's UDP socket among its peers, its list file, its life number. Thin: ``node`` and ``listing`` decide."""

from __future__ import annotations

import contextlib
import json
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from yardbank.cluster.peers import PeersError
from yardbank.cluster.peers.datagram import read_keys
from yardbank.cluster.peers.failure_detector import NAMES, SECOND, Pace
from yardbank.cluster.peers.node import GossipNode
from yardbank.cluster.peers.outlier_consensus import OutlierConsensus, reach_consensus
from yardbank.cluster.peers.peer_list import Accept, PeerList, Reject, next_boot_epoch, parse_stored_epoch
from yardbank.cluster.peers.sharing import Sharing
from yardbank.cluster.peers.view import node_view
from yardbank.config.blocks import PeersBlock
from yardbank.files import write_whole
from yardbank.server_list.watcher import Watcher

WRITE_EVERY = 1.0  # seconds between two writings of the view, at least
JUDGE_EVERY = SECOND // 5  # what is believed is worked out anew, at most
TELL_DROPPED = 10.0  # seconds between two lines on datagrams dropped


def load_keys(path: Path) -> list[bytes]:
    """Keys from a file. Raises ``PeersError`` naming file and line."""
    try:
        return read_keys(path.read_text(encoding="utf-8"))
    except OSError as problem:
        raise PeersError(f"{path}: {problem.strerror or problem}") from None
    except UnicodeDecodeError:
        raise PeersError(f"{path}:1: not UTF-8") from None
    except ValueError as problem:
        line, _, reason = str(problem).partition(": ")
        raise PeersError(f"{path}:{line}: {reason}") from None


class Peers(DatagramProtocol):
    """One gateway among its peers, from start to stop. ``sharing`` is the gateway's side; all times in ns."""

    transport: Any

    def __init__(
        self,
        block: PeersBlock,
        folder: Path,
        state: Path | None,
        *,
        reactor: Any,
        now: Callable[[], int],
        wall: Callable[[], float],
        seed: int,
        log: Any,
        sharing: Sharing,
    ) -> None:
        self._block, self._folder, self._state = block, folder, state
        self._reactor, self._now, self._log, self._sharing = reactor, now, log, sharing
        self._wall = wall
        boot_epoch = self._begin_life()
        pace = Pace(period=block.period, timeout=block.timeout, suspicion=block.suspicion)
        keys = load_keys(folder / block.key)
        self.node = GossipNode(block.name, block.fleet, keys, boot_epoch, Random(f"{seed}/{boot_epoch}"), pace)
        self.places: dict[str, tuple[str, int]] = {}
        self._list = PeerList()
        self._watcher = Watcher(folder / block.list, self._list, self._take, reactor=reactor, now=now, log=log)
        self._port: Any = None
        self._timer: Any = None
        self._writer: Any = None
        self._told: Counter[str] = Counter()
        self._not_sent = 0
        self._teller: Any = None
        self.port = 0
        self.after: list[Callable[[int], None]] = []  # told after each turn of the clock: now, ns
        self.consensus = OutlierConsensus({}, frozenset())
        self._judged_at = 0
        self._overtaken = 0

    def _begin_life(self) -> int:
        """A new life's number, kept for the next start where there is a store."""
        path = self._state / "peers-life" if self._state is not None else None
        stored = ""
        if path is not None:
            with contextlib.suppress(OSError):  # none yet
                stored = path.read_text(encoding="utf-8", errors="replace")
        boot_epoch = next_boot_epoch(parse_stored_epoch(stored), self._wall())
        if path is not None:
            try:
                path.parent.mkdir(parents=True, exist_ok=True)
                write_whole(path, str(boot_epoch))
            except OSError as problem:
                self._log.warning("peers_life_not_kept", path=str(path), error=str(problem))
        return boot_epoch

    def start(self) -> None:
        """Listen, read the list, begin. Raises ``OSError`` if the address cannot be had."""
        place = self._block.address, self._block.port
        try:
            self._port = self._reactor.listenUDP(place[1], self, interface=place[0], maxPacketSize=2048)
        except CannotListenError as problem:
            raise PeersError(f"peers: cannot listen at {place[0]}:{place[1]}: {problem.socketError}") from None
        self.port = self._port.getHost().port
        self._log.info(
            "peers_listening",
            peer=self._block.name,
            address=self._block.address,
            port=self.port,
            life=self.node.detector.boot_epoch,
        )
        self._watcher.start()
        self._teller = self._reactor.callLater(TELL_DROPPED, self._tell_dropped)
        self._write()

    def _take(self, action: Accept | Reject) -> None:
        if isinstance(action, Reject):
            for fault in action.faults:
                self._log.error("peers_rejected", fault=fault)
            return
        self.places = dict(action.places)
        self.node.listed(self._now(), self.places, action.zones)
        self._log.info("peers_listed", peers=len(self.places))
        self._wind()

    def reload_keys(self) -> None:
        """Read the key file again; one that cannot be used is logged, and the last good keys stay."""
        try:
            self.node.keys = load_keys(self._folder / self._block.key)
        except PeersError as problem:
            self._log.error("peers_key_rejected", fault=str(problem))
        else:
            self._log.info("peers_keys", count=len(self.node.keys))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Whoever sent it, answers go where the list says."""
        now = self._now()
        self._send(self.node.receive(now, datagram))
        if now - self._judged_at >= JUDGE_EVERY:
            self._judge(now)

    def connectionRefused(self) -> None:  # noqa: N802
        """Nobody listens there now."""

    def prompt(self) -> None:
        """A part was told something from elsewhere: send what it has to say."""
        self._send(self.node.flush(self._now()))

    def _tick(self) -> None:
        now = self._now()
        self.node.counters.update(self._sharing.figures())
        self._judge(now)
        self._send(self.node.tick(now))
        for told in self.after:
            told(now)

    def _judge(self, now: int) -> None:
        """Store what this gateway found itself, and hand it the consensus on the others' reports."""
        self._judged_at = now
        first_hand = self._sharing.first_hand(now)
        self.node.report_store.record_first_hand(now, first_hand)
        consensus = reach_consensus(now, self.node.report_store, self._sharing.listed(), first_hand, self._draw)
        if consensus == self.consensus:
            return
        before = self.consensus.outliers.keys()
        after = consensus.outliers.keys()
        if before != after:
            self._log.info("hearsay", doubted=sorted(after), no_more=sorted(before - after))
        self.consensus = consensus
        self._sharing.apply_consensus(consensus)

    def _draw(self, server: str) -> float:
        """This gateway's own chance for a server: always the same, and another at other gateways."""
        return Random(f"{self._block.name}/{server}").random()

    def _send(self, datagrams: list[tuple[str, bytes]]) -> None:
        for to, data in datagrams:
            place = self.places.get(to)
            if place is not None and self.transport is not None:
                try:
                    self.transport.write(data, place)
                except OSError:  # no way there now: as lost
                    self._not_sent += 1
        changes = self.node.changes()
        for change in changes:
            self._log.info("peer", peer=change.name, state=NAMES[change.state], incarnation=change.incarnation)
        if changes and self._writer is None:
            self._writer = self._reactor.callLater(WRITE_EVERY, self._write)
        self._wind()

    def _wind(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        at = self.node.next_at()
        if at is not None and self._port is not None:
            self._timer = self._reactor.callLater(max(0, at - self._now()) / SECOND, self._tick)

    def view(self) -> dict[str, Any]:
        """What is known here, as plain values; ages in milliseconds."""
        return {"written": self._wall(), **node_view(self.node, self.consensus, self._now())}

    def _write(self) -> None:
        """Put the view where ``yardbank peers show`` finds it."""
        self._writer = self._reactor.callLater(5 * WRITE_EVERY, self._write)
        path = self._folder / self._block.view
        try:
            write_whole(path, json.dumps(self.view()) + "\n")
        except OSError as problem:
            self._log.warning("peers_view_not_written", path=str(path), error=str(problem))

    def _tell_dropped(self) -> None:
        self._teller = self._reactor.callLater(TELL_DROPPED, self._tell_dropped)
        withheld = {"withheld": self.node.withheld, "letters_withheld": self.node.outbox.withheld}
        counts = self.node.dropped + Counter({**withheld, "not_sent": self._not_sent})
        if self.node.detector.times_overtaken != self._overtaken:
            self._overtaken = self.node.detector.times_overtaken
            self._log.warning("peers_life_raised", peer=self._block.name, times=self._overtaken)
        if counts != self._told:
            self._told = counts
            self._log.warning("peers_dropped", **counts)

    def stop(self) -> None:
        """No more."""
        self._watcher.stop()
        for timer in (self._timer, self._writer, self._teller):
            if timer is not None and timer.active():
                timer.cancel()
        if self._port is not None:
            self._port.stopListening()
            self._port = None
