"""One scenario played: processes started, the load driven, faults begun and ended, all of it recorded.

It carries out what ``schedule`` says and judges nothing: ``verdict`` reads the record afterwards.
"""

from __future__ import annotations

import os
import time
from collections.abc import Generator
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks

from yardbank.testing.rig.claim import TERMS
from yardbank.testing.rig.load import draw
from yardbank.testing.rig.load_driver import Drive
from yardbank.testing.rig.processes import GuardianLostError, ProgramMissingError
from yardbank.testing.rig.roster import DOWN, ENDING, PAUSED, READY, STARTING, sees_rightly
from yardbank.testing.rig.scenario import CLIENTS, NETWORK
from yardbank.testing.rig.step_runner import Acting

START_TIMEOUT = 90.0  # seconds for all processes of a kind
LOOK, LATE = 0.02, 0.01  # seconds between two looks at the rig's own lateness, and from which it counts
STOP_TIMEOUT = 60.0  # a process that watches files takes seconds to go where cores are busy: the kernel's part


class PlayError(Exception):
    """The scenario could not be played to its end; says why."""


class Play(Acting):
    """A scenario in one folder."""

    def _lost(self) -> None:
        """The guardian is gone, and all processes with it."""
        self.failure = self.failure or "the guardian ended: nothing of this play can be judged"
        if self.drive is not None:
            self.drive.stop()
        if self._settled is not None and not self._settled.called:
            self._settled.callback(None)

    def _note_costs(self) -> None:
        """What each gateway has used, and what went from one to another, as the load and its faults are over."""
        for name in self.places:
            member = self._roster.member(name)
            cpu = cpu_seconds(member.pid) if member.state == READY else None
            if cpu is not None:
                self.record({"kind": "cpu", "name": name, "seconds": cpu})
        for one in self._datagrams:
            self.record(
                {"kind": "datagrams", "from": one.source, "to": one.target, "passed": one.passed, "octets": one.octets}
            )

    # The whole

    @inlineCallbacks
    def run(self) -> Generator[Deferred[Any], Any, None]:
        """Play to the end; fires when every process is gone. Raises ``PlayError``."""
        try:
            yield self._up()
            yield self._through()
        finally:
            yield self._down()
        if self.failure:
            raise PlayError(self.failure)

    @inlineCallbacks
    def _up(self) -> Generator[Deferred[Any], Any, None]:
        self.say(f"{len(self.places)} gateways, {len(self.scenario.servers())} servers, seed {self.seed}")
        yield self._all([self._start_group(group) for group in self.scenario.group])
        self._lay()
        self._refresh(lambda pair: True)
        try:
            yield self._all([self._start_gateway(name) for name in self.places])
        except ProgramMissingError as problem:
            raise PlayError(str(problem)) from None

    def _all(self, waiting: list[Deferred[Any]]) -> Deferred[Any]:
        done = DeferredList(waiting, fireOnOneErrback=True, consumeErrors=True)
        done.addTimeout(START_TIMEOUT, self.reactor)
        done.addErrback(self._not_up)
        return done

    def _not_up(self, failure: Any) -> None:
        first = getattr(failure.value, "subFailure", failure)
        text = str(first.value) if first.check(GuardianLostError) else f"not all were ready within {START_TIMEOUT:g} s"
        raise PlayError(f"{text}; logs are in {self.folder}")

    @inlineCallbacks
    def _through(self) -> Generator[Deferred[Any], Any, None]:
        arrivals = draw(self.scenario.load, self.scenario.group, self.seed)
        ports = {name: self._relays[CLIENTS, name].port for name in self.places}
        self.drive = Drive(self.reactor, self.scenario.load, arrivals, ports, self.record, self.seed)
        for place in self.places.values():
            place.keep_copy()
        self._began = self.reactor.seconds()
        self.record({"kind": "load_begun", "arrivals": len(arrivals)})
        done = self.drive.play()
        self._do(self.schedule.begin(self._began))
        self._happened(self.known.standing())
        self._look_late(self._began)
        self._look_quiet(0.0)
        yield done
        self.record({"kind": "load_over"})
        if not self.failure and any(claim.kind == "views" for claim in self.scenario.claim):
            yield self._wait_settled()

    def _wait_settled(self) -> Deferred[None]:
        """Fires when all gateways that run see each other rightly, or after a while."""
        self._settled = Deferred()
        most = self.scenario.fleet.settle / 1e9
        self._settled.addTimeout(most, self.reactor, onTimeoutCancel=lambda result, timeout: None)
        self._look_settled()
        return self._settled

    def _look_settled(self) -> None:
        running = {name for name in self.places if self._roster.member(name).state == READY}
        right = sees_rightly(self._believed, running, self.places)
        if right and self._settled is not None and not self._settled.called:
            self._settled.callback(None)

    def _look_late(self, due: float) -> None:
        """Whether the rig itself is late: what crosses its relays is noted so much later then."""
        now = self.reactor.seconds()
        if now - due > LATE:
            self.record({"kind": "rig_late", "by": now - due})
        judged = self.scenario.fleet.channels or any(claim.kind in TERMS for claim in self.scenario.claim)
        if judged and not self._over:
            self.reactor.callLater(LOOK, self._look_late, now + LOOK)

    def _look_quiet(self, since: float) -> None:
        """A load without a fixed length ends once all has been quiet for a while; ``since``: it is; 0: it is not."""
        now, load = self.reactor.seconds(), self.scenario.load
        if self._over or self.drive is None or not load.longest:
            return
        since = (since or now) if now - self._began >= load.length / 1e9 and self._quiet() else 0.0
        if since and now - since >= load.rest / 1e9:
            self.drive.enough()
        else:
            self.reactor.callLater(0.1, self._look_quiet, since)

    def _quiet(self) -> bool:
        """Whether nothing is under way: no step, no start, no rollout."""
        states = {name: self._roster.member(name).state for name in self.places}
        asked = {step.name for step in self.scenario.step if step.do == "rollout"}
        running = [name for name in self.places if states[name] == READY and name not in self.scenario.older()]
        through = not asked or self.known.settled(running)
        return self.schedule.quiet() and through and not {STARTING, ENDING, PAUSED} & set(states.values())

    @inlineCallbacks
    def _down(self) -> Generator[Deferred[Any], Any, None]:
        """End the steps, then the gateways, then the groups, then the network between them."""
        self._over = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._end_network_steps()
        if self._restarts:
            yield DeferredList(self._restarts)
        self._resume_paused()
        self._note_costs()
        yield self._stop_gateways()
        if self.drive is not None:
            self.drive.close()
        self._kill_groups()
        yield self.processes.close()
        self._close_network()
        self._close_record()

    def _end_network_steps(self) -> None:
        for step in self.schedule.holding():
            if step.do in NETWORK:
                self._changed(self.network.end(step.name))

    def _resume_paused(self) -> None:
        for name in self.places:
            if self._roster.may(name, "resume"):
                self.processes.signal(name, "resume")

    @inlineCallbacks
    def _stop_gateways(self) -> Generator[Deferred[Any], Any, None]:
        """Terminate all gateways and wait until they are gone; one that stays makes the play a failure."""
        stopping = [name for name in self.places if self._roster.may(name, "terminate")]
        for name in stopping:
            self.processes.signal(name, "terminate")
        gone = DeferredList([self.processes.ended(name) for name in self.places], consumeErrors=True)
        gone.addTimeout(STOP_TIMEOUT, self.reactor)
        yield gone
        left = [name for name in self.places if self._roster.member(name).state != DOWN]
        if left:
            text = f"{', '.join(left)}: not gone {STOP_TIMEOUT:g} s after being told to stop"
            self.failure = self.failure or text

    def _kill_groups(self) -> None:
        for group in self.scenario.group:
            if self._roster.may(group.name, "kill"):
                self.processes.signal(group.name, "kill")

    def _close_network(self) -> None:
        for relay in self._relays.values():
            relay.close()
        for datagrams in self._datagrams:
            datagrams.close()

    def _close_record(self) -> None:
        """Take up what the groups recorded, and end the record."""
        for group in self.scenario.group:
            self.record.add_file(self.folder / f"{group.name}.jsonl")
        self.record.close()


def cpu_seconds(pid: int) -> float | None:
    """Processor time that a process and its children have used; None where /proc does not tell."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
        own = sum(map(int, fields[11:15])) / os.sysconf("SC_CLK_TCK")
        return own + sum(cpu_seconds(int(child)) or 0.0 for child in children)
    except (OSError, ValueError, IndexError):
        return None


def steady_reactor() -> Any:
    """The reactor, its timers on the machine's steady time."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    return reactor
