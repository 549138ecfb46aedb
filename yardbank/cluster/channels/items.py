"""One channel as one follower takes it: in order, each item once, what is missing told. No I/O; times (ns) come in.

An item's place is (epoch, sequence). Places that were passed never come back, so an owner that was stopped and woken, a
duplicate and a late datagram change nothing. Items that come early wait, few and not for long, for those before them;
what has not come by then is told as a gap. Where an epoch ended is known only if its owner said so and the next one
passed it on (``after``); then a planned handing on shows no gap. Otherwise "perhaps some" is told, with the first word
of the next epoch.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from yardbank.cluster.channels.api import MS, Delivered, Gap
from yardbank.cluster.channels.messages import Item, ItemPosition

REORDER_WAIT = 600 * MS  # so long the next item in order is waited for before it counts as a gap
RETRANSMIT_INTERVAL = 60 * MS  # between two requests for the same items
MAX_EARLY = 128  # items of a channel that wait for one before them
RECENT, RECENT_OCTETS = 256, 64 * 1024  # kept of a channel, for those who missed some


@dataclass(slots=True, frozen=True)
class Missing:
    """Items that have not come; the last one included."""

    epoch: int
    first: int
    last: int


class Stream:
    """What one follower received of a channel. ``latest``: only newer items count, none is waited for."""

    def __init__(self, channel: str, latest: bool = False) -> None:
        self.channel, self.latest = channel, latest
        self.place: ItemPosition = (0, 0)  # of the last one delivered; (0, 0): none yet
        self.out: list[Item | Gap] = []
        self.doubled = self.overtaken = 0
        self.seen = 0  # the highest epoch that was heard of
        self._newest = 0  # the highest sequence that was heard of under it
        self._early: dict[ItemPosition, Item] = {}
        self._after: dict[int, ItemPosition] = {}  # by epoch: where the one before it ended
        self._ends: ItemPosition | None = None  # where an epoch ends, as its owner said
        self._waits_since = 0
        self._asked_at = -RETRANSMIT_INTERVAL

    def take(self, now: int, item: Item) -> bool:
        """An item came, from whomever; whether it is new here."""
        place = item.epoch, item.sequence
        if place <= self.place or place in self._early:
            self.doubled += 1
            return False
        if item.epoch < self.seen and not self._within(place):
            self.overtaken += 1
            return False
        if self.place == (0, 0):
            self.place = item.epoch, item.sequence - 1  # following begins with what comes first
        self._heard(item.epoch, item.sequence, item.after)
        self._early[place] = item
        self._advance(now)
        return True

    def heard(self, now: int, epoch: int, newest: int, after: ItemPosition | None) -> None:
        """A heartbeat said which item is the newest."""
        if self.place == (0, 0) and not self._early:
            self.place = epoch, newest
        self._heard(epoch, 0 if self.latest else newest, after)  # the newest itself is still to come
        self._advance(now)

    def ended(self, now: int, place: ItemPosition) -> None:
        """The owner of an epoch said where it ended."""
        if self._ends is None or place > self._ends:
            self._ends = place
        if self.place != (0, 0):
            self.heard(now, *place, None)

    def tick(self, now: int) -> None:
        """What was waited for long enough is given up."""
        self._advance(now)

    def waits(self) -> bool:
        """Whether ``tick`` has something to do soon."""
        return self._waits_since != 0

    def missing(self, now: int) -> Missing | None:
        """What to ask for now; the same is asked for again only after a while."""
        if not self._waits_since:
            return None
        if now < self._waits_since + RETRANSMIT_INTERVAL // 4:
            return None  # most of what is missing has only been overtaken
        if now < self._asked_at + RETRANSMIT_INTERVAL:
            return None
        epoch, sequence = self.place
        known = [early[1] - 1 for early in self._early if early[0] == epoch]
        last = min(known) if known else self._end_of(epoch)
        self._asked_at = now
        return Missing(epoch, sequence + 1, last) if last > sequence else None

    def _heard(self, epoch: int, newest: int, after: ItemPosition | None) -> None:
        if after is not None and after[0] < epoch:
            self._after[epoch] = after
        if epoch > self.seen:
            self.seen, self._newest = epoch, newest
        elif epoch == self.seen:
            self._newest = max(self._newest, newest)

    def _within(self, place: ItemPosition) -> bool:
        """Whether it is of the epoch being delivered, whose end is known and not reached yet."""
        return place[0] == self.place[0] and place[1] <= self._told_end(place[0])

    def _told_end(self, epoch: int) -> int:
        """Where an epoch is said to have ended; 0: nobody said."""
        told = [after[1] for after in self._after.values() if after[0] == epoch]
        if self._ends is not None and self._ends[0] == epoch:
            told.append(self._ends[1])
        return max(told, default=0)

    def _end_of(self, epoch: int) -> int:
        """The highest sequence of an epoch that is known to have been given out; 0: none is known."""
        return max(self._told_end(epoch), self._newest if epoch == self.seen else 0)

    def _next_epoch(self) -> int:
        """The lowest epoch beyond the present one that anything is known of."""
        known = [epoch for epoch, _ in self._early if epoch > self.place[0]]
        return min([*known, self.seen] if self.seen > self.place[0] else known, default=0)

    def _advance(self, now: int) -> None:
        while self._step(now):
            pass
        if not self._behind():
            self._waits_since = 0
        elif not self._waits_since:
            self._waits_since = now
        if len(self._after) > 4:
            for epoch in sorted(self._after)[:-4]:
                del self._after[epoch]

    def _behind(self) -> bool:
        return bool(self._early) or self.seen > self.place[0] or self._end_of(self.place[0]) > self.place[1]

    def _step(self, now: int) -> bool:
        """Pass one place, or one gap; whether that was possible."""
        epoch, sequence = self.place
        if (item := self._early.pop((epoch, sequence + 1), None)) is not None:
            self.place = epoch, sequence + 1
            self.out.append(item)
            self._waits_since = 0
            return True
        if not self._behind():
            return False
        following = self._next_epoch()
        joined = following and self._after.get(following, (0, 0))[0] == epoch
        if joined and self._after[following][1] <= sequence:
            self._enter(following)  # it was taken to its end
            return True
        here = [early[1] for early in self._early if early[0] == epoch]
        if following and not joined and not here:
            return self._leap(following)
        patient = not self.latest and len(self._early) <= MAX_EARLY
        if patient and (not self._waits_since or now < self._waits_since + REORDER_WAIT):
            return False
        self._waits_since = 0
        to = min(here) - 1 if here else self._end_of(epoch)
        if to <= sequence:
            return self._leap(following) if following else False
        return self._give_up(epoch, to)

    def _give_up(self, epoch: int, to: int) -> bool:
        self._gap(epoch, to - self.place[1])
        self.place = epoch, to
        return True

    def _leap(self, epoch: int) -> bool:
        """On to an epoch of which nobody knows where the one before it ended."""
        self._gap(epoch, None)
        self._enter(epoch)
        return True

    def _enter(self, epoch: int) -> None:
        self.place = epoch, 0
        self._waits_since = 0
        for place in [place for place in self._early if place[0] < epoch]:
            del self._early[place]

    def _gap(self, epoch: int, missing: int | None) -> None:
        if not self.latest:
            self.out.append(Gap(self.channel, epoch, missing))


class Recent:
    """The last items of one channel, for those who missed some: at most ``RECENT``, and ``RECENT_OCTETS``."""

    def __init__(self) -> None:
        self._items: OrderedDict[ItemPosition, Item] = OrderedDict()
        self._octets = 0

    def add(self, item: Item) -> None:
        """One more."""
        self._items[item.epoch, item.sequence] = item
        self._octets += len(item.data)
        while len(self._items) > RECENT or self._octets > RECENT_OCTETS:
            _, oldest = self._items.popitem(last=False)
            self._octets -= len(oldest.data)

    def some(self, epoch: int, first: int, last: int, most: int = 32) -> list[Item]:
        """Those of a stretch that are still there, in order, the first ones if they are many."""
        sequences = range(first, min(last, first + RECENT) + 1)
        found = [item for sequence in sequences if (item := self._items.get((epoch, sequence))) is not None]
        return found[:most]

    def beyond(self, place: ItemPosition, most: int = 32) -> list[Item]:
        """Those after a place, in order."""
        return [self._items[key] for key in sorted(key for key in self._items if key > place)[:most]]


class Queue:
    """Items for one listener, at most ``most``: beyond, the oldest are lost, and it is told how many."""

    def __init__(self, most: int) -> None:
        self._most, self._items = most, deque[Delivered | Gap]()
        self.lost = 0  # of those, since ever

    def put(self, one: Delivered | Gap) -> None:
        """One more at the end."""
        self._items.append(one)
        while len(self._items) > max(2, self._most):
            self._lose()

    def _lose(self) -> None:
        """The two oldest become one gap."""
        first, second = self._items.popleft(), self._items.popleft()
        counts = [one.missing if isinstance(one, Gap) else 1 for one in (first, second)]
        self.lost += sum(isinstance(one, Delivered) for one in (first, second))
        unknown = None in counts
        self._items.appendleft(Gap(second.channel, second.epoch, None if unknown else sum(c or 0 for c in counts)))

    def take(self) -> Delivered | Gap | None:
        """The oldest; None: nothing waits."""
        return self._items.popleft() if self._items else None

    def __len__(self) -> int:
        return len(self._items)
