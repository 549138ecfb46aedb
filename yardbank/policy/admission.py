"""Admission control: which requests are let through when servers cannot answer all in time.

Requests are ranked by priority weight, then by a random draw. Times are integer nanoseconds.
"""

from collections.abc import Collection
from math import exp

from yardbank import interface as api
from yardbank.policy.requests import PendingRequest
from yardbank.policy.servers import FULL_LATENCY_RATIO, SECOND, USUAL_LATENCY_RATIO, ServerTable

HISTORY_WINDOW = 5 * SECOND  # decay time of the attempt counts, and how long a sign of overload counts
ADMISSION_HEADROOM = 1.5  # admitted demand as a multiple of recent successes at most: leaves room to grow again
MIN_CLASS_SHARE = 0.25  # part of the admitted share that each class keeps, so that every class still has attempts
DEMAND_DECAY = 0.98  # factor applied to the weight of earlier requests in the demand at each new request
LATENCY_WEIGHT = 0.02  # weight of one answer in the moving average of its class's latency


class Admission:
    """What is admitted, and the order of priority among classes.

    Owns: recent attempts and those answered in time, each class's share of the demand, each class's average latency,
    the ranking of classes. Written by the router only.
    Bound: a few numbers per class.
    Invariants: a request's rank among others depends on its class, its lateness and its own draw alone, so that
    repeated calls give the same answer; average latencies and demand are above 0.
    """

    def __init__(self, settings: api.Settings, table: ServerTable, sweep_interval: int) -> None:
        self._classes = settings.classes
        self._table = table
        self._sweep_interval = sweep_interval
        self.average_latency = {
            request_class.name: request_class.latency_objective * USUAL_LATENCY_RATIO
            for request_class in settings.classes
        }
        self.demand = {request_class.name: 1e-9 for request_class in settings.classes}
        self.recent_attempts = 0.0  # decayed count of attempts wanted at any server
        self.recent_successes = 0.0  # decayed count of those that were answered in time
        self.attempts_updated_at = 0
        self.overloaded_at = -HISTORY_WINDOW  # when a server last was full or refused a connection
        self.ranking = self._ranked()

    def record_request(self, class_name: str) -> None:
        """Record the arrival of a request of a class."""
        self.demand = {name: DEMAND_DECAY * demand + (name == class_name) for name, demand in self.demand.items()}

    def record_latency(self, class_name: str, latency: int) -> None:
        """Record the latency of an answer, or how long a missing answer was waited for."""
        self.average_latency[class_name] += LATENCY_WEIGHT * (latency - self.average_latency[class_name])

    def record_attempt(self, now: int, in_time: bool) -> None:
        """Record a wanted attempt and whether it was answered in time; the counts decay over ``HISTORY_WINDOW``."""
        decay = exp((self.attempts_updated_at - now) / HISTORY_WINDOW)
        self.recent_attempts = self.recent_attempts * decay + 1
        self.recent_successes = self.recent_successes * decay + in_time
        self.attempts_updated_at = now

    def record_overload(self, now: int) -> None:
        """Record that a server was full or refused a connection."""
        self.overloaded_at = now

    def admitted_share(self) -> float:
        """Return the share of the demand that is admitted; 1 or more means all."""
        return (ADMISSION_HEADROOM * self.recent_successes + 1) / max(self.recent_attempts, 1.0)

    def admits(self, now: int, pending: PendingRequest) -> bool:
        """Whether a request is admitted; where servers answer late or "full", the lowest weight is shed first."""
        share = self.admitted_share()
        if self.priority_quantile(pending, self.demand) <= share or pending.admission_draw < share * MIN_CLASS_SHARE:
            return True
        if not self._table.probes_before_sending and self._is_overloaded(now):
            self.record_attempt(now, in_time=False)  # without overload, shedding would cause more shedding
        return False

    def _is_overloaded(self, now: int) -> bool:
        slowest_zone = max(self._table.zone_latency_ratios.values(), default=0.0)
        return slowest_zone > FULL_LATENCY_RATIO or now - self.overloaded_at < HISTORY_WINDOW

    def priority_quantile(self, pending: PendingRequest, class_names: Collection[str]) -> float:
        """Return a request's rank in the demand of some classes, by weight, then by draw: 0 is first, 1 is last."""
        class_name = pending.request_class.name
        ahead = 0.0
        for name, late in self.ranking:
            if late:
                continue
            if name == class_name:
                break
            if name in class_names:
                ahead += self.demand[name]
        total = sum(self.demand[name] for name in class_names)
        return (ahead + pending.admission_draw * self.demand[class_name]) / total

    def cannot_finish_in_time(self, now: int, pending: PendingRequest) -> bool:
        """Whether no answer can come while it is still useful, so that the work would only delay other requests."""
        request_class = pending.request_class
        useful_until = pending.request.expires
        if not request_class.late_weight:
            useful_until = min(useful_until, pending.arrived + request_class.latency_objective)
        expected = self.average_latency[request_class.name]
        if self._table.probes_before_sending:  # otherwise no request would ever be tried again after an outage
            expected = min(expected, request_class.latency_objective / 2)
        else:
            expected = min(expected, useful_until)
        return now + max(expected, 2 * self._sweep_interval) > useful_until

    def is_late(self, now: int, pending: PendingRequest) -> bool:
        """Whether an answer at the class's average latency would miss the latency objective."""
        request_class = pending.request_class
        objective_at = pending.arrived + request_class.latency_objective
        return now + self.average_latency[request_class.name] > objective_at

    def refresh_ranking(self) -> None:
        """Rank classes by their current average latencies."""
        self.ranking = self._ranked()

    def _ranked(self) -> list[tuple[str, bool]]:
        """Return (class, late) pairs by weight per unit of work: late work must not make other work late."""
        weights: dict[tuple[str, bool], float] = {}
        for request_class in self._classes:
            average = self.average_latency[request_class.name]
            weights[request_class.name, False] = request_class.priority_weight / average
            weights[request_class.name, True] = request_class.priority_weight * request_class.late_weight / average
        return sorted(weights, key=lambda key: -weights[key])
