"""Who carries a channel, as one gateway sees it: keep it, hand it on, and to whom. No I/O; times (ns) come in.

Who holds a channel keeps it, until it has too many, another place is better by far and for long, or it stops. Then one
successor after another is offered the lease; where none takes it, it is given up and whoever's turn it is bids.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from yardbank.cluster.channels import placement as placing
from yardbank.cluster.channels.api import MS, SECOND, resource
from yardbank.cluster.channels.election import Election
from yardbank.cluster.channels.messages import EndedAt, EndQuery, TransferNotice
from yardbank.cluster.channels.placement import BETTER, BETTER_BY
from yardbank.cluster.channels.states import OwnershipPhase, OwnerState

MAX_SUCCESSORS_TRIED = 3  # successors, before a channel is given up without one
MAX_TRANSFERS, MAX_TRANSFERS_AT_STOP = 4, 64  # at a time
BETTER_FOR = 10 * SECOND
CONTEST = SECOND  # between two bids to come above an epoch that others have seen
LOOK_EVERY = 4  # beats, after heirs and better places


class Ownership(Election):
    """All channels that this gateway would carry."""

    prefer: Callable[[Iterable[str]], Sequence[str]] | None = None  # who should be next at a planned end
    heard_epoch: Callable[[int, int], object] | None = None  # tells the leases of one: the next is to be above it
    soon = 0  # an owner said that it ended: when to look who is next; 0: nothing
    _beats = 0

    def stop(self, now: int) -> None:
        """This gateway is about to end: all it has goes to others."""
        self.stopping = True
        self.check_all(now)

    def check_all(self, now: int) -> None:
        """Look after everything, at each beat and whenever an owner said that it ended."""
        self.soon = 0
        self._beats += 1
        self.poll(now)
        loads = self.loads()
        self._check_candidacies(now)
        if not self.stopping:
            self._check_silent_owners(now, loads)
        self._check_owned(now, loads)

    def busy(self, now: int) -> bool:
        """Whether ``poll`` should come soon again."""
        return super().busy(now) or (self.stopping and bool(self.held_channels()))

    def poll(self, now: int) -> None:
        """What the leases say; at a stop, who is next where the last one asked did not take it."""
        super().poll(now)
        if self.stopping:
            self._transfer_all(now)

    def ended(self, now: int, sender: str, told: EndedAt) -> None:
        """An owner said where it ended."""
        own = self.channels.get(told.channel)
        expected = own is not None and own.source == sender
        self._feed.ended(now, sender, told, expected)
        if expected:
            self.poll(now)
        elif own is not None and own.state == OwnershipPhase.IDLE and not self.soon:
            self.soon = now + 10 * MS

    def on_end_query(self, now: int, sender: str, asked: EndQuery) -> None:
        """A successor has it: this gateway ends at once, and says where."""
        own = self.channels.get(asked.channel)
        if (
            own is not None
            and own.state == OwnershipPhase.TRANSFERRING
            and own.to == sender
            and asked.epoch > own.epoch
        ):
            self._leases.release(now, resource(asked.channel))
            self.poll(now)
            if own.state == OwnershipPhase.TRANSFERRING:
                self._lost(now, asked.channel, own, "handed on")
        elif (end := self._feed.end(asked.channel, asked.epoch)) is not None:
            self._send(sender, end)

    def _check_owned(self, now: int, loads: Counter[str]) -> None:
        channels = [(channel, own) for channel, own in self.channels.items() if own.state == OwnershipPhase.OWNER]
        for channel, own in channels:
            if self._leases.epoch(now, resource(channel)) is None:
                continue  # its end comes as a turn
            if self._highest(channel) > own.epoch and now >= own.contested_at + CONTEST:
                own.contested_at = now
                if self.heard_epoch is not None:
                    self.heard_epoch(now, self._highest(channel))
                self._leases.release(now, resource(channel))
                self._end(now, channel, own, "others have seen a higher epoch")
                self._feed.above.pop(channel, None)
                self._stand(now, channel, own)
        if self.stopping or self._beats % LOOK_EVERY:
            return
        for channel, _ in channels:
            self._feed.heirs[channel] = self._heirs(channel, loads)
        self._transfer_surplus(now, loads)
        self._transfer_to_better(now, loads)

    def _highest(self, channel: str) -> int:
        """The highest epoch that anybody here has heard of."""
        known = self._feed.known.get(channel)
        return max(self._feed.above.get(channel, 0), known.epoch if known is not None else 0)

    # Planned ends

    def _transfer(self, now: int, channel: str, own: OwnerState, to: str) -> bool:
        if not self._leases.transfer(now, resource(channel), to):
            return False  # it is held here for too short a time yet
        own.to = to
        self._move(now, channel, own, OwnershipPhase.TRANSFERRING)
        self._send(to, TransferNotice(channel))
        return True

    def _successors(self, channel: str, own: OwnerState, loads: Counter[str]) -> list[str]:
        """Who may take it, the best first."""
        names = (
            (self._members.candidates(channel) & self._membership_view.alive())
            - own.tried
            - {self._membership_view.name}
        )
        most = placing.bound(len(self.channels), len(names) + (not self.stopping))
        order = self._placement.order(channel, names, self._members.followers(channel))
        return placing.successors(order, loads, most, self.prefer)

    def _transfer_all(self, now: int) -> None:
        handing = sum(own.state == OwnershipPhase.TRANSFERRING for own in self.channels.values())
        loads: Counter[str] | None = None
        for channel, own in self.channels.items():
            if own.state == OwnershipPhase.CANDIDATE:
                self._leases.release(now, resource(channel))
                self._move(now, channel, own, OwnershipPhase.IDLE)
            if own.state != OwnershipPhase.OWNER or handing >= MAX_TRANSFERS_AT_STOP:
                continue
            loads = self.loads() if loads is None else loads
            names = self._successors(channel, own, loads)
            if len(own.tried) < MAX_SUCCESSORS_TRIED and names and self._transfer(now, channel, own, names[0]):
                handing += 1
                loads[names[0]] += 1
            elif len(own.tried) >= MAX_SUCCESSORS_TRIED or not names or now - own.at > 2 * self._options.overlap:
                self._leases.release(now, resource(channel))
                self._end(now, channel, own, "given up")

    def _transfer_surplus(self, now: int, loads: Counter[str]) -> None:
        """Who has too many hands some on, a few at a time, to those that have less than their share."""
        here = [(channel, own) for channel, own in self.channels.items() if own.state == OwnershipPhase.OWNER]
        handing = sum(own.state == OwnershipPhase.TRANSFERRING for own in self.channels.values())
        for channel, own in here:
            gateways = len(self._members.candidates(channel))
            even = math.ceil(len(self.channels) / max(1, gateways))
            if handing >= MAX_TRANSFERS or len(here) + handing <= placing.bound(len(self.channels), gateways):
                return
            own.tried.clear()
            names = [name for name in self._successors(channel, own, loads) if loads[name] < even]
            if names and self._transfer(now, channel, own, names[0]):
                loads[names[0]] += 1
                loads[self._membership_view.name] -= 1
                handing += 1
                here = here[1:]

    def _transfer_to_better(self, now: int, loads: Counter[str]) -> None:
        """A place whose worst way to the followers is much shorter, for a while, takes one channel after another."""
        for channel, own in self.channels.items():
            if own.state != OwnershipPhase.OWNER:
                continue
            followers = self._members.followers(channel)
            cost = self._placement.cost(self._membership_view.name, followers)
            names = self._successors(channel, own, loads)
            best = self._placement.cost(names[0], followers) if names else None
            most = placing.bound(len(self.channels), len(names) + 1)
            better = cost is not None and best is not None and best <= BETTER * cost and cost - best >= BETTER_BY
            if not better or loads[names[0]] >= most:
                own.better_since = 0
            elif not own.better_since:
                own.better_since = now
            elif now - own.better_since >= BETTER_FOR:
                own.better_since = 0
                if self._transfer(now, channel, own, names[0]):
                    return  # one at a time


__all__ = ["Ownership", "OwnershipPhase"]
