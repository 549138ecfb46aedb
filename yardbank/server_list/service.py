"""Maintains one gateway's server list from watched files and the durable state.

Executes the decisions of ``ServerListLifecycle`` (which list is in force) and of ``state.recovery`` (what to restore).
"""

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

PLANNING_BURST = 50 * MS  # planning may run this long at once before its CPU budget throttles it
MIN_VIEW_INTERVAL_SECONDS = 0.05  # between two recomputations of the view of a plan
SNAPSHOT_WRITE_INTERVAL = 200 * MS  # bounds disk writes when the list changes many times in quick succession


class ServerListService:
    """Owns the server list of one gateway from start to stop."""

    def __init__(
        self,
        config: Config,
        gateway: Gateway,
        reactor: Any,
        folder: Path,
        worker: int,
        log: Any,
        wall: Callable[[], float] = time,
        apply_classes: Callable[[Config], None] = lambda config: None,
        workers: int = 1,
    ) -> None:
        assert config.membership is not None
        block = config.membership
        self._gateway, self._log, self._wall = gateway, log, wall
        self._config, self._apply_classes = config, apply_classes
        self._fleet_position = build.fleet_position(config, worker, workers)
        self._warming = Warming(config.gateway.cold / 1e9, config.gateway.cold_share)
        self._plan_model: Problem | None = None
        self._own: MadePlan | None = None  # computed by this gateway
        if block.model:
            path = folder / block.model
            try:
                self._plan_model = read_problem(path.read_text(), str(path))
            except (OSError, UnicodeDecodeError, PlanError) as error:  # not fatal: a gateway can serve without a plan
                self._log.error("model_rejected", fault=str(error))
        self._runner = Runner(Queue(Budget(block.planning, PLANNING_BURST)), reactor, gateway.now, log)
        self._uses_view = False  # the applied servers come from a plan or a subset instead of the plain list
        self._plan_note = ""
        self._view_timer: Any = None
        self._classes: tuple[Class, ...] = ()  # classes of the list that were applied last
        self.membership = ServerListLifecycle(
            build.fleet_groups(config), block.settle, block.patience, self._settings_faults
        )
        self.watcher = Watcher(
            folder / block.path,
            self.membership,
            self._execute,
            reactor=reactor,
            now=gateway.now,
            log=log,
            every=block.poll / 1e9,
        )
        self._reactor, self._write_rate = reactor, WriteRate(SNAPSHOT_WRITE_INTERVAL)
        self._write_timer: Any = None
        self._store: Store | None = None
        self._generation = 0
        if config.state is not None:
            self._restore(folder / config.state.path / f"worker-{worker}")

    def start(self) -> None:
        """Start watching the files."""
        self.watcher.start()

    def reconfigure(self, config: Config) -> None:
        """Apply reloaded settings. Classes defined in the list still override those of the settings."""
        self._config = config
        self._apply_classes(self._with_classes(self.membership.current) if self.membership.current else config)

    def look(self) -> None:
        """Read the files now."""
        self.watcher.look()

    def stop(self, clean: bool) -> None:
        """Stop watching. ``clean``: every request was answered, so a final snapshot is written and marked as clean."""
        self.watcher.stop()
        self._runner.stop()
        if self._view_timer is not None and self._view_timer.active():
            self._view_timer.cancel()
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
        if clean:
            self._write(clean=True)
        if self._store is not None:
            self._store.close()
            self._store = None

    def _restore(self, path: Path) -> None:
        snapshot, fault, stored_generation = None, "", 0
        try:
            self._store = Store(path)
        except StoreError as error:  # disk full, read-only or locked by another process: serve without the store
            fault = str(error.strerror)  # handled like the state after a crash
        else:
            snapshot = self._store.read()
            fault, stored_generation = self._store.fault, self._store.apart
            if snapshot is None and not fault and self._store.had_owner:
                fault = "the snapshot is missing although a gateway has run here"
        restart = judge(snapshot, self._wall(), fault, stored_generation)
        self._generation = next_generation(snapshot, stored_generation)
        if self._store is not None:
            try:
                self._store.begin(self._generation)
            except StoreError as error:  # an older snapshot that is restored later could not be told from the latest
                restart.notes.append(f"cannot store the generation number of this run: {error.strerror}")
        for note in restart.notes:
            self._log.warning("state", note=note)
        self._log.info("restarted", fresh=restart.fresh, floor_now=restart.floor_now, list=restart.use_list)
        self._gateway.restarted(restart.floor_now, restart.floors)
        if snapshot is not None and restart.use_list:
            document = ServerListDocument(tuple(_to_server_spec(s) for s in snapshot.servers), snapshot.digest)
            if action := self.membership.restore(document, snapshot.version):
                self._execute(action)  # also rewrites the snapshot, so it is no longer marked as clean
        elif self._store is not None:
            self._write(clean=False)
        self._write_rate = WriteRate(SNAPSHOT_WRITE_INTERVAL)  # write the first list of this run without delay

    def _execute(self, action: Action) -> None:
        match action:
            case Apply(version, document, change, delta):
                if self._plan_model is not None:
                    self._runner.add("replan", 1, self._replan(self._plan_model, document, version))
                if self._uses_view or document.plans or self._fleet_position.most:
                    self._apply_view(document, version)
                elif delta is not None:
                    self._gateway.apply_changes({name: now for name, (_, now) in delta.items()}, version)
                else:
                    self._gateway.apply_list(document.servers, version)
                if document.classes != self._classes:
                    self._classes = document.classes
                    self._apply_classes(self._with_classes(document))
                self._log.info("list_version", version=version, digest=document.digest, change=change.lines()[:10])
                self._write_rate.changed()
                self._schedule_snapshot()
            case Reject(digest, faults):
                for fault in faults[:20]:
                    self._log.error("list_rejected", digest=digest, fault=fault)
            case HoldBack(digest, reason):
                self._log.error("list_held_back", digest=digest, reason=reason, force="yardbank list apply")

    def _apply_view(self, document: ServerListDocument, version: int) -> None:
        """Apply the list with the weights of the plan and the subset for this gateway's position in the fleet.

        Schedules itself again for the time at which the result changes.
        """
        self._uses_view = True
        if self._view_timer is not None and self._view_timer.active():
            self._view_timer.cancel()
        plans = document.plans
        if self._own is not None and choose(plans, self._config.gateway.zone, document.servers)[0] is None:
            plans = (self._own,)
        routed = view(
            document.servers, plans, self._config.gateway.zone, self._wall(), self._fleet_position, self._warming
        )
        if routed.note != self._plan_note:
            self._plan_note = routed.note
            self._log.info("plan", note=routed.note, version=version)
        self._gateway.apply_list(routed.servers, version)
        if routed.next_at is not None:
            delay = max(MIN_VIEW_INTERVAL_SECONDS, routed.next_at - self._wall())
            self._view_timer = self._reactor.callLater(delay, self._apply_view, document, version)

    def _replan(self, model: Problem, document: ServerListDocument, version: int) -> Iterator[object]:
        """Compute a plan in the background. Work for a newer list replaces this."""
        block, wall = self._config.membership, self._wall()
        assert block is not None
        cold_seconds, cold_share, zone = self._warming.cold, self._warming.share, self._config.gateway.zone
        result = yield from replan(model, document.servers, zone, wall, cold_seconds, cold_share, block.fade / 1e9)
        self._log.info("replanned", note=result.note, version=version)
        if self.membership.current is document:
            self._own = result.plan
            self._apply_view(document, version)

    def _with_classes(self, document: ServerListDocument) -> Config:
        return self._config.model_copy(update={"classes": document.classes}) if document.classes else self._config

    def _settings_faults(self, document: ServerListDocument) -> list[str]:
        """Faults of a list that depend on the settings.

        A list may change only what its classes match. Their names, times and other properties are fixed in the router
        and must equal those of the settings.
        """
        config = self._with_classes(document)
        if build.request_classes(config) != build.request_classes(self._config):
            return ["the list's classes: only their match blocks can change in service"]
        return [f"the list: {reason}" for _, reason in cross_faults(config)]

    def _schedule_snapshot(self) -> None:
        """Write a snapshot now, or as soon as the write rate allows it."""
        due = self._write_rate.due(self._gateway.now())
        if due == 0:
            self._write(clean=False)
        elif due is not None and self._write_timer is None:
            self._write_timer = self._reactor.callLater(due / 1e9, self._on_write_timer)

    def _on_write_timer(self) -> None:
        self._write_timer = None
        self._schedule_snapshot()

    def _write(self, clean: bool) -> None:
        self._write_rate.written(self._gateway.now())
        if self._store is None:
            return
        group_positions, server_positions = self._gateway.remember()
        current = self.membership.current
        servers = current.servers if current else ()
        snapshot = Snapshot(
            written=self._wall(),
            version=self.membership.number,
            digest=current.digest if current else "",
            clean=clean,
            servers=[_to_server_state(spec, server_positions.get(spec.name, {})) for spec in servers],
            generation=self._generation,
            groups=[
                GroupState(name, {k: list(v) for k, v in positions.items()})
                for name, positions in group_positions.items()
            ],
        )
        try:
            self._store.write(snapshot)
        except (StoreError, ValueError) as error:
            self._log.error("state_not_written", fault=str(error))
            self._store.forget()  # the outdated snapshot on disk must not be taken for the latest


def _to_server_spec(s: ServerState) -> ServerSpec:
    return ServerSpec(s.name, s.group, s.zone, s.host, s.port, s.primary, s.state, s.started, s.weight)


def _to_server_state(s: ServerSpec, positions: dict[str, Any]) -> ServerState:
    marks = {origin: list(mark) for origin, mark in positions.items()}
    return ServerState(s.name, s.group, s.zone, s.host, s.port, s.primary, s.state, s.started, s.weight, marks)
