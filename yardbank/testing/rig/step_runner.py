"""Carries out the steps of a scenario: faults of network, gateways, servers and lists. ``schedule`` gives the times."""

from __future__ import annotations

from random import Random
from typing import Any

from yardbank.testing.rig.network import Effect, pairs_of, with_changes
from yardbank.testing.rig.roster import DOWN, ENDING
from yardbank.testing.rig.running_fleet import RunningFleet
from yardbank.testing.rig.scenario import GATEWAY, NETWORK, ROLLOUT, Step, matching
from yardbank.testing.rig.schedule import DueAction


def effect_of(step: Step) -> Effect:
    """The network effect of a step."""
    if step.do == "cut":
        return Effect(cut=step.how)
    if step.do == "delay":
        return Effect(delay=step.by / 1e9, jitter=step.jitter / 1e9)
    if step.do == "throttle":
        return Effect(rate=step.rate)
    return with_changes(Effect(), **{step.do: step.share})


class StepRunner(RunningFleet):
    """A running fleet with the steps that act on it."""

    def _run_actions(self, actions: list[DueAction]) -> None:
        for due in actions:
            self.record({"kind": "step", "name": due.step.name, "phase": "begin" if due.begin else "end"})
            at = self.reactor.seconds() - self._load_began
            self.say(f"{at:6.2f} s  {due.step.name}{'' if due.begin else ': over'}")
            if due.step.do in NETWORK:
                self._network_step(due)
            elif due.step.do in GATEWAY:
                self._gateway_step(due)
            elif due.step.do in ROLLOUT:
                for name in self._resolve(due.step.who or ("*",), list(self.places)):
                    self.places[name].write_rollout_order(due.step)
            elif due.step.do in ("tell", "hold"):
                self._list_step(due)
            elif due.step.do == "publish":
                self.published.change(due.step.who)
            elif due.step.do == "leave":
                self._leave_step(due.step)
            else:
                self._server_step(due)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        at = self.schedule.next_at()
        if at is not None and not self._closing:
            wait = max(0.0, at - self.reactor.seconds())
            self._timer = self.reactor.callLater(
                wait, lambda: self._run_actions(self.schedule.due(self.reactor.seconds()))
            )

    def _resolve(self, words: tuple[str, ...], names: list[str]) -> list[str]:
        """Resolves the names in a step to endpoints."""
        now = self.observations.resolve(words)
        return [name for name in names if name in now or name in self.scenario.matching_ends(words, names)]

    def _network_step(self, due: DueAction) -> None:
        step, ends = due.step, self.scenario.ends()
        if due.begin:
            pairs = pairs_of(self._resolve(step.from_, ends), self._resolve(step.to, ends), step.oneway)
            self._links_changed(self.network.begin(step.name, pairs, effect_of(step)))
        else:
            self._links_changed(self.network.end(step.name))

    def _gateway_step(self, due: DueAction) -> None:
        step = due.step
        if due.begin:
            self._resolved_targets[step.name] = self._resolve(step.who, list(self.places))
        for name in self._resolved_targets.get(step.name, ()):
            word = step.do if due.begin else "resume" if step.do == "pause" else "start"
            if word == "start":
                self._restart(name, step)
            elif self._process_table.can(name, word):
                self.processes.signal(name, word)
                if step.do != "pause":
                    self.processes.ended(name).addCallback(self._refresh_links, name)

    def _refresh_links(self, _: Any, name: str) -> None:
        self._refresh(lambda pair: name in pair)

    def _restart(self, name: str, step: Step) -> None:
        """Restarts a gateway after its last process has exited, unless another step has done so."""
        if self._process_table.member(name).state not in (DOWN, ENDING):
            return

        def start(_: Any) -> Any:
            if self._closing or not self._process_table.can(name, "start"):
                return None
            self.places[name].prepare_store(step.store)
            return self._start_gateway(name)

        done = self.processes.ended(name).addCallback(start)
        done.addErrback(self._restart_failed)
        self._restarts.append(done)

    def _list_step(self, due: DueAction) -> None:
        step = due.step
        if step.do == "hold":
            for gateway in matching(step.who, list(self.places)):
                self._held_lists[gateway] = self._held_lists.get(gateway, 0) + (1 if due.begin else -1)
                self.record({"kind": "discovery", "gateway": gateway, "reached": not self._held_lists[gateway]})
                self._write_list(gateway)
            return
        for gateway in matching(step.gateways, list(self.places)):
            for server in matching(step.who, list(self.listed[gateway])):
                state = step.state if due.begin else "ready"
                self.listed[gateway][server].state = state
                self.record({"kind": "listed", "gateway": gateway, "server": server, "state": state})
            self.reactor.callLater(step.late / 1e9, self._write_list, gateway) if step.late else self._write_list(
                gateway
            )

    def _leave_step(self, step: Step) -> None:
        if self.drive is None:
            return
        gateways, random = matching(step.gateways, list(self.places)), Random(f"{self.seed}/{step.name}")
        left = self.drive.depart(gateways, step.share, step.means, random)
        self.record({"kind": "departed", "step": step.name, "clients": left})

    def _server_step(self, due: DueAction) -> None:
        step, servers = due.step, self.scenario.servers()
        orders: dict[str, tuple[dict[str, Any], dict[str, Any]]] = {
            "crash": ({"do": "crash"}, {"do": "restart"}),
            "hang": ({"do": "hang"}, {"do": "unhang"}),
            "full": ({"do": "full", "on": True}, {"do": "full", "on": False}),
            "refuse": ({"do": "refuse", "on": True}, {"do": "refuse", "on": False}),
            "slow": ({"do": "slow", "factor": step.factor}, {"do": "slow", "factor": 1.0}),
            "lag": ({"do": "lag", "factor": step.factor}, {"do": "lag", "factor": 1.0}),
            "hand_over": ({"do": "hand_over"}, {}),
            "lose_answers": ({"do": "lose_answers", "count": step.count}, {"do": "lose_answers", "count": 0}),
        }
        order = orders[step.do][0 if due.begin else 1]
        for server in matching(step.who, list(servers)):
            self.processes.tell(servers[server].name, {"server": server, **order})

    def _restart_failed(self, failure: Any) -> None:
        self.failure = self.failure or failure.getErrorMessage()
