"""Which requests are let through, and to which server: admission, limits, choice."""

from collections.abc import Sequence
from math import exp

from yardbank.policy.servers import ASK_EVERY, CALM, FULL_STRAIN, SECOND, Held, Knowledge, Server

PRIMARY_PENALTY, FAR_PENALTY = 3.0, 1.5  # a primary, another zone is chosen when others look so much dearer
MEMORY, YIELD = 5 * SECOND, 1.5  # at most 1.5 times what came back in time lately is sent: room to grow again
EQUALS = 1.3  # servers that look dearer than the best by no more than this are equals: their shares decide
LOOK = 16  # members looked at for one read, where a group has more
EASY, EASY_SPILL = 0.7, 0.4  # the load up to which all is sent to a server, and all reads to a primary
FULL_LOAD, STILL = 0.9, 0.03  # the load at which a server is full, as reports err; the share it is still sent


class Picking(Knowledge):
    """Who may go, and where; the state is the router's."""

    def needed(self, held: Held, at: int) -> int:
        """The log position that a read must see, when sent at a given time."""
        return at - held.kind.staleness_bound if held.kind.read == "bounded" else held.need

    def cost(self, server: Server, primary: Server | None) -> float:
        """What a further request may expect to wait there, in usual latencies; chance turns over equals."""
        cost = (len(server.waiting) + 1) * self.strain_of(server) * (1 + 0.2 * self.random.random())
        cost *= FAR_PENALTY if server.zone != self.set.zone and server.zone not in self.ways else 1.0
        return cost * PRIMARY_PENALTY if server is primary else cost

    def price(self, server: Server, primary: Server | None, held: Held) -> float:
        """That, and the way there as a share of the aim: it is paid once, however many wait."""
        return self.cost(server, primary) + self.ways.get(server.zone, (0, 0))[0] / held.kind.latency_objective

    def may_resend(self, held: Held) -> bool:
        """Whether a further attempt is allowed at all."""
        kind = held.kind
        window = kind.window if kind.effect == "keyed" and kind.scope != "zone" else 0
        again = held.ran_at is None or kind.effect == "safe" or self.now - held.ran_at < window
        return again and held.attempts < self.set.max_attempts and self.now < held.request.expires

    def has_room(self, server: Server, held: Held) -> bool:
        """Outstanding stays under the limit; reads that others can serve leave writes half of a primary."""
        alone, warmth = held.kind.read in ("write", "fresh"), self.warmth(server)
        limit = server.limit if alone or not server.is_primary() else server.limit / 2
        full = len(server.waiting) >= max(1.0, limit * warmth) or self.now < server.rest_until
        if full or self.crowded(server, held):
            return False
        if warmth >= 1.0:  # the usual case; looking up a place costs a walk over the group
            return True
        size = 1 if alone else self.most[server.group]  # a cold one takes its own slice of the lots
        place = held.lot + self.groups[server.group].index(server) / size
        return place % 1.0 < warmth / size

    def must_look(self, server: Server, held: Held) -> bool:
        """Whether a server's load is asked for before it is sent to: of hundreds, each sees little of it."""
        spills = server.is_primary() and held.kind.read not in ("write", "fresh")
        return self.looks and (spills or self.now < self.wary.get(held.request.group, 0))

    def crowded(self, server: Server, held: Held) -> bool:
        """Whether a server is so busy that it is left to what is worth more: the fuller, the less is sent."""
        if not self.must_look(server, held) or (load := self.load_of(server)) is None:
            return False
        alone = held.kind.read in ("write", "fresh")
        easy = EASY if alone or not server.is_primary() else EASY_SPILL
        rivals = [kind.name for kind in self.set.classes if (kind.read in ("write", "fresh")) == alone]
        return self.place(held, rivals) > max(STILL, 1 - (load - easy) / (FULL_LOAD - easy))

    def place(self, held: Held, rivals: Sequence[str]) -> float:
        """Where a request stands among those of some classes, by worth and by lot: 0 first, 1 last."""
        ahead = 0.0
        for name, late in self.ranking:
            if name == held.kind.name and not late:
                break
            ahead += self.asked[name] if name in rivals and not late else 0.0
        return (ahead + held.lot * self.asked[held.kind.name]) / sum(self.asked[name] for name in rivals)

    def pick(self, held: Held) -> Server | None:
        """The server for the next attempt, or none for now."""
        primary = self.primary(held.request.group)
        members = self.groups.get(held.request.group, ())
        if held.kind.read in ("write", "fresh"):
            fit = primary and primary.id not in held.tried and self.has_room(primary, held)
            return primary if fit else None
        few = self.random.sample(members, LOOK) if len(members) > LOOK else ()  # a walk over hundreds costs
        best = self.pick_read(held, primary, few) if few else None  # more than it finds, unless none will do
        return self.pick_read(held, primary, members) if best in (None, primary) else best

    def pick_read(self, held: Held, primary: Server | None, members: Sequence[Server]) -> Server | None:
        """The server for a read's next attempt among some members of its group."""
        need = self.needed(held, self.now)
        free = [s for s in members if not s.drained and s.id not in held.tried]
        able = [s for s in free if s is primary or self.recent_enough(s, need)]
        if self.ways:  # where the way alone takes too long, only if nobody else may be sent it
            free = [s for s in free if self.now + self.ways.get(s.zone, (0, 0))[1] <= held.request.expires]
            able = [s for s in able if s in free] or able
        well = [s for s in able if s.retry_at == 0]
        well = [s for s in well if self.now >= self.hearsay.get(s.id, 0)] or well
        if all(s is primary for s in well) and self.now - held.arrived < held.kind.latency_objective / 8:
            stale = [s for s in free if s not in able and s.retry_at == 0 and s.heard < self.now - ASK_EVERY]
            likely = [s for s in stale if self.likely(s) >= need or (s.unheard and not self.looks)]
            if likely and self.probe(min(likely, key=lambda s: self.price(s, primary, held))):  # a short wait
                return None
        trial = [s for s in able if s.retry_at and self.now >= s.retry_at and not s.waiting]
        if trial and well and held.attempts == 0 and (trial[0].silent or not self.probe(trial[0])):
            return trial[0]
        room = [(self.price(s, primary, held), s) for s in well or trial or able if self.has_room(s, held)]
        least, best = min(room, key=lambda pair: pair[0], default=(0.0, None))
        if best is primary and any(s is not primary and self.crowded(s, held) for s in well):
            return None  # what replicas have too much of would be too much for a primary sooner
        if best is None or all(s.share == best.share for _, s in room):
            return best
        equals = [s for cost, s in room if cost <= EQUALS * least or (cost <= CALM and s.zone == best.zone)]
        return self.random.choices(equals, [s.share for s in equals])[0]  # what is seen outranks shares

    def count(self, good: bool) -> None:
        """Remember for a while how many attempts were wanted and how many came to something in time."""
        fade = exp((self.tallied_at - self.now) / MEMORY)
        self.tally, self.tallied_at = [self.tally[0] * fade + 1, self.tally[1] * fade + good], self.now

    def share(self) -> float:
        """The part of what is asked for that is let through: 1 and more is all."""
        return (YIELD * self.tally[1] + 1) / max(self.tally[0], 1.0)

    def admits(self, held: Held) -> bool:
        """Servers that answer late or "full" get less, the least worth first: retries keep queues full."""
        share = self.share()  # a little of each class goes, else none may be left to try
        goes = self.place(held, list(self.asked)) <= share or held.lot < share / 4
        if not goes and not self.looks:  # told loads replace it; without pressure it would feed itself
            if max(self.zones.values(), default=0.0) > FULL_STRAIN or self.now - self.pressed_at < MEMORY:
                self.count(False)
        return goes

    def hopeless(self, held: Held) -> bool:
        """It can no longer be answered while that is worth something: its work would only delay others."""
        objective_at = held.arrived + held.kind.latency_objective
        useful = held.request.expires if held.kind.late_weight else min(held.request.expires, objective_at)
        most = (
            held.kind.latency_objective / 2 if self.looks else useful
        )  # else after an outage none would ever be tried
        usual = min(self.usual[held.kind.name], most)
        return self.now + max(usual, 2 * self.sweep_every) > useful

    def order(self) -> list[tuple[str, bool]]:
        """Classes, in time and late, by worth for their work: late work must not make more late."""
        priority_weight = {
            (kind.name, late): kind.priority_weight * (kind.late_weight if late else 1) / self.usual[kind.name]
            for kind in self.set.classes
            for late in (False, True)
        }
        return sorted(priority_weight, key=lambda key: -priority_weight[key])
