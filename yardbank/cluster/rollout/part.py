"""One gateway's whole part in a rollout: what is asked, heard and judged, and what follows for this gateway. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from yardbank.cluster.lease import Leases
from yardbank.cluster.peers.parts import KeyValueStore, MembershipView, Message
from yardbank.cluster.rollout.announcer import SLOW, Announcer
from yardbank.cluster.rollout.document import Change, Word
from yardbank.cluster.rollout.local_state import Activate, Commit, Options, RollBack, Transition
from yardbank.cluster.rollout.phase import ASKING, AWAY, DUE, FELL, MOVED, NEW, OLD
from yardbank.cluster.rollout.progress import Progress
from yardbank.cluster.rollout.record import MAX_WHY, GatewayRecord
from yardbank.cluster.rollout.record_log import RecordLog, passed_on_often
from yardbank.cluster.rollout.stage_plan import Order
from yardbank.cluster.rollout.state_machine import RolloutStateMachine
from yardbank.cluster.rollout.view import rollout_view

SECOND = 1_000_000_000


class RolloutPart:
    """See ``peers.parts.Part``. Calls of the shell: ``asked``, ``word``, ``up``, ``failed``, ``orders``, ``turns``."""

    topic = "rollout"
    rate: tuple[int, int] | None = None

    def __init__(
        self, membership_view: MembershipView, leases: Leases, random: Random, keep: KeyValueStore, options: Options
    ) -> None:
        self._membership_view, self._options = membership_view, options
        self._book = RecordLog(membership_view.name, random)
        self._mover = RolloutStateMachine(leases, keep, options)
        self._order: Order | None = None
        self._progress: Progress | None = None
        self._next: tuple[Change | None, str] | None = None  # asked for, once this gateway is back
        self._asked: tuple[Change | None, str] | None = None
        self._word = Word((), ())
        self._recall = ""
        self._held = ""
        self._teller = Announcer(membership_view, self._book, options)
        self._out: list[Message] = []
        self._tick_at = 0
        self._begun = False

    # What is asked

    def asked(self, now: int, change: Change | None, name: str = "") -> None:
        """What the file asks for; ``name``: a short hash of that version. None: nothing."""
        self._asked = change, name
        self._resolve(now)

    def word(self, now: int, word: Word) -> None:
        """The operator's word on rollouts, as it stands now."""
        self._word = word
        self._resolve(now)

    def _resolve(self, now: int) -> None:
        mover = self._mover
        current = mover.change
        change, name = self._asked or (current, mover.name)  # until the file is read, what is remembered
        if change is not None and change.id in self._word.withdraw:
            change = None
        if change is not None and current is not None and change.mark() == current.mark():
            self._next, mover.name = None, name or mover.name
            if not mover.stopped(current.id):
                self._recall = ""
        elif current is None or mover.place in (OLD, DUE, FELL) or mover.finished:
            if change is not None or current is not None:
                self._adopt(now, change, name)
        else:
            self._next = change, name
            self._recall = "withdrawn" if change is None else "replaced"
        for rollout in self._word.stop:
            mover.stop(now, rollout, "operator")
        self._tick_at = min(self._tick_at, now)

    def _adopt(self, now: int, change: Change | None, name: str) -> None:
        mover = self._mover
        if change is None and not mover.finished:
            mover.say("withdrawn")
        mover.adopt(now, change, name)
        self._recall, self._next, self._held = "", None, ""
        if change is not None:
            before = mover.stopped(change.id)
            mover.say("asked", f"it was stopped: {before}" if before else "")
        self._lay_out(now, fresh=not any(said.mark and said.place in MOVED for said in self._book.all().values()))

    def _lay_out(self, now: int, fresh: bool = False) -> None:
        change = self._mover.change
        if change is None:
            self._order = self._progress = None
            return
        self._order = Order(change.id, self._membership_view.zones(), change.stages)
        if self._progress is None or self._progress.change.mark() != change.mark():
            self._progress = Progress(now, change, self._order, fresh)
            self._progress.finished = self._mover.finished
        else:
            self._progress.relisted(now, self._order)

    # The link

    def listed(self, now: int) -> None:
        """The list has changed."""
        self._book.listed(self._membership_view.zones())
        self._lay_out(now)
        if not self._begun:
            self._begun, self._tick_at = True, now
            self._mover.begun(now)

    def receive(self, now: int, sender: str, boot_epoch: int, body: bytes) -> None:
        """A letter of a peer. Raises ``DroppedError``."""
        for said in self._book.take(sender, body):
            if said.stop:
                self._tick_at = min(self._tick_at, now)

    def next_at(self) -> int | None:
        """Each second while there is something to do."""
        busy = self._mover.change is not None or self._teller.told.mark
        return self._tick_at if self._begun and busy else None

    def outgoing_messages(self) -> list[Message]:
        """Taken off."""
        found, self._out = self._out, []
        return found

    def orders(self) -> list[Activate | RollBack | Commit]:
        """What the shell has to do; taken off."""
        found, self._mover.orders = self._mover.orders, []
        return found

    def turns(self) -> list[Transition]:
        """What happened, for the log; taken off."""
        found, self._mover.turns = self._mover.turns, []
        return found

    def up(self, now: int) -> None:
        """The change was made without a start anew."""
        self._mover.up(now)
        self._tick_at = min(self._tick_at, now)

    def not_in_service(self, now: int) -> None:
        """The change cannot be made in service, and the order did not allow a start anew."""
        self._mover.not_in_service(now)

    def failed(self, now: int, why: str) -> None:
        """The change could not be made."""
        self._mover.failed(now, why[:MAX_WHY])
        self._tick_at = min(self._tick_at, now)

    # Time

    def tick(self, now: int) -> None:
        """Figures at each beat, what is judged, what follows, what is told."""
        if not self._begun or now < self._tick_at:
            return
        self._tick_at = now + SECOND
        change, mover = self._mover.change, self._mover
        if change is not None and self._order is not None and self._progress is not None:
            # One that has just gone over may not know yet how far the others are: its own stage is under way at least
            own = self._order.stage_of(self._membership_view.name) if mover.place in MOVED else 0
            beat = self._teller.enter(now, self._order, max(own, self._progress.open))
            told = {n: said for n, said in self._book.all().items() if said.mark == change.mark()}
            alive = self._membership_view.alive() | {self._membership_view.name}
            self._judge(now, change, self._progress, told, alive)
            mover.stage = self._progress.open
            place = mover.place
            stage = self._order.stage_of(self._membership_view.name)
            turn = not self._recall and not self._held and 0 < stage <= mover.stage
            mover.step(now, turn, self._recall, self._ahead(self._order, told, alive))
            if mover.place not in (place, DUE) and place != DUE:
                self._teller.forget()  # figures from before are not of where it is now
            if self._next is not None and mover.place in (OLD, FELL):
                self._adopt(now, *self._next)
            self._out += self._teller.tell(mover, beat)
        elif self._teller.told.mark:
            self._out += self._teller.tell(mover, False)
        if self._teller.told.mark:
            often = passed_on_often(len(self._membership_view.zones()))
            self._out += self._book.passed_on(now, self._membership_view.alive(), often)

    def _judge(
        self, now: int, change: Change, progress: Progress, told: Mapping[str, GatewayRecord], alive: frozenset[str]
    ) -> None:
        mover = self._mover
        progress.step(now, told, alive, self._book.past)
        if not mover.stopped(change.id) and not mover.finished:
            says = sorted(name for name, said in told.items() if said.stop and name != self._membership_view.name)
            why = progress.worse(told)
            if not why and len(says) >= 2:
                why = f"{', '.join(says[:2])}: {told[says[0]].stop.rpartition(': ')[2]}"
            if why:
                mover.stop(now, change.id, why[:MAX_WHY])
        for what, stage, why in progress.events:
            mover.stage = stage
            if what == "finished":
                if mover.place == NEW and not mover.stopped(change.id):
                    mover.finish(now)
                else:
                    progress.finished = False
            elif not mover.stopped(change.id):
                mover.say(what, why)
        progress.events.clear()
        if (stopped := mover.stopped(change.id)) and not mover.finished:
            self._recall = self._recall or f"stopped: {stopped}"[:MAX_WHY]
        held = self._reason(progress, told, alive)
        if held != self._held and held and not self._recall and not mover.finished:
            mover.say("held", held)
        self._held = held

    def _reason(self, progress: Progress, told: Mapping[str, GatewayRecord], alive: frozenset[str]) -> str:
        """Why nobody should go over now, as far as this gateway can see; empty: nothing is in the way."""
        for name, said in sorted(self._book.all().items()):
            if said.stop and said.mark == progress.change.mark() and name != self._membership_view.name:
                return f"{name} says stop: {said.stop}"
            if (
                name in alive
                and said.mark
                and said.mark != progress.change.mark()
                and name != self._membership_view.name
            ):
                return f"{name} is on another rollout, {said.rollout}"
        if self._membership_view.slowness() >= SLOW:
            return "slow itself"
        if progress.undecided:
            return "undecided"
        return progress.lacking(told, alive)

    def _ahead(self, order: Order, told: Mapping[str, GatewayRecord], alive: frozenset[str]) -> int:
        """Its place in the order, where few ask for a permit before it; below 0: so many that it need not yet."""
        own, limit = (
            order.place(self._membership_view.name),
            2 * (self._mover.change.most_at_once if self._mover.change else 1),
        )
        asking = [n for n, said in told.items() if n in alive and (said.place in ASKING or said.place in AWAY)]
        ahead = sum(order.place(name) < own for name in asking if name != self._membership_view.name)
        return own if ahead < limit else -1

    def changed(self) -> frozenset[str]:
        """Gateways that have gone over in the rollout under way, as they say themselves; empty: none is."""
        change = self._mover.change
        if change is None or self._mover.finished:
            return frozenset()
        told = self._book.all().items()
        return frozenset(name for name, said in told if said.mark == change.mark() and said.place in MOVED)

    def view(self, now: int) -> dict[str, Any]:
        """What an operator should see."""
        if self._progress is None:
            return {"rollout": None}
        found = rollout_view(self._mover, self._progress, self._book)
        own = {"beat": self._teller.beat, "not_told": list(self._teller.left_out)}
        return {**found, **own, "held": self._held, "recalled": self._recall}
