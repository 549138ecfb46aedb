"""When a gateway bids for a channel, and what it does once it has it. No I/O; times (ns) come in.

Safety is the lease's. A channel without an owner is bid for by turns: the first by placement as soon as the owner is
silent, the others later by rank: a fleet that starts at once, or loses many owners, does not ask for all at a time.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from yardbank.cluster.channels import messages as wire
from yardbank.cluster.channels import placement as placing
from yardbank.cluster.channels.api import MS, PREFIX, SECOND, Ended, Options, Owned, resource
from yardbank.cluster.channels.feed import Feed
from yardbank.cluster.channels.members import Members
from yardbank.cluster.channels.messages import AskEnd
from yardbank.cluster.channels.placement import Placement
from yardbank.cluster.channels.states import APART, BIDDING, CARRYING, ENTERING, HANDING, WAITING, Own
from yardbank.cluster.lease.api import OWNED, Leases
from yardbank.cluster.peers.parts import MembershipView, Message

STEP = 300 * MS  # between two turns to bid
NEAR, FAR = 3, 1500 * MS  # so many are told directly that the owner lives; the others wait so much longer for its word
RANKS = 12  # beyond, all wait alike
YOUNG = 15 * SECOND  # so long after a start whom nothing is known of counts as a candidate too
MOST_BIDS = 8  # at a time
POLL = 20 * MS  # between two looks at what became of a bid
ASK_END = 50 * MS
PATIENCE = 2  # leases: how long one bids


class Bidding:
    """All channels that this gateway would carry."""

    def __init__(
        self,
        membership_view: MembershipView,
        leases: Leases,
        members: Members,
        placement: Placement,
        feed: Feed,
        options: Options,
        random: Random,
    ) -> None:
        self.channels: dict[str, Own] = {}
        self.stopping = False
        self.moves: Counter[tuple[str, str]] = Counter()  # of ``TABLE``
        self._membership_view, self._leases, self._members, self._feed = membership_view, leases, members, feed
        self._placement, self._options, self._random = placement, options, random
        self._began = self._expects = 0
        self._busy: set[str] = set()  # channels of which something is to happen soon
        self._held: set[str] = set()  # that are carried, or about to be

    def acquire(self, now: int, channel: str) -> None:
        """Carry it whenever that is this gateway's turn."""
        self._began = self._began or now
        self.channels.setdefault(channel, Own(now, at=now))

    def unwant(self, now: int, channel: str) -> None:
        """No more; whoever comes next bids for it."""
        own = self.channels.pop(channel, None)
        if own is not None and own.state not in (APART, WAITING):
            self._leases.release(now, resource(channel))
            self._end(now, channel, own, "given up")
        self._busy.discard(channel)
        self._held.discard(channel)

    def held(self) -> list[str]:
        """What is carried here, or about to be."""
        return sorted(self._held)

    def epoch(self, now: int, channel: str) -> int | None:
        """Under which epoch an item may go out at this very time; None: none may."""
        own = self.channels.get(channel)
        if own is None or own.state not in (CARRYING, HANDING):
            return None
        epoch = self._leases.epoch(now, resource(channel))
        return epoch if epoch == own.epoch else None

    # Looking

    def poll(self, now: int) -> None:
        """What the leases say."""
        for name, source in self._leases.offered(PREFIX):
            channel = name.removeprefix(PREFIX)
            own = self.channels.get(channel)
            if own is not None and own.state in (APART, WAITING, BIDDING) and not self.stopping:
                if own.state != BIDDING:
                    self._bid(now, channel, own)
                own.source, own.at = source, now
        for turn in self._leases.take_events(PREFIX):
            channel = turn.resource.removeprefix(PREFIX)
            own = self.channels.get(channel)
            if turn.what == OWNED:
                self._granted(now, channel, own, turn.epoch)
            elif own is not None and own.epoch == turn.epoch and own.state in (ENTERING, CARRYING, HANDING):
                self._lost(now, channel, own, turn.why or "the lease ended")
        for channel in sorted(self._busy):
            own = self.channels[channel]
            if own.state == ENTERING:
                self._enter(now, channel, own)
            elif own.state == HANDING and now - own.at > self._options.overlap + 250 * MS:
                own.tried.add(own.to)
                self._move(now, channel, own, CARRYING)

    def expect(self, now: int) -> None:
        """Another hands on to this gateway; the lease's own word may come a little later."""
        self._expects = now + self._options.overlap
        self.poll(now)

    def busy(self, now: int) -> bool:
        """Whether ``poll`` should come soon again."""
        return now < self._expects or bool(self._busy)

    def loads(self) -> Counter[str]:
        """How many channels each gateway carries, as far as is known here."""
        found = Counter(known.owner for known in self._feed.known.values() if not known.over)
        found[self._membership_view.name] = len(self.held())
        return found

    def _look_at_bids(self, now: int) -> None:
        for channel in sorted(self._busy):
            own = self.channels[channel]
            if own.state != BIDDING:
                continue
            known = self._feed.known.get(channel)
            taken = (
                known is not None
                and not known.over
                and known.owner != self._membership_view.name
                and known.heard_at > own.at
            )
            patient = self._options.overlap * 2 if own.source else self._options.term * PATIENCE
            if (taken and not own.source) or now - own.at > patient or self.stopping:
                self._leases.release(now, resource(channel))
                own.source = ""
                own.not_before = now + (0 if taken else round(self._random.uniform(0.2, 1) * self._options.term))
                self._move(now, channel, own, APART)

    def _look_for_silence(self, now: int, loads: Counter[str]) -> None:
        orphans: dict[str, list[str]] = {}
        most = 1
        young = now < self._began + YOUNG  # at a start nobody knows who else there is
        strangers = self._members.strangers(self._membership_view.zones()) if young else frozenset()
        for channel, own in self.channels.items():
            if own.state not in (APART, WAITING):
                continue
            if not self._silent(now, channel):
                if own.state == WAITING:
                    self._move(now, channel, own, APART)
                continue
            if now < self._turn(channel, own, 0):
                continue
            known, names = self._feed.known.get(channel), self._members.candidates(channel)
            if known is None:
                names |= strangers
            elif not known.over:
                names -= {known.owner}
            orphans[channel] = self._placement.order(channel, names, self._members.followers(channel))
            most = max(most, placing.bound(len(self.channels), len(names)))
        for channel, queue in placing.place(orphans, loads, most).items():
            own = self.channels[channel]
            if self._membership_view.name not in queue:
                continue
            if own.state == APART:
                self._move(now, channel, own, WAITING)
            own.turn = self._turn(channel, own, queue.index(self._membership_view.name))
            if now >= own.turn and len(self._busy) < MOST_BIDS:
                self._bid(now, channel, own)

    def _silent(self, now: int, channel: str) -> bool:
        known = self._feed.known.get(channel)
        return known is None or known.over or now - known.heard_at > 3 * self._options.beat

    def _turn(self, channel: str, own: Own, rank: int) -> int:
        known, term = self._feed.known.get(channel), self._options.term
        rank = min(rank, RANKS)
        if known is None:  # voters that have just started are silent for one lease
            begin = own.since + term + SECOND
        elif known.over:
            begin = max(own.at, known.heard_at)
        elif rank == 0:  # alone until the lease must be over: several that ask as it ends take votes from each other
            begin = known.heard_at + 3 * self._options.beat
        else:
            begin = known.heard_at + term + (FAR if rank >= NEAR else 0)
        return max(begin + rank * STEP, own.not_before)

    # Changes of state

    def _move(self, now: int, channel: str, own: Own, state: str) -> None:
        self.moves[own.state, state] += 1
        own.state, own.at = state, now
        for kept, states in ((self._busy, (BIDDING, ENTERING, HANDING)), (self._held, (ENTERING, CARRYING, HANDING))):
            if state in states:
                kept.add(channel)
            else:
                kept.discard(channel)

    def _bid(self, now: int, channel: str, own: Own) -> None:
        self._leases.acquire(now, resource(channel))
        self._move(now, channel, own, BIDDING)

    def _granted(self, now: int, channel: str, own: Own | None, epoch: int) -> None:
        if own is None or own.state in (APART, WAITING) or self.stopping:
            self._leases.release(now, resource(channel))  # too late: it is not wanted any more
            return
        if own.state != BIDDING:
            self._end(now, channel, own, "granted anew")
        own.epoch, own.tried = epoch, set()
        if own.source:
            self._move(now, channel, own, ENTERING)
            self._enter(now, channel, own)
        else:
            self._carry(now, channel, own)

    def _enter(self, now: int, channel: str, own: Own) -> None:
        """Begin once the one before is known to have ended: then nothing is missed at the change."""
        end = self._feed.ends.get(channel)
        known = self._feed.known.get(channel)
        told = end is not None and known is not None and known.over and end[0] == known.epoch < own.epoch
        if told or now - own.at >= self._options.overlap:
            self._carry(now, channel, own)
        elif now - own.asked_at >= ASK_END:
            own.asked_at = now
            self._say(own.source, AskEnd(channel, own.epoch))

    def _carry(self, now: int, channel: str, own: Own) -> None:
        own.source = ""
        self._move(now, channel, own, CARRYING)
        self._feed.heirs[channel] = self._heirs(channel, self.loads())
        self._feed.carry(now, channel, own.epoch)
        self._feed.events.append(Owned(channel, own.epoch))

    def _lost(self, now: int, channel: str, own: Own, why: str) -> None:
        """The lease is over; where that was not planned it is still wanted."""
        state = APART if own.state == HANDING else BIDDING
        if state == APART:
            self._leases.release(now, resource(channel))
            own.not_before = now + 2 * self._options.overlap
        self._end(now, channel, own, why, state)

    def _end(self, now: int, channel: str, own: Own, why: str, state: str = APART) -> None:
        carried = own.state in (CARRYING, HANDING)
        self._move(now, channel, own, state)
        if carried:
            self._feed.stop(now, channel, [own.to] if own.to else [])
            self._feed.events.append(Ended(channel, own.epoch, why))
        own.source = own.to = ""
        own.better_since = 0
        self._feed.heirs.pop(channel, None)

    def _heirs(self, channel: str, loads: Counter[str]) -> list[str]:
        """Who would be next if this gateway died; they are told directly that it lives."""
        names = self._members.candidates(channel) - {self._membership_view.name}
        most = placing.bound(len(self.channels), len(names) + 1)
        order = self._placement.order(channel, names, self._members.followers(channel))
        return placing.turns(order, loads, most)[:NEAR]

    def _say(self, to: str, message: wire.ChannelMessage) -> None:
        self._feed.outgoing_messages.append(Message(to, wire.encode(message), urgent=True))
