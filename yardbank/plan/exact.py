"""Feasibility in exact rationals: repairs the result of a linear program, or proves that none is possible. No I/O.

Reads flow from demands to servers: directly to those of their own zone, or through the spill of the zone to the others.
The flow is increased along augmenting paths (Ford-Fulkerson). It starts from the solver's floating-point result, so few
paths are needed. If no path is left and demand is unserved, the nodes that are still reachable give the limits that
prevent it.

Numbers have their decimal value: 0.1 is one tenth, not the nearest binary fraction.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from fractions import Fraction

from yardbank.plan.model import PlanServer, Problem

ZERO = Fraction(0)
ROUNDING_TOLERANCE = Fraction(1, 10**9)  # relative error from rounding a share to a floating-point number

Node = tuple[str, int | str]  # ("d", demand), ("i", zone) before its spill, ("o", zone) behind it, ("s", server)
Edge = tuple[Node, Node]


def exact_decimal(value: float) -> Fraction:
    """Return the exact value of a number's decimal notation."""
    return Fraction(repr(value)) if isinstance(value, float) else Fraction(value)


def usable_capacity(server: PlanServer) -> Fraction:
    """Return the exact capacity that a server has left for reads."""
    return max(ZERO, exact_decimal(server.capacity) * exact_decimal(server.warmth) - exact_decimal(server.taken))


@dataclass(slots=True)
class Cut:
    """The limits that keep demand unserved: indexes of demands and servers, and zones whose spill is used up."""

    demands: list[int] = field(default_factory=list)
    servers: list[int] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)


