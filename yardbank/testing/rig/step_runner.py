"""The steps of a scenario carried out: faults of network, gateways, servers and lists. ``schedule`` says when."""

from __future__ import annotations

from random import Random
from typing import Any

from yardbank.testing.rig.network import Effect, only, pairs_of
from yardbank.testing.rig.roster import DOWN, ENDING
from yardbank.testing.rig.running_fleet import Running
from yardbank.testing.rig.scenario import GATEWAY, NETWORK, ROLLOUT, Step, matching
from yardbank.testing.rig.schedule import Due


def effect_of(step: Step) -> Effect:
    """What a step does to the pairs that it names."""
    if step.do == "cut":
        return Effect(cut=step.how)
    if step.do == "delay":
        return Effect(delay=step.by / 1e9, jitter=step.jitter / 1e9)
    if step.do == "throttle":
        return Effect(rate=step.rate)
    return only(Effect(), **{step.do: step.share})


class Acting(Running):
    """Running processes, and steps that befall them."""

    def _do(self, dues: list[Due]) -> None:
        for due in dues:
            self.record({"kind": "step", "name": due.step.name, "phase": "begin" if due.begin else "end"})
            at = self.reactor.seconds() - self._began
            self.say(f"{at:6.2f} s  {due.step.name}{'' if due.begin else ': over'}")
            if due.step.do in NETWORK:
                self._network_step(due)
            elif due.step.do in GATEWAY:
                self._gateway_step(due)
            elif due.step.do in ROLLOUT:
                for name in self._meant(due.step.who or ("*",), list(self.places)):
                    self.places[name].ask(due.step)
            elif due.step.do in ("tell", "hold"):
                self._list_step(due)
            elif due.step.do == "publish":
                self.published.change(due.step.who)
            elif due.step.do == "leave":
                self._leave_step(due.step)
            else:
                self._server_step(due)
        self._wind()

    def _wind(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        at = self.schedule.next_at()
        if at is not None and not self._over:
            wait = max(0.0, at - self.reactor.seconds())
            self._timer = self.reactor.callLater(wait, lambda: self._do(self.schedule.due(self.reactor.seconds())))

    def _meant(self, words: tuple[str, ...], names: list[str]) -> list[str]:
        """Whom a step's words mean now."""
        now = self.known.names(words)
        return [name for name in names if name in now or name in self.scenario.meant(words, names)]

    def _network_step(self, due: Due) -> None:
        step, ends = due.step, self.scenario.ends()
        if due.begin:
            pairs = pairs_of(self._meant(step.from_, ends), self._meant(step.to, ends), step.oneway)
            self._changed(self.network.begin(step.name, pairs, effect_of(step)))
        else:
            self._changed(self.network.end(step.name))

    def _gateway_step(self, due: Due) -> None:
        step = due.step
        if due.begin:
            self._who[step.name] = self._meant(step.who, list(self.places))
        for name in self._who.get(step.name, ()):
            word = step.do if due.begin else "resume" if step.do == "pause" else "start"
            if word == "start":
                self._again(name, step)
            elif self._roster.may(name, word):
                self.processes.signal(name, word)
                if step.do != "pause":
                    self.processes.ended(name).addCallback(self._gone, name)

    def _gone(self, _: Any, name: str) -> None:
        self._refresh(lambda pair: name in pair)

    def _again(self, name: str, step: Step) -> None:
        """Start a gateway once its last process is gone; unless another step, whose end came first, has started it."""
        if self._roster.member(name).state not in (DOWN, ENDING):
            return

        def start(_: Any) -> Any:
            if self._over or not self._roster.may(name, "start"):
                return None
            self.places[name].spoil_store(step.store)
            return self._start_gateway(name)

        done = self.processes.ended(name).addCallback(start)
        done.addErrback(self._broken)
        self._restarts.append(done)

    def _list_step(self, due: Due) -> None:
        step = due.step
        if step.do == "hold":
            for gateway in matching(step.who, list(self.places)):
                self._held[gateway] = self._held.get(gateway, 0) + (1 if due.begin else -1)
                self.record({"kind": "discovery", "gateway": gateway, "reached": not self._held[gateway]})
                self._tell(gateway)
            return
        for gateway in matching(step.gateways, list(self.places)):
            for server in matching(step.who, list(self.listed[gateway])):
                state = step.state if due.begin else "ready"
                self.listed[gateway][server].state = state
                self.record({"kind": "listed", "gateway": gateway, "server": server, "state": state})
            self.reactor.callLater(step.late / 1e9, self._tell, gateway) if step.late else self._tell(gateway)

    def _leave_step(self, step: Step) -> None:
        if self.drive is None:
            return
        gateways, random = matching(step.gateways, list(self.places)), Random(f"{self.seed}/{step.name}")
        left = self.drive.depart(gateways, step.share, step.means, random)
        self.record({"kind": "departed", "step": step.name, "clients": left})

    def _server_step(self, due: Due) -> None:
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

    def _broken(self, failure: Any) -> None:
        self.failure = self.failure or failure.getErrorMessage()
