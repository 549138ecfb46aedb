"""The I/O of gossip: the UDP socket, the timers, and the files of the list, the keys and the view.

Decides nothing: ``node`` decides what is sent, ``peer_list`` which list is in force, and ``outlier_consensus`` which
servers are outliers.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol

from yardbank.cluster.peers import PeersError
from yardbank.cluster.peers.failure_detector import SECOND, STATE_NAMES, Pace
from yardbank.cluster.peers.node import GossipNode
from yardbank.cluster.peers.outlier_consensus import OutlierConsensus, reach_consensus
from yardbank.cluster.peers.peer_list import Accept, PeerList, Reject
from yardbank.cluster.peers.sharing import Sharing
from yardbank.cluster.peers.startup import begin_boot_epoch, load_keys
from yardbank.cluster.peers.view import node_view
from yardbank.config.blocks import PeersBlock
from yardbank.files import write_atomically
from yardbank.server_list.watcher import Watcher

VIEW_WRITE_INTERVAL = 1.0  # seconds between two writes of the view, at least
JUDGE_INTERVAL = SECOND // 5  # ns; on received datagrams the health reports are evaluated no more often than this
DROP_LOG_INTERVAL = 10.0  # seconds between two log lines on dropped datagrams


class Peers(DatagramProtocol):
    """The gossip of one gateway, from start to stop. ``sharing`` connects it to the gateway; all times are in ns."""

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
        """``folder``: base of the paths in the settings; ``state``: folder for the boot epoch, if any.

        ``now``: the monotonic clock, ns; ``wall``: seconds since 1970. Raises ``PeersError`` if the keys cannot be
        used.
        """
        self._block = block
        self._folder = folder
        self._reactor = reactor
        self._now = now
        self._wall = wall
        self._log = log
        self._sharing = sharing
        boot_epoch = begin_boot_epoch(state, wall(), log)
        pace = Pace(period=block.period, timeout=block.timeout, suspicion=block.suspicion)
        keys = load_keys(folder / block.key)
        self.node = GossipNode(block.name, block.fleet, keys, boot_epoch, Random(f"{seed}/{boot_epoch}"), pace)
        self.addresses: dict[str, tuple[str, int]] = {}
        self.port = 0
        self.after: list[Callable[[int], None]] = []  # called after each tick with the time, ns
        self.consensus = OutlierConsensus({}, frozenset())
        self._list = PeerList()
        self._watcher = Watcher(folder / block.list, self._list, self._apply_list, reactor=reactor, now=now, log=log)
        self._port: Any = None
        self._tick_timer: Any = None
        self._view_timer: Any = None
        self._drop_timer: Any = None
        self._logged_drops: Counter[str] = Counter()
        self._logged_overtaken = 0
        self._not_sent = 0
        self._judged_at = 0

    def start(self) -> None:
        """Listen, and start to read the list. Raises ``PeersError`` if it cannot listen."""
        address = self._block.address
        port = self._block.port
        try:
            self._port = self._reactor.listenUDP(port, self, interface=address, maxPacketSize=2048)
        except CannotListenError as error:
            raise PeersError(f"peers: cannot listen at {address}:{port}: {error.socketError}") from error
        self.port = self._port.getHost().port
        self._log.info(
            "peers_listening",
            peer=self._block.name,
            address=self._block.address,
            port=self.port,
            life=self.node.detector.boot_epoch,
        )
        self._watcher.start()
        self._drop_timer = self._reactor.callLater(DROP_LOG_INTERVAL, self._log_drops)
        self._write_view()

    def _apply_list(self, action: Accept | Reject) -> None:
        if isinstance(action, Reject):
            for fault in action.faults:
                self._log.error("peer_list_rejected", fault=fault)
            return
        self.addresses = dict(action.places)
        self.node.listed(self._now(), self.addresses, action.zones)
        self._log.info("peers_listed", peers=len(self.addresses))
        self._schedule_tick()

    def reload_keys(self) -> None:
        """Read the key file again. If it cannot be used, log that and keep the present keys."""
        try:
            self.node.keys = load_keys(self._folder / self._block.key)
        except PeersError as problem:
            self._log.error("peer_keys_rejected", fault=str(problem))
        else:
            self._log.info("peer_keys_loaded", count=len(self.node.keys))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Handle a datagram. ``addr`` is ignored: replies go to the sender's address in the list."""
        now = self._now()
        self._send(self.node.receive(now, datagram))
        if now - self._judged_at >= JUDGE_INTERVAL:
            self._judge(now)

    def connectionRefused(self) -> None:  # noqa: N802
        """Ignore ICMP errors: the failure detector finds peers that do not listen."""

    def prompt(self) -> None:
        """Send the messages of parts that were called from outside of gossip."""
        self._send(self.node.flush(self._now()))

    def _tick(self) -> None:
        now = self._now()
        self.node.counters.update(self._sharing.figures())
        self._judge(now)
        self._send(self.node.tick(now))
        for notify in self.after:
            notify(now)

    def _judge(self, now: int) -> None:
        """Store this gateway's own findings, and pass it the consensus on the others' reports if that has changed."""
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
        """This gateway's random number for a server: constant, and different at other gateways."""
        return Random(f"{self._block.name}/{server}").random()

    def _send(self, datagrams: list[tuple[str, bytes]]) -> None:
        for to, data in datagrams:
            self._send_one(to, data)
        changes = self.node.changes()
        for change in changes:
            self._log.info("peer", peer=change.name, state=STATE_NAMES[change.state], incarnation=change.incarnation)
        if changes and self._view_timer is None:
            self._view_timer = self._reactor.callLater(VIEW_WRITE_INTERVAL, self._write_view)
        self._schedule_tick()

    def _send_one(self, to: str, data: bytes) -> None:
        address = self.addresses.get(to)
        if address is None or self.transport is None:
            return
        try:
            self.transport.write(data, address)
        except OSError:  # such as no route: treated like a lost datagram
            self._not_sent += 1

    def _schedule_tick(self) -> None:
        if self._tick_timer is not None and self._tick_timer.active():
            self._tick_timer.cancel()
        at = self.node.next_at()
        if at is not None and self._port is not None:
            self._tick_timer = self._reactor.callLater(max(0, at - self._now()) / SECOND, self._tick)

    def view(self) -> dict[str, Any]:
        """The state for operators, as plain values; ages in milliseconds."""
        return {"written": self._wall(), **node_view(self.node, self.consensus, self._now())}

    def _write_view(self) -> None:
        """Write the view to the file that ``yardbank peers show`` reads."""
        self._view_timer = self._reactor.callLater(5 * VIEW_WRITE_INTERVAL, self._write_view)
        path = self._folder / self._block.view
        try:
            write_atomically(path, json.dumps(self.view()) + "\n")
        except OSError as problem:
            self._log.warning("peers_view_write_failed", path=str(path), error=str(problem))

    def _log_drops(self) -> None:
        """Log the counts of drops, and of higher incarnations of this name heard from peers, if they have changed."""
        self._drop_timer = self._reactor.callLater(DROP_LOG_INTERVAL, self._log_drops)
        times_overtaken = self.node.detector.times_overtaken
        if times_overtaken != self._logged_overtaken:
            self._logged_overtaken = times_overtaken
            self._log.warning("peer_incarnation_raised", peer=self._block.name, times=times_overtaken)
        drops = self.node.dropped + Counter(
            withheld=self.node.withheld,
            messages_withheld=self.node.outbox.withheld,
            not_sent=self._not_sent,
        )
        if drops != self._logged_drops:
            self._logged_drops = drops
            self._log.warning("peers_dropped", **drops)

    def stop(self) -> None:
        """Stop listening and cancel all timers."""
        self._watcher.stop()
        for timer in (self._tick_timer, self._view_timer, self._drop_timer):
            if timer is not None and timer.active():
                timer.cancel()
        if self._port is not None:
            self._port.stopListening()
            self._port = None