class Flow:
    """Flow of one group's reads from demands to servers. A limit of ``None`` means unlimited."""

    def __init__(
        self,
        demands: Sequence[str],
        servers: Sequence[str],
        rates: Sequence[Fraction],
        capacities: Sequence[Fraction | None],
        spill: Mapping[str, Fraction],
    ) -> None:
        """``demands`` and ``servers`` give their zones; ``rates``, ``capacities`` and ``spill`` limit the flow."""
        self.rates, self.capacities, self.spill = rates, capacities, spill
        self._demand_zone = list(demands)
        self._servers_in_zone: dict[str, list[int]] = {}
        for index, zone in enumerate(servers):
            self._servers_in_zone.setdefault(zone, []).append(index)
        self._server_zone = list(servers)
        self._demands_in_zone: dict[str, list[int]] = {}
        for index, zone in enumerate(self._demand_zone):
            self._demands_in_zone.setdefault(zone, []).append(index)
        self.local: list[dict[int, Fraction]] = [{} for _ in demands]  # by demand: rate by server of its own zone
        self.spilled = [ZERO] * len(demands)  # by demand: rate through the spill of its zone
        self.remote: dict[str, dict[int, Fraction]] = {zone: {} for zone in self._demands_in_zone}
        self.load = [ZERO] * len(servers)
        self.spill_used: dict[str, Fraction] = dict.fromkeys(self._demands_in_zone, ZERO)
        # By server: the demands of its own zone that it serves.
        self._local_demands: list[dict[int, None]] = [{} for _ in servers]

    def unserved(self, demand: int) -> Fraction:
        """Return the rate of a demand that is not served yet."""
        return self.rates[demand] - sum(self.local[demand].values(), ZERO) - self.spilled[demand]

    def start_from(self, initial: Iterable[tuple[int, int, Fraction]]) -> None:
        """Start from (demand, server, rate). Rates that exceed a limit together are scaled down in proportion."""
        rates = [(d, s, rate) for d, s, rate in initial if rate > 0]
        for key in ("demand", "server", "zone"):
            total: dict[object, Fraction] = {}
            for d, s, rate in rates:
                limit_key = self._limit_key(key, d, s)
                total[limit_key] = total.get(limit_key, ZERO) + rate
            kept = []
            for d, s, rate in rates:
                limit_key = self._limit_key(key, d, s)
                limit = self._limit(key, d, s)
                over = limit is not None and total[limit_key] > limit
                kept.append((d, s, rate * limit / total[limit_key] if over and limit is not None else rate))
            rates = [entry for entry in kept if entry[2] > 0]
        for d, s, rate in rates:
            self.load[s] += rate
            if self._server_zone[s] == self._demand_zone[d]:
                self.local[d][s] = self.local[d].get(s, ZERO) + rate
                self._local_demands[s][d] = None
            else:
                zone = self._demand_zone[d]
                self.spilled[d] += rate
                self.spill_used[zone] += rate
                self.remote[zone][s] = self.remote[zone].get(s, ZERO) + rate

    def _limit_key(self, key: str, d: int, s: int) -> object:
        if key == "demand":
            return d
        if key == "server":
            return s
        return self._demand_zone[d] if self._server_zone[s] != self._demand_zone[d] else None

    def _limit(self, key: str, d: int, s: int) -> Fraction | None:
        if key == "demand":
            return self.rates[d]
        if key == "server":
            return self.capacities[s]
        return self.spill.get(self._demand_zone[d]) if self._server_zone[s] != self._demand_zone[d] else None

    def serve_all(self) -> Cut | None:
        """Serve all demand. Return None, or the cut that prevents serving the first demand that cannot be."""
        for demand in range(len(self.rates)):
            while (missing := self.unserved(demand)) > 0:
                path = self._find_path(demand)
                if isinstance(path, Cut):
                    return path
                self._augment(path, missing)
        return None

    def shortfall(self) -> Fraction:
        """Maximize the flow and return the rate that stays unserved."""
        for demand in range(len(self.rates)):
            while (missing := self.unserved(demand)) > 0:
                path = self._find_path(demand)
                if isinstance(path, Cut):
                    break
                self._augment(path, missing)
        return sum((self.unserved(d) for d in range(len(self.rates))), ZERO)

    def _find_path(self, demand: int) -> Cut | list[Edge]:
        """Return a path to a server with spare capacity, as edges, or the cut if there is none."""
        predecessors: dict[Node, Node] = {}
        source: Node = ("d", demand)
        queue, seen = deque([source]), {source}
        while queue:
            node = queue.popleft()
            kind, key = node
            if kind == "s" and isinstance(key, int) and self._has_spare_capacity(key):
                return self._path(predecessors, source, node)
            for other in self._neighbors(kind, key):
                if other not in seen:
                    seen.add(other)
                    predecessors[other] = node
                    queue.append(other)
        return self._cut(seen)

    def _has_spare_capacity(self, server: int) -> bool:
        limit = self.capacities[server]
        return limit is None or self.load[server] < limit

    @staticmethod
    def _path(predecessors: Mapping[Node, Node], source: Node, last: Node) -> list[Edge]:
        """Return the edges from source to last; ``predecessors`` gives the node from which each was reached."""
        path = []
        node = last
        while node != source:
            path.append((predecessors[node], node))
            node = predecessors[node]
        return path[::-1]

    @staticmethod
    def _cut(seen: set[Node]) -> Cut:
        """Return the limits on the border of the reached nodes."""
        cut = Cut()
        for kind, key in sorted(seen, key=str):
            if kind == "d" and isinstance(key, int):
                cut.demands.append(key)
            elif kind == "s" and isinstance(key, int):
                cut.servers.append(key)
            elif kind == "i" and ("o", key) not in seen:
                cut.zones.append(str(key))
        return cut

    def _neighbors(self, kind: str, key: int | str) -> Iterable[Node]:
        """Return the neighbors of a node in the residual graph: flow may be added to them, or taken back from them."""
        match kind, key:
            case "d", int(demand):
                return self._neighbors_of_demand(demand)
            case "i", str(zone):
                return self._neighbors_before_spill(zone)
            case "o", str(zone):
                return self._neighbors_behind_spill(zone)
            case "s", int(server):
                return self._neighbors_of_server(server)
        return ()

    def _neighbors_of_demand(self, demand: int) -> Iterable[Node]:
        zone = self._demand_zone[demand]
        for server in self._servers_in_zone.get(zone, ()):
            yield "s", server
        yield "i", zone

    def _neighbors_before_spill(self, zone: str) -> Iterable[Node]:
        limit = self.spill.get(zone)
        if limit is None or self.spill_used[zone] < limit:
            yield "o", zone
        for demand in self._demands_in_zone[zone]:
            if self.spilled[demand] > 0:
                yield "d", demand

    def _neighbors_behind_spill(self, zone: str) -> Iterable[Node]:
        for other, servers in self._servers_in_zone.items():
            if other != zone:
                for server in servers:
                    yield "s", server
        if self.spill_used[zone] > 0:
            yield "i", zone

    def _neighbors_of_server(self, server: int) -> Iterable[Node]:
        for demand in self._local_demands[server]:
            yield "d", demand
        for zone, held in self.remote.items():
            if held.get(server, ZERO) > 0:
                yield "o", zone

    def _augment(self, path: list[Edge], missing: Fraction) -> None:
        """Send along a path what it can carry, at most the missing rate."""
        end = path[-1][1][1]
        assert isinstance(end, int)
        rate = self._bottleneck(path, end, missing)
        self._send(path, rate)
        self.load[end] += rate

    def _bottleneck(self, path: list[Edge], end: int, missing: Fraction) -> Fraction:
        rate = missing
        if (capacity := self.capacities[end]) is not None:
            rate = min(rate, capacity - self.load[end])
        for (kind, a), (other, b) in path:
            match kind + other:
                case "io" if (limit := self.spill.get(str(a))) is not None:
                    rate = min(rate, limit - self.spill_used[str(a)])
                case "oi":
                    rate = min(rate, self.spill_used[str(a)])
                case "id" if isinstance(b, int):
                    rate = min(rate, self.spilled[b])
                case "sd" if isinstance(a, int) and isinstance(b, int):
                    rate = min(rate, self.local[b][a])
                case "so" if isinstance(a, int):
                    rate = min(rate, self.remote[str(b)][a])
        return rate

    def _send(self, path: list[Edge], rate: Fraction) -> None:
        for (kind, a), (other, b) in path:
            match kind + other:
                case "ds" if isinstance(a, int) and isinstance(b, int):
                    self.local[a][b] = self.local[a].get(b, ZERO) + rate
                    self._local_demands[b][a] = None
                case "di" if isinstance(a, int):
                    self.spilled[a] += rate
                case "id" if isinstance(b, int):
                    self.spilled[b] -= rate
                case "io":
                    self.spill_used[str(a)] += rate
                case "oi":
                    self.spill_used[str(a)] -= rate
                case "os" if isinstance(b, int):
                    self.remote[str(a)][b] = self.remote[str(a)].get(b, ZERO) + rate
                case "so" if isinstance(a, int):
                    self._subtract(self.remote[str(b)], a, rate)
                case "sd" if isinstance(a, int) and isinstance(b, int):
                    self._subtract_local(b, a, rate)

    def _subtract_local(self, demand: int, server: int, rate: Fraction) -> None:
        self._subtract(self.local[demand], server, rate)
        if server not in self.local[demand]:
            del self._local_demands[server][demand]

    @staticmethod
    def _subtract(held: dict[int, Fraction], key: int, rate: Fraction) -> None:
        held[key] -= rate
        if not held[key]:
            del held[key]

    def pairs(self) -> Iterable[tuple[int, int, Fraction]]:
        """Yield (demand, server, rate). All demands of a zone share its spilled flow in the same proportions."""
        for demand, held in enumerate(self.local):
            for server, rate in held.items():
                yield demand, server, rate
            zone = self._demand_zone[demand]
            if self.spilled[demand] > 0:
                fraction = self.spilled[demand] / self.spill_used[zone]
                for server, rate in self.remote[zone].items():
                    yield demand, server, rate * fraction


