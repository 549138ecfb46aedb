"""Which requests are let through when servers cannot answer all in time: by priority weight, then by a draw.

Times are integer nanoseconds.
"""

from collections.abc import Collection
from math import exp

from yardbank import interface as api
from yardbank.policy.requests import PendingRequest
from yardbank.policy.servers import FULL_LATENCY_RATIO, SECOND, USUAL_LATENCY_RATIO, ServerTable

MEMORY = 5 * SECOND  # for how long attempts and pressure count
GROWTH = 1.5  # at most so many times what was answered in time lately is let through: room to grow again
MIN_SHARE = 0.25  # of the admitted share that each class keeps, else none may be left to try
DEMAND_DECAY = 0.98  # a request's weight in its class's share of the demand, at the next request
LATENCY_WEIGHT = 0.02  # of one answer in its class's usual latency


class Admission:
    """What is let through, and in which order classes come.

    Owns: attempts wanted and answered in time lately, each class's share of the demand, each class's usual latency,
    the ranking of classes. Written by the router only.
    Bound: a few numbers a class.
    Invariants: a request's place among others depends on its class, its lateness and its own draw alone, so that
    asking twice gives one answer; usual latencies and demand are above 0.
    """

    def __init__(self, settings: api.Settings, table: ServerTable, sweep_interval: int) -> None:
        self._classes = settings.classes
        self._table = table
        self._sweep_interval = sweep_interval
        self.usual_latency = {
            request_class.name: request_class.latency_objective * USUAL_LATENCY_RATIO
            for request_class in settings.classes
        }
        self.demand = {request_class.name: 1e-9 for request_class in settings.classes}
        self.recent_attempts = 0.0  # wanted of any server lately
        self.recent_successes = 0.0  # of these, answered in time
        self.counted_at = 0
        self.pressed_at = -MEMORY  # when a server last was full or took no connection
        self.ranking = self._ranked()

    def record_request(self, class_name: str) -> None:
        """A request of a class has come."""
        self.demand = {name: DEMAND_DECAY * demand + (name == class_name) for name, demand in self.demand.items()}

    def record_latency(self, class_name: str, latency: int) -> None:
        """An answer of a class has come, or has been waited for so long."""
        self.usual_latency[class_name] += LATENCY_WEIGHT * (latency - self.usual_latency[class_name])

    def record_attempt(self, now: int, in_time: bool) -> None:
        """An attempt was wanted; remember for a while whether it was answered in time."""
        fade = exp((self.counted_at - now) / MEMORY)
        self.recent_attempts = self.recent_attempts * fade + 1
        self.recent_successes = self.recent_successes * fade + in_time
        self.counted_at = now

    def record_pressure(self, now: int) -> None:
        """A server was full or took no connection."""
        self.pressed_at = now

    def admitted_share(self) -> float:
        """The share of the demand that is let through; 1 and more: all."""
        return (GROWTH * self.recent_successes + 1) / max(self.recent_attempts, 1.0)

    def admits(self, now: int, pending: PendingRequest) -> bool:
        """Whether a request is let through: where servers answer late or "full", the least weight is shed first."""
        share = self.admitted_share()
        if self.place(pending, self.demand) <= share or pending.admission_draw < share * MIN_SHARE:
            return True
        if not self._table.probes_before_sending and self._is_under_pressure(now):
            self.record_attempt(now, in_time=False)  # without pressure shedding would feed itself
        return False

    def _is_under_pressure(self, now: int) -> bool:
        slowest_zone = max(self._table.zone_latency_ratios.values(), default=0.0)
        return slowest_zone > FULL_LATENCY_RATIO or now - self.pressed_at < MEMORY

    def place(self, pending: PendingRequest, rivals: Collection[str]) -> float:
        """Where a request stands among those of some classes, by weight and by its draw: 0 first, 1 last."""
        class_name = pending.request_class.name
        ahead = 0.0
        for name, late in self.ranking:
            if late:
                continue
            if name == class_name:
                break
            if name in rivals:
                ahead += self.demand[name]
        total = sum(self.demand[name] for name in rivals)
        return (ahead + pending.admission_draw * self.demand[class_name]) / total

    def is_hopeless(self, now: int, pending: PendingRequest) -> bool:
        """Whether it can no longer be answered while that is of use: its work would only delay others."""
        request_class = pending.request_class
        useful_until = pending.request.expires
        if not request_class.late_weight:
            useful_until = min(useful_until, pending.arrived + request_class.latency_objective)
        usual = self.usual_latency[request_class.name]
        if self._table.probes_before_sending:  # else after an outage none would ever be tried
            usual = min(usual, request_class.latency_objective / 2)
        else:
            usual = min(usual, useful_until)
        return now + max(usual, 2 * self._sweep_interval) > useful_until

    def is_late(self, now: int, pending: PendingRequest) -> bool:
        """Whether an answer at the class's usual latency would miss the latency objective."""
        request_class = pending.request_class
        objective_at = pending.arrived + request_class.latency_objective
        return now + self.usual_latency[request_class.name] > objective_at

    def refresh_ranking(self) -> None:
        """Rank classes by their usual latencies as they are now."""
        self.ranking = self._ranked()

    def _ranked(self) -> list[tuple[str, bool]]:
        """Classes, in time and late, by weight for their work: late work must not make more late."""
        weights: dict[tuple[str, bool], float] = {}
        for request_class in self._classes:
            usual = self.usual_latency[request_class.name]
            weights[request_class.name, False] = request_class.priority_weight / usual
            weights[request_class.name, True] = request_class.priority_weight * request_class.late_weight / usual
        return sorted(weights, key=lambda key: -weights[key])
