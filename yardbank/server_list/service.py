"""Keeps one gateway's list by its watched files and its durable state: carries out what both deciders say."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from time import time
from typing import Any

from yardbank.config import Config, build
from yardbank.config.load import cross_faults
from yardbank.config.schema import Class
from yardbank.gateway.api import MS, ServerSpec
from yardbank.gateway.gateway import Gateway
from yardbank.plan.active_plan import MadePlan, Warming, choose, view
from yardbank.plan.document import PlanError, read_problem
from yardbank.plan.model import Problem
from yardbank.plan.replan import replan
from yardbank.scheduler import Budget, Queue, Runner
from yardbank.server_list.document import ServerListDocument
from yardbank.server_list.lifecycle import Action, Apply, HoldBack, Reject, ServerListLifecycle
from yardbank.server_list.watcher import Watcher
from yardbank.state.recovery import WriteRate, judge, next_generation
from yardbank.state.snapshot import GroupState, ServerState, Snapshot
from yardbank.state.store import Store, StoreError

PLAN_BURST = 50 * MS  # of work, before planning waits for its share
LEAST_VIEW = 0.05  # seconds between two looks at what a plan has become
WRITE_EVERY = 200 * MS  # snapshots: lists that change in a storm are not all worth a disk write


class ServerListService:
    """The list of one gateway, from start to stop."""

    def __init__(
        self,
        config: Config,
        gateway: Gateway,
        reactor: Any,
        folder: Path,
        worker: int,
        log: Any,
        wall: Callable[[], float] = time,
        take_classes: Callable[[Config], None] = lambda config: None,
        workers: int = 1,
    ) -> None:
        assert config.membership is not None
        block = config.membership
        self._gateway, self._log, self._wall = gateway, log, wall
        self._config, self._take_classes = config, take_classes
        self._place = build.place(config, worker, workers)
        self._warming = Warming(config.gateway.cold / 1e9, config.gateway.cold_share)
        self._model: Problem | None = None
        self._own: MadePlan | None = None  # worked out here
        if block.model:
            path = folder / block.model
            try:
                self._model = read_problem(path.read_text(), str(path))
            except (OSError, UnicodeDecodeError, PlanError) as problem:  # a gateway serves without a plan
                self._log.error("model_rejected", fault=str(problem))
        self._runner = Runner(Queue(Budget(block.planning, PLAN_BURST)), reactor, gateway.now, log)
        self._viewed = False  # by a plan or a bound of servers, not the list as it stands
        self._note = ""
        self._next_view: Any = None
        self._classes: tuple[Class, ...] = ()  # the list's own, as taken last
        self.membership = ServerListLifecycle(build.fleet_groups(config), block.settle, block.patience, self._faults_of)
        self.watcher = Watcher(
            folder / block.path,
            self.membership,
            self._act,
            reactor=reactor,
            now=gateway.now,
            log=log,
            every=block.poll / 1e9,
        )
        self._reactor, self._rate = reactor, WriteRate(WRITE_EVERY)
        self._later: Any = None
        self._store: Store | None = None
        self._generation = 0
        if config.state is not None:
            self._restore(folder / config.state.path / f"worker-{worker}")

    def start(self) -> None:
        """Watch."""
        self.watcher.start()

    def reconfigure(self, config: Config) -> None:
        """Settings were read again: what the list itself says of classes still comes before them."""
        self._config = config
        self._take_classes(self._with_classes(self.membership.current) if self.membership.current else config)

    def look(self) -> None:
        """Look at the files now."""
        self.watcher.look()

    def stop(self, clean: bool) -> None:
        """Watch no longer; ``clean``: every request was answered, and what is written now is the last word."""
        self.watcher.stop()
        self._runner.stop()
        if self._next_view is not None and self._next_view.active():
            self._next_view.cancel()
        if self._later is not None:
            self._later.cancel()
            self._later = None
        if clean:
            self._write(clean=True)
        if self._store is not None:
            self._store.close()
            self._store = None

    def _restore(self, path: Path) -> None:
        snapshot, fault, apart = None, "", 0
        try:
            self._store = Store(path)
        except StoreError as problem:  # full, read-only, or another's: serve without, as after a crash
            fault = str(problem.strerror)
        else:
            snapshot = self._store.read()
            fault, apart = self._store.fault, self._store.apart
            if snapshot is None and not fault and self._store.had_owner:
                fault = "no snapshot is there, though a gateway ran here"
        restart = judge(snapshot, self._wall(), fault, apart)
        self._generation = next_generation(snapshot, apart)
        if self._store is not None:
            try:
                self._store.begin(self._generation)
            except StoreError as problem:  # an older copy put back later would not be told from the last one
                restart.notes.append(f"the run's number is not kept: {problem.strerror}")
        for note in restart.notes:
            self._log.warning("state", note=note)
        self._log.info("restarted", fresh=restart.fresh, floor_now=restart.floor_now, list=restart.use_list)
        self._gateway.restarted(restart.floor_now, restart.floors)
        if snapshot is not None and restart.use_list:
            fleet = ServerListDocument(tuple(_spec(s) for s in snapshot.servers), snapshot.digest)
            if action := self.membership.restore(fleet, snapshot.version):
                self._act(action)  # also marks the state as in use: it is no longer the last word
        elif self._store is not None:
            self._write(clean=False)
        self._rate = WriteRate(WRITE_EVERY)  # the first list of this run is kept at once

    def _act(self, action: Action) -> None:
        match action:
            case Apply(number, fleet, change, delta):
                if self._model is not None:
                    self._runner.add("replan", 1, self._replan(self._model, fleet, number))
                if self._viewed or fleet.plans or self._place.most:
                    self._view(fleet, number)
                elif delta is not None:
                    self._gateway.apply_changes({name: now for name, (_, now) in delta.items()}, number)
                else:
                    self._gateway.apply_list(fleet.servers, number)
                if fleet.classes != self._classes:
                    self._classes = fleet.classes
                    self._take_classes(self._with_classes(fleet))
                self._log.info("list_version", version=number, digest=fleet.digest, change=change.lines()[:10])
                self._rate.changed()
                self._keep()
            case Reject(digest, faults):
                for fault in faults[:20]:
                    self._log.error("list_rejected", digest=digest, fault=fault)
            case HoldBack(digest, reason):
                self._log.error("list_held_back", digest=digest, reason=reason, force="yardbank list apply")

    def _view(self, fleet: ServerListDocument, number: int) -> None:
        """Route by the list as the plan and this gateway's place among all make it; look again when that changes."""
        self._viewed = True
        if self._next_view is not None and self._next_view.active():
            self._next_view.cancel()
        plans = fleet.plans
        if self._own is not None and choose(plans, self._config.gateway.zone, fleet.servers)[0] is None:
            plans = (self._own,)
        found = view(fleet.servers, plans, self._config.gateway.zone, self._wall(), self._place, self._warming)
        if found.note != self._note:
            self._note = found.note
            self._log.info("plan", note=found.note, version=number)
        self._gateway.apply_list(found.servers, number)
        if found.next_at is not None:
            wait = max(LEAST_VIEW, found.next_at - self._wall())
            self._next_view = self._reactor.callLater(wait, self._view, fleet, number)

    def _replan(self, model: Problem, fleet: ServerListDocument, number: int) -> Iterator[object]:
        """Work out a plan in the background; a newer list's work takes the place of this."""
        block, wall = self._config.membership, self._wall()
        assert block is not None
        cold, share, zone = self._warming.cold, self._warming.share, self._config.gateway.zone
        made = yield from replan(model, fleet.servers, zone, wall, cold, share, block.fade / 1e9)
        self._log.info("replanned", note=made.note, version=number)
        if self.membership.current is fleet:
            self._own = made.plan
            self._view(fleet, number)

    def _with_classes(self, fleet: ServerListDocument) -> Config:
        return self._config.model_copy(update={"classes": fleet.classes}) if fleet.classes else self._config

    def _faults_of(self, fleet: ServerListDocument) -> list[str]:
        """Classes of a list may match otherwise than the settings', not be others: times are the module's."""
        config = self._with_classes(fleet)
        if build.request_classes(config) != build.request_classes(self._config):
            return ["the list's classes: only what they match can change in service"]
        return [f"the list: {reason}" for _, reason in cross_faults(config)]

    def _keep(self) -> None:
        """Write a snapshot now, or as soon as one may be written again."""
        due = self._rate.due(self._gateway.now())
        if due == 0:
            self._write(clean=False)
        elif due is not None and self._later is None:
            self._later = self._reactor.callLater(due / 1e9, self._keep_later)

    def _keep_later(self) -> None:
        self._later = None
        self._keep()

    def _write(self, clean: bool) -> None:
        self._rate.written(self._gateway.now())
        if self._store is None:
            return
        heads, told = self._gateway.remember()
        current = self.membership.current
        servers = current.servers if current else ()
        snapshot = Snapshot(
            written=self._wall(),
            version=self.membership.number,
            digest=current.digest if current else "",
            clean=clean,
            servers=[_state(spec, told.get(spec.name, {})) for spec in servers],
            generation=self._generation,
            groups=[GroupState(name, {k: list(v) for k, v in marks.items()}) for name, marks in heads.items()],
        )
        try:
            self._store.write(snapshot)
        except (StoreError, ValueError) as problem:
            self._log.error("state_not_written", fault=str(problem))
            self._store.forget()  # what stands there must not pass for the last word


def _spec(s: ServerState) -> ServerSpec:
    return ServerSpec(s.name, s.group, s.zone, s.host, s.port, s.primary, s.state, s.started, s.weight)


def _state(s: ServerSpec, marks: dict[str, Any]) -> ServerState:
    kept = {origin: list(mark) for origin, mark in marks.items()}
    return ServerState(s.name, s.group, s.zone, s.host, s.port, s.primary, s.state, s.started, s.weight, kept)