def broken_limits(problem: Problem, shares: Mapping[tuple[str, str, str], Mapping[str, float]]) -> list[str]:
    """Describe the limits that a plan's shares violate, computed exactly; rounding of 1e-9 is allowed."""
    violations: list[str] = []
    zones = {server.name: server.zone for server in problem.servers}
    load = {server.name: ZERO for server in problem.servers}
    spilled: dict[tuple[str, str], Fraction] = {}
    demand_rates: dict[tuple[str, str], Fraction] = {}
    for demand in problem.demands:
        rate = exact_decimal(demand.rate)
        plan_shares = shares.get((demand.kind, demand.group, demand.zone), {})
        exact_shares = {name: Fraction(share) for name, share in plan_shares.items()}
        total = sum(exact_shares.values(), ZERO)
        if rate > 0 and abs(total - 1) > ROUNDING_TOLERANCE:
            violations.append(f"shares of {demand.kind} in {demand.zone} add up to {float(total)}")
        key = demand.group, demand.zone
        demand_rates[key] = demand_rates.get(key, ZERO) + rate
        for name, exact_share in exact_shares.items():
            load[name] += exact_share * rate
            if zones[name] != demand.zone:
                spilled[key] = spilled.get(key, ZERO) + exact_share * rate
    most_used = exact_decimal(problem.limits.most_used)
    for server in problem.servers:
        if load[server.name] > usable_capacity(server) * most_used * (1 + ROUNDING_TOLERANCE):
            violations.append(f"{server.name} would get {float(load[server.name]):g}/s")
    for (group, zone), rate in spilled.items():
        limit = problem.limits.spill.get(zone)
        if limit is not None and rate > exact_decimal(limit) * demand_rates[group, zone] * (1 + ROUNDING_TOLERANCE):
            violations.append(f"{float(rate):g}/s of {group} would leave {zone}")
    return violations
