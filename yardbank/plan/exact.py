"""Feasibility in exact rationals: what a linear program found is repaired here, or proved impossible. No I/O.

Reads flow from demands to servers: to those of their own zone, or by way of the zone's spill to the others. A flow is
grown along augmenting paths (Ford and Fulkerson) from wherever the solver's floating point left it, so few paths are
needed; when none is left and something is unserved, the nodes still reached name the limits that stand in the way.

Numbers count as they are written: 0.1 is one tenth, not the nearest binary fraction.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from fractions import Fraction

from yardbank.plan.model import PlanServer, Problem

ZERO = Fraction(0)
NEAR = Fraction(1, 10**9)  # what rounding a share to a floating-point number may cost, relatively

Node = tuple[str, int | str]  # ("d", demand), ("i", zone) and ("o", zone) before and behind its spill, ("s", server)
Edge = tuple[Node, Node]


def written(value: float) -> Fraction:
    """A number as it is written in decimals."""
    return Fraction(repr(value)) if isinstance(value, float) else Fraction(value)


def usable(server: PlanServer) -> Fraction:
    """What a server has left for reads."""
    return max(ZERO, written(server.capacity) * written(server.warmth) - written(server.taken))


@dataclass(slots=True)
class Cut:
    """What stands in the way of the rest: places of demands and servers, and zones whose spill is used up."""

    demands: list[int] = field(default_factory=list)
    servers: list[int] = field(default_factory=list)
    zones: list[str] = field(default_factory=list)


class Flow:
    """Reads of one group from demands to servers. ``None`` as a limit is none."""

    def __init__(
        self,
        demands: Sequence[str],
        servers: Sequence[str],
        rates: Sequence[Fraction],
        room: Sequence[Fraction | None],
        spill: Mapping[str, Fraction],
    ) -> None:
        """``demands`` and ``servers`` are told by their zones; ``rates``, ``room`` and ``spill`` limit them."""
        self.rates, self.room, self.spill = rates, room, spill
        self._zone = list(demands)
        self._of_zone: dict[str, list[int]] = {}
        for place, zone in enumerate(servers):
            self._of_zone.setdefault(zone, []).append(place)
        self._server_zone = list(servers)
        self._asks: dict[str, list[int]] = {}
        for place, zone in enumerate(self._zone):
            self._asks.setdefault(zone, []).append(place)
        self.local: list[dict[int, Fraction]] = [{} for _ in demands]  # by server
        self.out = [ZERO] * len(demands)  # by way of the zone's spill
        self.remote: dict[str, dict[int, Fraction]] = {zone: {} for zone in self._asks}
        self.load = [ZERO] * len(servers)
        self.used: dict[str, Fraction] = dict.fromkeys(self._asks, ZERO)
        self._at: list[dict[int, None]] = [{} for _ in servers]  # demands with reads of their own zone there

    def unserved(self, demand: int) -> Fraction:
        """What a demand still lacks."""
        return self.rates[demand] - sum(self.local[demand].values(), ZERO) - self.out[demand]

    def begin(self, found: Iterable[tuple[int, int, Fraction]]) -> None:
        """Take (demand, server, rate) as far as the limits go: beyond them all are cut in proportion."""
        rates = [(d, s, rate) for d, s, rate in found if rate > 0]
        for key in ("demand", "server", "zone"):
            total: dict[object, Fraction] = {}
            for d, s, rate in rates:
                where = self._limit_of(key, d, s)
                total[where] = total.get(where, ZERO) + rate
            kept = []
            for d, s, rate in rates:
                where = self._limit_of(key, d, s)
                most = self._most(key, d, s)
                over = most is not None and total[where] > most
                kept.append((d, s, rate * most / total[where] if over and most is not None else rate))
            rates = [one for one in kept if one[2] > 0]
        for d, s, rate in rates:
            self.load[s] += rate
            if self._server_zone[s] == self._zone[d]:
                self.local[d][s] = self.local[d].get(s, ZERO) + rate
                self._at[s][d] = None
            else:
                zone = self._zone[d]
                self.out[d] += rate
                self.used[zone] += rate
                self.remote[zone][s] = self.remote[zone].get(s, ZERO) + rate

    def _limit_of(self, key: str, d: int, s: int) -> object:
        if key == "demand":
            return d
        if key == "server":
            return s
        return self._zone[d] if self._server_zone[s] != self._zone[d] else None

    def _most(self, key: str, d: int, s: int) -> Fraction | None:
        if key == "demand":
            return self.rates[d]
        if key == "server":
            return self.room[s]
        return self.spill.get(self._zone[d]) if self._server_zone[s] != self._zone[d] else None

    def fill(self) -> Cut | None:
        """Serve what is unserved; None when all is, else what stands in the way of the first that cannot be."""
        for demand in range(len(self.rates)):
            while (lack := self.unserved(demand)) > 0:
                before = self._reach(demand)
                if isinstance(before, Cut):
                    return before
                self._augment(before, lack)
        return None

    def shortfall(self) -> Fraction:
        """The least rate that goes unserved, after growing the flow as far as it goes."""
        for demand in range(len(self.rates)):
            while (lack := self.unserved(demand)) > 0:
                before = self._reach(demand)
                if isinstance(before, Cut):
                    break
                self._augment(before, lack)
        return sum((self.unserved(d) for d in range(len(self.rates))), ZERO)

    def _reach(self, demand: int) -> Cut | list[Edge]:
        """A path to a server with room, as edges; or the cut where there is none."""
        came: dict[Node, Node] = {}
        first: Node = ("d", demand)
        queue, seen = deque([first]), {first}
        while queue:
            node = queue.popleft()
            kind, place = node
            if kind == "s" and isinstance(place, int) and self._has_room(place):
                return self._path(came, first, node)
            for other in self._next(kind, place):
                if other not in seen:
                    seen.add(other)
                    came[other] = node
                    queue.append(other)
        return self._cut(seen)

    def _has_room(self, server: int) -> bool:
        most = self.room[server]
        return most is None or self.load[server] < most

    @staticmethod
    def _path(came: Mapping[Node, Node], first: Node, last: Node) -> list[Edge]:
        """The edges from first to last, by the node from which each was reached."""
        path = []
        node = last
        while node != first:
            path.append((came[node], node))
            node = came[node]
        return path[::-1]

    @staticmethod
    def _cut(seen: set[Node]) -> Cut:
        """The limits that stand in the way, by the nodes that were reached."""
        cut = Cut()
        for kind, place in sorted(seen, key=str):
            if kind == "d" and isinstance(place, int):
                cut.demands.append(place)
            elif kind == "s" and isinstance(place, int):
                cut.servers.append(place)
            elif kind == "i" and ("o", place) not in seen:
                cut.zones.append(str(place))
        return cut

    def _next(self, kind: str, place: int | str) -> Iterable[Node]:
        """The nodes to which reads may flow from a node, or from which they may be taken back."""
        match kind, place:
            case "d", int(demand):
                return self._next_of_demand(demand)
            case "i", str(zone):
                return self._next_before_spill(zone)
            case "o", str(zone):
                return self._next_behind_spill(zone)
            case "s", int(server):
                return self._next_of_server(server)
        return ()

    def _next_of_demand(self, demand: int) -> Iterable[Node]:
        zone = self._zone[demand]
        for server in self._of_zone.get(zone, ()):
            yield "s", server
        yield "i", zone

    def _next_before_spill(self, zone: str) -> Iterable[Node]:
        most = self.spill.get(zone)
        if most is None or self.used[zone] < most:
            yield "o", zone
        for demand in self._asks[zone]:
            if self.out[demand] > 0:
                yield "d", demand

    def _next_behind_spill(self, zone: str) -> Iterable[Node]:
        for other, servers in self._of_zone.items():
            if other != zone:
                for server in servers:
                    yield "s", server
        if self.used[zone] > 0:
            yield "i", zone

    def _next_of_server(self, server: int) -> Iterable[Node]:
        for demand in self._at[server]:
            yield "d", demand
        for zone, held in self.remote.items():
            if held.get(server, ZERO) > 0:
                yield "o", zone

    def _augment(self, path: list[Edge], lack: Fraction) -> None:
        """Send along a path what it can carry, at most what is lacking."""
        end = path[-1][1][1]
        assert isinstance(end, int)
        rate = self._bottleneck(path, end, lack)
        self._send(path, rate)
        self.load[end] += rate

    def _bottleneck(self, path: list[Edge], end: int, lack: Fraction) -> Fraction:
        most = lack
        if (room := self.room[end]) is not None:
            most = min(most, room - self.load[end])
        for (kind, a), (other, b) in path:
            match kind + other:
                case "io" if (limit := self.spill.get(str(a))) is not None:
                    most = min(most, limit - self.used[str(a)])
                case "oi":
                    most = min(most, self.used[str(a)])
                case "id" if isinstance(b, int):
                    most = min(most, self.out[b])
                case "sd" if isinstance(a, int) and isinstance(b, int):
                    most = min(most, self.local[b][a])
                case "so" if isinstance(a, int):
                    most = min(most, self.remote[str(b)][a])
        return most

    def _send(self, path: list[Edge], rate: Fraction) -> None:
        for (kind, a), (other, b) in path:
            match kind + other:
                case "ds" if isinstance(a, int) and isinstance(b, int):
                    self.local[a][b] = self.local[a].get(b, ZERO) + rate
                    self._at[b][a] = None
                case "di" if isinstance(a, int):
                    self.out[a] += rate
                case "id" if isinstance(b, int):
                    self.out[b] -= rate
                case "io":
                    self.used[str(a)] += rate
                case "oi":
                    self.used[str(a)] -= rate
                case "os" if isinstance(b, int):
                    self.remote[str(a)][b] = self.remote[str(a)].get(b, ZERO) + rate
                case "so" if isinstance(a, int):
                    self._take(self.remote[str(b)], a, rate)
                case "sd" if isinstance(a, int) and isinstance(b, int):
                    self._take_local(b, a, rate)

    def _take_local(self, demand: int, server: int, rate: Fraction) -> None:
        self._take(self.local[demand], server, rate)
        if server not in self.local[demand]:
            del self._at[server][demand]

    @staticmethod
    def _take(held: dict[int, Fraction], key: int, rate: Fraction) -> None:
        held[key] -= rate
        if not held[key]:
            del held[key]

    def pairs(self) -> Iterable[tuple[int, int, Fraction]]:
        """(demand, server, rate): what leaves a zone is spread over its servers in equal parts of each demand."""
        for demand, held in enumerate(self.local):
            for server, rate in held.items():
                yield demand, server, rate
            zone = self._zone[demand]
            if self.out[demand] > 0:
                part = self.out[demand] / self.used[zone]
                for server, rate in self.remote[zone].items():
                    yield demand, server, rate * part


def broken_limits(problem: Problem, shares: Mapping[tuple[str, str, str], Mapping[str, float]]) -> list[str]:
    """What a finished plan's shares break, judged in rationals; empty: nothing, but for rounding of 1e-9."""
    found: list[str] = []
    zones = {server.name: server.zone for server in problem.servers}
    load = {server.name: ZERO for server in problem.servers}
    out: dict[tuple[str, str], Fraction] = {}
    asked: dict[tuple[str, str], Fraction] = {}
    for demand in problem.demands:
        rate = written(demand.rate)
        held = shares.get((demand.kind, demand.group, demand.zone), {})
        parts = {name: Fraction(share) for name, share in held.items()}
        total = sum(parts.values(), ZERO)
        if rate > 0 and abs(total - 1) > NEAR:
            found.append(f"shares of {demand.kind} in {demand.zone} add up to {float(total)}")
        key = demand.group, demand.zone
        asked[key] = asked.get(key, ZERO) + rate
        for name, part in parts.items():
            load[name] += part * rate
            if zones[name] != demand.zone:
                out[key] = out.get(key, ZERO) + part * rate
    most_used = written(problem.limits.most_used)
    for server in problem.servers:
        if load[server.name] > usable(server) * most_used * (1 + NEAR):
            found.append(f"{server.name} would get {float(load[server.name]):g}/s")
    for (group, zone), rate in out.items():
        limit = problem.limits.spill.get(zone)
        if limit is not None and rate > written(limit) * asked[group, zone] * (1 + NEAR):
            found.append(f"{float(rate):g}/s of {group} would leave {zone}")
    return found
