"""Channels for the embedding program: own, publish, follow. Thin: the part decides, this calls and logs.

    proxy.channels.follow("notices-7", on_item, on_gap)
    proxy.channels.own("notices-7", on_owned, on_ended)
    ...
    why = proxy.channels.publish("notices-7", b"...")  # "" if it went out

``on_item`` may return a Deferred: the next item waits for it. A listener that is slow keeps ``most_queued`` items; of
more the oldest are lost, and it is told how many as a gap.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from yardbank.cluster.channels.api import SECOND, Delivered, Event, Gap, Owned
from yardbank.cluster.channels.items import Queue
from yardbank.cluster.channels.part import ChannelPart

OnItem = Callable[[Delivered], Any]
OnGap = Callable[[Gap], Any]
OnTurn = Callable[[str, int], Any]  # channel, epoch
LOOK = 0.02  # seconds between two looks whether all is handed on
MOST_LISTENERS = 64  # of one channel


@dataclass(slots=True)
class _Listener:
    on_item: OnItem
    on_gap: OnGap | None
    queue: Queue
    latest: bool
    busy: bool = False
    over: bool = False


@dataclass(slots=True)
class _Owner:
    on_owned: OnTurn | None
    on_ended: OnTurn | None


@dataclass(slots=True)
class _Channel:
    listeners: list[_Listener] = field(default_factory=list)
    owner: _Owner | None = None


class Channels:
    """One gateway's channels. ``now``: ns of the link's clock; ``prompt``: makes the link send what there is to say."""

    def __init__(
        self, part: ChannelPart, *, reactor: Any, now: Callable[[], int], prompt: Callable[[], None], log: Any
    ) -> None:
        self.part = part
        self._reactor, self._now, self._prompt, self._log = reactor, now, prompt, log
        self._channels: dict[str, _Channel] = {}
        self._draining: Any = None
        self._stopped = False
        part.on_events = self._wake

    def own(self, name: str, on_owned: OnTurn | None = None, on_ended: OnTurn | None = None) -> None:
        """Carry a channel whenever that is this gateway's turn; told when that begins and ends.

        Raises ``ValueError``: for a name that is none, beyond the bound, or already asked for.
        """
        channel = self._channels.get(name)
        if channel is not None and channel.owner is not None:
            raise ValueError(f"channel {name!r}: this gateway would own it already")
        self.part.own(self._now(), name)
        self._channels.setdefault(name, _Channel()).owner = _Owner(on_owned, on_ended)
        self._prompt()

    def disown(self, name: str) -> None:
        """Carry it no more."""
        channel = self._channels.get(name)
        if channel is not None and channel.owner is not None:
            self.part.disown(self._now(), name)
            self._prompt()
            self._drain()  # its end is told before this returns
            channel.owner = None

    def publish(self, name: str, data: bytes) -> str:
        """Give out an item; "" if that was done, else the reason: not the owner, full, too long."""
        why = self.part.publish(self._now(), name, data)
        if not why:
            self._prompt()
            self._wake()
        return why

    def follow(
        self, name: str, on_item: OnItem, on_gap: OnGap | None = None, latest: bool = False
    ) -> Callable[[], None]:
        """Hear a channel's items in order, and of those that are missing; the result ends it.

        ``latest``: only newer items than the last count, and nothing is waited for. Raises ``ValueError``.
        """
        channel = self._channels.get(name, _Channel())
        if len(channel.listeners) >= MOST_LISTENERS:
            raise ValueError(f"channel {name!r}: {MOST_LISTENERS} listeners, no more")
        latest = latest and all(one.latest for one in channel.listeners)
        self.part.follow(self._now(), name, latest)
        listener = _Listener(on_item, on_gap, Queue(self.part.options.most_queued), latest)
        channel.listeners.append(listener)
        self._channels[name] = channel
        self._prompt()

        def end() -> None:
            if not listener.over:
                listener.over = True
                channel.listeners.remove(listener)
                if not channel.listeners:
                    self.part.unfollow(self._now(), name)

        return end

    def stopping(self, patience: int = 2 * SECOND) -> Deferred[None]:
        """Hand all on to others; fires once that is done, at the latest after ``patience`` ns."""
        done: Deferred[None] = Deferred()
        end = self._now() + patience
        self.part.stopping(self._now())
        self._prompt()

        def look() -> None:
            left = self.part.held_channels()
            if left and self._now() < end:
                self._reactor.callLater(LOOK, look)
                return
            if left:
                self._log.warning("channels_transfer_incomplete", channels=left)
            self._drain()
            done.callback(None)

        look()
        return done

    def stop(self) -> None:
        """No more is told to anybody."""
        self._stopped = True
        if self._draining is not None and self._draining.active():
            self._draining.cancel()

    def view(self) -> dict[str, Any]:
        """Listeners and what waits for them."""
        return {
            name: {
                "waiting": [len(one.queue) for one in channel.listeners],
                "lost": sum(one.queue.lost for one in channel.listeners),
            }
            for name, channel in self._channels.items()
        }

    # Telling

    def _wake(self) -> None:
        if not self._stopped and (self._draining is None or not self._draining.active()):
            self._draining = self._reactor.callLater(0, self._drain)

    def _drain(self) -> None:
        if self._stopped:
            return
        for event in self.part.events():
            self._tell(event)

    def _tell(self, event: Event) -> None:
        channel = self._channels.get(event.channel)
        if channel is None:
            return
        if isinstance(event, Delivered | Gap):
            if isinstance(event, Gap):
                self._log.info("channel", name=event.channel, what="gap", epoch=event.epoch, missing=event.missing)
            for listener in list(channel.listeners):
                listener.queue.put(event)
                self._serve(event.channel, listener)
            return
        what, why = ("owned", {}) if isinstance(event, Owned) else ("ended", {"why": event.why})
        self._log.info("channel", name=event.channel, what=what, epoch=event.epoch, **why)
        if channel.owner is not None:
            call = channel.owner.on_owned if isinstance(event, Owned) else channel.owner.on_ended
            if call is not None:
                self._call(event.channel, call, event.channel, event.epoch)

    def _serve(self, name: str, listener: _Listener) -> None:
        """Hand a listener what waits for it, until it asks for time or nothing is left."""
        while not listener.busy and not listener.over and (one := listener.queue.take()) is not None:
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
                result.addCallback(lambda _: self._free(name, listener))

    def _failed(self, name: str, problem: BaseException) -> None:
        self._log.error("listener_error", channel=name, error=repr(problem))

    def _free(self, name: str, listener: _Listener) -> None:
        listener.busy = False
        self._reactor.callLater(0, self._serve, name, listener)

    def _call(self, name: str, what: Callable[..., Any], *arguments: Any) -> Any:
        try:
            return what(*arguments)
        except Exception as problem:  # noqa: BLE001  # one listener's error is not the others'
            self._log.error("listener_error", channel=name, error=repr(problem), exc_info=True)
            return None
