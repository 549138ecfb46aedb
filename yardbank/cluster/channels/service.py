"""Channels for the embedding program: own, publish, follow. ``ChannelPart`` decides, this module calls back and logs.

    proxy.channels.follow("notices-7", on_item, on_gap)
    proxy.channels.own("notices-7", on_owned, on_ended)
    ...
    why = proxy.channels.publish("notices-7", b"...")  # "" on success

``on_item`` may return a Deferred: the next item waits for it. Up to ``most_queued`` items are kept for a slow listener;
beyond that the oldest are dropped, and the listener gets a gap with their number.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from yardbank.cluster.channels.api import SECOND, Delivered, Event, Gap, Owned
from yardbank.cluster.channels.items import ListenerQueue
from yardbank.cluster.channels.part import ChannelPart

OnItem = Callable[[Delivered], Any]
OnGap = Callable[[Gap], Any]
OnOwnershipChange = Callable[[str, int], Any]  # channel, epoch
TRANSFER_CHECK_SECONDS = 0.02  # interval between checks whether all channels are transferred
MAX_LISTENERS = 64  # per channel


@dataclass(slots=True)
class _Listener:
    on_item: OnItem
    on_gap: OnGap | None
    queue: ListenerQueue
    latest: bool
    busy: bool = False
    closed: bool = False


@dataclass(slots=True)
class _Owner:
    on_owned: OnOwnershipChange | None
    on_ended: OnOwnershipChange | None


@dataclass(slots=True)
class _Channel:
    listeners: list[_Listener] = field(default_factory=list)
    owner: _Owner | None = None


class Channels:
    """One gateway's channels.

    ``now`` returns ns of the link's clock; ``prompt`` makes the link send pending messages.
    """

    def __init__(
        self, part: ChannelPart, *, reactor: Any, now: Callable[[], int], prompt: Callable[[], None], log: Any
    ) -> None:
        self.part = part
        self._reactor, self._now, self._prompt, self._log = reactor, now, prompt, log
        self._channels: dict[str, _Channel] = {}
        self._delivery: Any = None
        self._stopped = False
        part.on_events = self._schedule_delivery

    def own(
        self, name: str, on_owned: OnOwnershipChange | None = None, on_ended: OnOwnershipChange | None = None
    ) -> None:
        """Own a channel whenever it is this gateway's turn; callbacks tell when that starts and ends.

        Raises ``ValueError`` for a bad name, beyond the bound, or if the channel was requested before.
        """
        channel = self._channels.get(name)
        if channel is not None and channel.owner is not None:
            raise ValueError(f"channel {name!r}: ownership was already requested by this program")
        self.part.own(self._now(), name)
        self._channels.setdefault(name, _Channel()).owner = _Owner(on_owned, on_ended)
        self._prompt()

    def disown(self, name: str) -> None:
        """Stop owning a channel."""
        channel = self._channels.get(name)
        if channel is not None and channel.owner is not None:
            self.part.disown(self._now(), name)
            self._prompt()
            self._deliver_events()  # calls ``on_ended`` before this returns
            channel.owner = None

    def publish(self, name: str, data: bytes) -> str:
        """Publish an item; returns "" on success, otherwise the reason: not the owner, full, too long."""
        why = self.part.publish(self._now(), name, data)
        if not why:
            self._prompt()
            self._schedule_delivery()
        return why

    def follow(
        self, name: str, on_item: OnItem, on_gap: OnGap | None = None, latest: bool = False
    ) -> Callable[[], None]:
        """Receive a channel's items in order, and its gaps; the returned function ends this.

        ``latest``: only items newer than the last one count, and missing ones are not awaited. Raises ``ValueError``.
        """
        channel = self._channels.get(name, _Channel())
        if len(channel.listeners) >= MAX_LISTENERS:
            raise ValueError(f"channel {name!r}: the limit of {MAX_LISTENERS} listeners is reached")
        latest = latest and all(one.latest for one in channel.listeners)
        self.part.follow(self._now(), name, latest)
        listener = _Listener(on_item, on_gap, ListenerQueue(self.part.options.most_queued), latest)
        channel.listeners.append(listener)
        self._channels[name] = channel
        self._prompt()

        def end() -> None:
            if not listener.closed:
                listener.closed = True
                channel.listeners.remove(listener)
                if not channel.listeners:
                    self.part.unfollow(self._now(), name)

        return end

    def stopping(self, timeout: int = 2 * SECOND) -> Deferred[None]:
        """Transfer all channels to other gateways; fires when finished, at the latest after ``timeout`` ns."""
        done: Deferred[None] = Deferred()
        end = self._now() + timeout
        self.part.stopping(self._now())
        self._prompt()

        def check() -> None:
            remaining = self.part.held_channels()
            if remaining and self._now() < end:
                self._reactor.callLater(TRANSFER_CHECK_SECONDS, check)
                return
            if remaining:
                self._log.warning("channels_transfer_incomplete", channels=remaining)
            self._deliver_events()
            done.callback(None)

        check()
        return done

    def stop(self) -> None:
        """Make no more callbacks."""
        self._stopped = True
        if self._delivery is not None and self._delivery.active():
            self._delivery.cancel()

    def view(self) -> dict[str, Any]:
        """Queue lengths and dropped items of listeners."""
        return {
            name: {
                "waiting": [len(one.queue) for one in channel.listeners],
                "lost": sum(one.queue.lost for one in channel.listeners),
            }
            for name, channel in self._channels.items()
        }

    # Callbacks

    def _schedule_delivery(self) -> None:
        if not self._stopped and (self._delivery is None or not self._delivery.active()):
            self._delivery = self._reactor.callLater(0, self._deliver_events)

    def _deliver_events(self) -> None:
        if self._stopped:
            return
        for event in self.part.events():
            self._dispatch(event)

    def _dispatch(self, event: Event) -> None:
        channel = self._channels.get(event.channel)
        if channel is None:
            return
        if isinstance(event, Delivered | Gap):
            if isinstance(event, Gap):
                self._log.info("channel", name=event.channel, what="gap", epoch=event.epoch, missing=event.missing)
            for listener in list(channel.listeners):
                listener.queue.put(event)
                self._deliver(event.channel, listener)
            return
        what, why = ("owned", {}) if isinstance(event, Owned) else ("ended", {"why": event.why})
        self._log.info("channel", name=event.channel, what=what, epoch=event.epoch, **why)
        if channel.owner is not None:
            call = channel.owner.on_owned if isinstance(event, Owned) else channel.owner.on_ended
            if call is not None:
                self._call(event.channel, call, event.channel, event.epoch)

    def _deliver(self, name: str, listener: _Listener) -> None:
        """Pass queued items to a listener until it returns a Deferred or the queue is empty."""
        while not listener.busy and not listener.closed and (one := listener.queue.take()) is not None:
            if isinstance(one, Gap):
                if listener.on_gap is not None:
                    self._call(name, listener.on_gap, one)
                continue
            result = self._call(name, listener.on_item, one)
            if isinstance(result, Deferred):
                listener.busy = True
                result.addErrback(
                    lambda failure: self._log.error("listener_error", channel=name, error=repr(failure.value))
                )
                result.addCallback(lambda _: self._resume(name, listener))

    def _failed(self, name: str, problem: BaseException) -> None:
        self._log.error("listener_error", channel=name, error=repr(problem))

    def _resume(self, name: str, listener: _Listener) -> None:
        listener.busy = False
        self._reactor.callLater(0, self._deliver, name, listener)

    def _call(self, name: str, what: Callable[..., Any], *arguments: Any) -> Any:
        try:
            return what(*arguments)
        except Exception as problem:  # noqa: BLE001  # one listener's error must not affect the others
            self._log.error("listener_error", channel=name, error=repr(problem), exc_info=True)
            return None
