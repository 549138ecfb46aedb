"""One channel as one follower receives it: in order, each item once, gaps reported. No I/O; times are passed in (ns).

An item's position is (epoch, sequence). A position that was passed is never delivered again, so a former owner that was
paused and resumes, a duplicate and a late datagram have no effect. Items that arrive out of order wait, bounded in
number and time, for those before them; what is still missing then is reported as a gap. Where an epoch ended is known
only if its owner said so and the next owner passed it on (``previous_end``); then a planned transfer shows no gap.
Otherwise a gap of unknown size is reported as soon as anything of the next epoch arrives.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from yardbank.cluster.channels.api import MS, Delivered, Gap
from yardbank.cluster.channels.messages import Item, ItemPosition

REORDER_WAIT = 600 * MS  # wait for the next item in order before it is reported as a gap
RETRANSMIT_INTERVAL = 60 * MS  # interval between two requests for the same items
MAX_OUT_OF_ORDER = 128  # items of a channel that wait for an earlier one
MAX_RECENT_ITEMS, MAX_RECENT_OCTETS = 256, 64 * 1024  # kept per channel for retransmission


@dataclass(slots=True, frozen=True)
class Missing:
    """A range of items that have not arrived; ``last`` is included."""

    epoch: int
    first: int
    last: int


class Stream:
    """What one follower received of a channel. ``latest``: only newer items count, and missing ones are not awaited."""

    def __init__(self, channel: str, latest: bool = False) -> None:
        self.channel, self.latest = channel, latest
        self.position: ItemPosition = (0, 0)  # of the last item delivered; (0, 0): none yet
        self.out: list[Item | Gap] = []
        self.duplicates = self.outdated = 0
        self.highest_epoch = 0  # the highest epoch known
        self._highest_sequence = 0  # the highest sequence known of that epoch
        self._out_of_order: dict[ItemPosition, Item] = {}
        self._previous_ends: dict[int, ItemPosition] = {}  # by epoch: where the previous epoch ended
        self._announced_end: ItemPosition | None = None  # the end of an epoch as its owner announced it
        self._waiting_since = 0
        self._requested_at = -RETRANSMIT_INTERVAL

    def take(self, now: int, item: Item) -> bool:
        """Handle an item from any sender; returns whether it is new here."""
        position = item.epoch, item.sequence
        if position <= self.position or position in self._out_of_order:
            self.duplicates += 1
            return False
        if item.epoch < self.highest_epoch and not self._within_announced_end(position):
            self.outdated += 1
            return False
        if self.position == (0, 0):
            self.position = item.epoch, item.sequence - 1  # the first item received is the start of the stream
        self._update_newest(item.epoch, item.sequence, item.previous_end)
        self._out_of_order[position] = item
        self._advance(now)
        return True

    def note_newest(self, now: int, epoch: int, newest: int, previous_end: ItemPosition | None) -> None:
        """A heartbeat reported the newest item."""
        if self.position == (0, 0) and not self._out_of_order:
            self.position = epoch, newest
        # With ``latest`` the newest item must not count as outdated: it is still to arrive.
        self._update_newest(epoch, 0 if self.latest else newest, previous_end)
        self._advance(now)

    def on_epoch_end(self, now: int, position: ItemPosition) -> None:
        """The owner of an epoch reported where it ended."""
        if self._announced_end is None or position > self._announced_end:
            self._announced_end = position
        if self.position != (0, 0):
            self.note_newest(now, *position, None)

    def tick(self, now: int) -> None:
        """Give up items that have been missing for too long."""
        self._advance(now)

    def is_waiting(self) -> bool:
        """Whether ``tick`` will have something to do soon."""
        return self._waiting_since != 0

    def missing(self, now: int) -> Missing | None:
        """Items to request now; the same items are requested again only after ``RETRANSMIT_INTERVAL``."""
        if not self._waiting_since:
            return None
        if now < self._waiting_since + RETRANSMIT_INTERVAL // 4:
            return None  # most missing items are only reordered in transit
        if now < self._requested_at + RETRANSMIT_INTERVAL:
            return None
        epoch, sequence = self.position
        known = [pending[1] - 1 for pending in self._out_of_order if pending[0] == epoch]
        last = min(known) if known else self._last_known_sequence(epoch)
        self._requested_at = now
        return Missing(epoch, sequence + 1, last) if last > sequence else None

    def _update_newest(self, epoch: int, newest: int, previous_end: ItemPosition | None) -> None:
        if previous_end is not None and previous_end[0] < epoch:
            self._previous_ends[epoch] = previous_end
        if epoch > self.highest_epoch:
            self.highest_epoch, self._highest_sequence = epoch, newest
        elif epoch == self.highest_epoch:
            self._highest_sequence = max(self._highest_sequence, newest)

    def _within_announced_end(self, position: ItemPosition) -> bool:
        """Whether it belongs to the epoch being delivered, whose announced end is not passed."""
        return position[0] == self.position[0] and position[1] <= self._announced_end_of(position[0])

    def _announced_end_of(self, epoch: int) -> int:
        """The announced last sequence of an epoch; 0: none was announced."""
        announced = [previous_end[1] for previous_end in self._previous_ends.values() if previous_end[0] == epoch]
        if self._announced_end is not None and self._announced_end[0] == epoch:
            announced.append(self._announced_end[1])
        return max(announced, default=0)

    def _last_known_sequence(self, epoch: int) -> int:
        """The highest sequence of an epoch that is known to have been published; 0: none is known."""
        return max(self._announced_end_of(epoch), self._highest_sequence if epoch == self.highest_epoch else 0)

    def _next_epoch(self) -> int:
        """The lowest known epoch above the current one; 0: none."""
        known = [epoch for epoch, _ in self._out_of_order if epoch > self.position[0]]
        return min([*known, self.highest_epoch] if self.highest_epoch > self.position[0] else known, default=0)

    def _advance(self, now: int) -> None:
        while self._step(now):
            pass
        if not self._is_behind():
            self._waiting_since = 0
        elif not self._waiting_since:
            self._waiting_since = now
        if len(self._previous_ends) > 4:
            for epoch in sorted(self._previous_ends)[:-4]:
                del self._previous_ends[epoch]

    def _is_behind(self) -> bool:
        return (
            bool(self._out_of_order)
            or self.highest_epoch > self.position[0]
            or self._last_known_sequence(self.position[0]) > self.position[1]
        )

    def _step(self, now: int) -> bool:
        """Advance by one item or one gap; returns whether that was possible."""
        epoch, sequence = self.position
        if (item := self._out_of_order.pop((epoch, sequence + 1), None)) is not None:
            self.position = epoch, sequence + 1
            self.out.append(item)
            self._waiting_since = 0
            return True
        if not self._is_behind():
            return False
        next_epoch = self._next_epoch()
        end_is_known = next_epoch and self._previous_ends.get(next_epoch, (0, 0))[0] == epoch
        if end_is_known and self._previous_ends[next_epoch][1] <= sequence:
            self._start_epoch(next_epoch)  # the current epoch was delivered to its end
            return True
        pending_sequences = [pending[1] for pending in self._out_of_order if pending[0] == epoch]
        if next_epoch and not end_is_known and not pending_sequences:
            return self._skip_to_epoch(next_epoch)
        may_wait = not self.latest and len(self._out_of_order) <= MAX_OUT_OF_ORDER
        if may_wait and (not self._waiting_since or now < self._waiting_since + REORDER_WAIT):
            return False
        self._waiting_since = 0
        last_missing = min(pending_sequences) - 1 if pending_sequences else self._last_known_sequence(epoch)
        if last_missing <= sequence:
            return self._skip_to_epoch(next_epoch) if next_epoch else False
        return self._skip_missing(epoch, last_missing)

    def _skip_missing(self, epoch: int, last_missing: int) -> bool:
        self._emit_gap(epoch, last_missing - self.position[1])
        self.position = epoch, last_missing
        return True

    def _skip_to_epoch(self, epoch: int) -> bool:
        """Continue with an epoch when the end of the one before it is not known."""
        self._emit_gap(epoch, None)
        self._start_epoch(epoch)
        return True

    def _start_epoch(self, epoch: int) -> None:
        self.position = epoch, 0
        self._waiting_since = 0
        for position in [position for position in self._out_of_order if position[0] < epoch]:
            del self._out_of_order[position]

    def _emit_gap(self, epoch: int, missing: int | None) -> None:
        if not self.latest:
            self.out.append(Gap(self.channel, epoch, missing))


class RecentItems:
    """The last items of a channel, kept for retransmission.

    At most ``MAX_RECENT_ITEMS``, and ``MAX_RECENT_OCTETS`` of data.
    """

    def __init__(self) -> None:
        self._items: OrderedDict[ItemPosition, Item] = OrderedDict()
        self._octets = 0

    def add(self, item: Item) -> None:
        """Add an item and drop the oldest beyond the bounds."""
        self._items[item.epoch, item.sequence] = item
        self._octets += len(item.data)
        while len(self._items) > MAX_RECENT_ITEMS or self._octets > MAX_RECENT_OCTETS:
            _, oldest = self._items.popitem(last=False)
            self._octets -= len(oldest.data)

    def between(self, epoch: int, first: int, last: int, max_items: int = 32) -> list[Item]:
        """The kept items of a range, in order; at most ``max_items``, the first ones."""
        sequences = range(first, min(last, first + MAX_RECENT_ITEMS) + 1)
        found = [item for sequence in sequences if (item := self._items.get((epoch, sequence))) is not None]
        return found[:max_items]

    def newer_than(self, position: ItemPosition, max_items: int = 32) -> list[Item]:
        """The kept items after a position, in order; at most ``max_items``."""
        return [self._items[key] for key in sorted(key for key in self._items if key > position)[:max_items]]


class ListenerQueue:
    """Items for one listener, at most ``max_items``.

    Beyond that the oldest are dropped, and the listener gets a gap with their number.
    """

    def __init__(self, max_items: int) -> None:
        self._max_items, self._items = max_items, deque[Delivered | Gap]()
        self.lost = 0  # items dropped since the start

    def put(self, one: Delivered | Gap) -> None:
        """Append an item or gap."""
        self._items.append(one)
        while len(self._items) > max(2, self._max_items):
            self._merge_oldest()

    def _merge_oldest(self) -> None:
        """Merge the two oldest entries into one gap."""
        first, second = self._items.popleft(), self._items.popleft()
        counts = [one.missing if isinstance(one, Gap) else 1 for one in (first, second)]
        self.lost += sum(isinstance(one, Delivered) for one in (first, second))
        unknown = None in counts
        self._items.appendleft(Gap(second.channel, second.epoch, None if unknown else sum(c or 0 for c in counts)))

    def take(self) -> Delivered | Gap | None:
        """Remove and return the oldest entry; None if the queue is empty."""
        return self._items.popleft() if self._items else None

    def __len__(self) -> int:
        return len(self._items)
