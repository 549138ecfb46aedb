"""Runs one scenario: starts processes, drives the load, begins and ends faults, and records everything.

Claims are not checked here: ``verdict`` reads the record afterwards.
"""

from __future__ import annotations

import os
import time
from collections.abc import Generator
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks

from yardbank.testing.rig.claim import TIMED_CLAIMS
from yardbank.testing.rig.load import draw_arrivals
from yardbank.testing.rig.load_driver import LoadDriver
from yardbank.testing.rig.processes import GuardianLostError, ProgramMissingError
from yardbank.testing.rig.roster import DOWN, ENDING, PAUSED, READY, STARTING, views_are_correct
from yardbank.testing.rig.scenario import CLIENTS, NETWORK
from yardbank.testing.rig.step_runner import StepRunner

START_TIMEOUT_S = 90.0  # seconds until all servers, or all gateways, are ready
DELAY_CHECK_S, MIN_DELAY_S = 0.02, 0.01  # interval of checks for delays of the rig, and the least delay recorded
STOP_TIMEOUT_S = 60.0  # seconds; on busy cores the kernel takes seconds to end a process that watches files


class PlayError(Exception):
    """The scenario could not be run to its end."""


class Play(StepRunner):
    """One run of a scenario, with its files in one folder."""

    def _guardian_lost(self) -> None:
        """Handles the loss of the guardian and all processes: the run fails."""
        self.failure = self.failure or "the guardian ended: this run cannot be judged"
        if self.drive is not None:
            self.drive.stop()
        if self._views_settled is not None and not self._views_settled.called:
            self._views_settled.callback(None)

    def _record_costs(self) -> None:
        """Records processor times of gateways and datagram counts after the load."""
        for name in self.places:
            member = self._process_table.member(name)
            cpu = cpu_seconds(member.pid) if member.state == READY else None
            if cpu is not None:
                self.record({"kind": "cpu", "name": name, "seconds": cpu})
        for one in self._datagrams:
            self.record(
                {"kind": "datagrams", "from": one.source, "to": one.target, "passed": one.passed, "octets": one.octets}
            )

    # Phases of a run

    @inlineCallbacks
    def run(self) -> Generator[Deferred[Any], Any, None]:
        """Runs to the end; fires when all processes have exited. Raises ``PlayError``."""
        try:
            yield self._start_all()
            yield self._run_load()
        finally:
            yield self._stop_all()
        if self.failure:
            raise PlayError(self.failure)

    @inlineCallbacks
    def _start_all(self) -> Generator[Deferred[Any], Any, None]:
        self.say(f"{len(self.places)} gateways, {len(self.scenario.servers())} servers, seed {self.seed}")
        yield self._wait_all([self._start_group(group) for group in self.scenario.group])
        self._create_relays()
        self._refresh(lambda pair: True)
        try:
            yield self._wait_all([self._start_gateway(name) for name in self.places])
        except ProgramMissingError as problem:
            raise PlayError(str(problem)) from None

    def _wait_all(self, waiting: list[Deferred[Any]]) -> Deferred[Any]:
        done = DeferredList(waiting, fireOnOneErrback=True, consumeErrors=True)
        done.addTimeout(START_TIMEOUT_S, self.reactor)
        done.addErrback(self._start_failed)
        return done

    def _start_failed(self, failure: Any) -> None:
        first = getattr(failure.value, "subFailure", failure)
        text = (
            str(first.value) if first.check(GuardianLostError) else f"not all were ready within {START_TIMEOUT_S:g} s"
        )
        raise PlayError(f"{text}; logs are in {self.folder}")

    @inlineCallbacks
    def _run_load(self) -> Generator[Deferred[Any], Any, None]:
        arrivals = draw_arrivals(self.scenario.load, self.scenario.group, self.seed)
        ports = {name: self._relays[CLIENTS, name].port for name in self.places}
        self.drive = LoadDriver(self.reactor, self.scenario.load, arrivals, ports, self.record, self.seed)
        for place in self.places.values():
            place.copy_store()
        self._load_began = self.reactor.seconds()
        self.record({"kind": "load_begun", "arrivals": len(arrivals)})
        done = self.drive.start()
        self._run_actions(self.schedule.begin(self._load_began))
        self._events_occurred(self.observations.current_events())
        self._check_rig_delay(self._load_began)
        self._check_idle(0.0)
        yield done
        self.record({"kind": "load_over"})
        if not self.failure and any(claim.kind == "views" for claim in self.scenario.claim):
            yield self._wait_for_views()

    def _wait_for_views(self) -> Deferred[None]:
        """Fires when all running gateways report each other correctly, or after the fleet's ``settle`` time."""
        self._views_settled = Deferred()
        most = self.scenario.fleet.settle / 1e9
        self._views_settled.addTimeout(most, self.reactor, onTimeoutCancel=lambda result, timeout: None)
        self._check_views()
        return self._views_settled

    def _check_views(self) -> None:
        running = {name for name in self.places if self._process_table.member(name).state == READY}
        correct = views_are_correct(self._reported_views, running, self.places)
        if correct and self._views_settled is not None and not self._views_settled.called:
            self._views_settled.callback(None)

    def _check_rig_delay(self, due: float) -> None:
        """Records delays of the rig itself, because facts of its relays are then recorded late by as much."""
        now = self.reactor.seconds()
        if now - due > MIN_DELAY_S:
            self.record({"kind": "rig_late", "by": now - due})
        delays_matter = self.scenario.fleet.channels or any(claim.kind in TIMED_CLAIMS for claim in self.scenario.claim)
        if delays_matter and not self._closing:
            self.reactor.callLater(DELAY_CHECK_S, self._check_rig_delay, now + DELAY_CHECK_S)

    def _check_idle(self, since: float) -> None:
        """Ends a load of variable length after a quiet period; ``since``: its beginning, or 0 while not quiet."""
        now, load = self.reactor.seconds(), self.scenario.load
        if self._closing or self.drive is None or not load.longest:
            return
        since = (since or now) if now - self._load_began >= load.length / 1e9 and self._is_idle() else 0.0
        if since and now - since >= load.rest / 1e9:
            self.drive.stop_arrivals()
        else:
            self.reactor.callLater(0.1, self._check_idle, since)

    def _is_idle(self) -> bool:
        """Whether no step, start or rollout is in progress."""
        states = {name: self._process_table.member(name).state for name in self.places}
        rollouts = {step.name for step in self.scenario.step if step.do == "rollout"}
        running = [name for name in self.places if states[name] == READY and name not in self.scenario.older()]
        complete = not rollouts or self.observations.rollout_complete(running)
        return self.schedule.is_idle() and complete and not {STARTING, ENDING, PAUSED} & set(states.values())

    @inlineCallbacks
    def _stop_all(self) -> Generator[Deferred[Any], Any, None]:
        """Ends network faults, gateways, server groups and relays, in this order."""
        self._closing = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._end_network_steps()
        if self._restarts:
            yield DeferredList(self._restarts)
        self._resume_paused()
        self._record_costs()
        yield self._stop_gateways()
        if self.drive is not None:
            self.drive.close()
        self._kill_groups()
        yield self.processes.close()
        self._close_network()
        self._close_record()

    def _end_network_steps(self) -> None:
        for step in self.schedule.active_steps():
            if step.do in NETWORK:
                self._links_changed(self.network.end(step.name))

    def _resume_paused(self) -> None:
        for name in self.places:
            if self._process_table.can(name, "resume"):
                self.processes.signal(name, "resume")

    @inlineCallbacks
    def _stop_gateways(self) -> Generator[Deferred[Any], Any, None]:
        """Terminates all gateways and waits for their exit; the run fails if one does not exit."""
        stopping = [name for name in self.places if self._process_table.can(name, "terminate")]
        for name in stopping:
            self.processes.signal(name, "terminate")
        gone = DeferredList([self.processes.ended(name) for name in self.places], consumeErrors=True)
        gone.addTimeout(STOP_TIMEOUT_S, self.reactor)
        yield gone
        left = [name for name in self.places if self._process_table.member(name).state != DOWN]
        if left:
            text = f"{', '.join(left)}: still running {STOP_TIMEOUT_S:g} s after SIGTERM"
            self.failure = self.failure or text

    def _kill_groups(self) -> None:
        for group in self.scenario.group:
            if self._process_table.can(group.name, "kill"):
                self.processes.signal(group.name, "kill")

    def _close_network(self) -> None:
        for relay in self._relays.values():
            relay.close()
        for datagrams in self._datagrams:
            datagrams.close()

    def _close_record(self) -> None:
        """Adds the facts that server groups recorded, and closes the record."""
        for group in self.scenario.group:
            self.record.add_file(self.folder / f"{group.name}.jsonl")
        self.record.close()


def cpu_seconds(pid: int) -> float | None:
    """The processor time of a process and its children, or None if /proc does not provide it."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
        own = sum(map(int, fields[11:15])) / os.sysconf("SC_CLK_TCK")
        return own + sum(cpu_seconds(int(child)) or 0.0 for child in children)
    except (OSError, ValueError, IndexError):
        return None


def steady_reactor() -> Any:
    """The reactor, with its timers on the monotonic clock."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    reactor.seconds = time.monotonic
    return reactor
