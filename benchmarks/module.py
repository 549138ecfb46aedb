"""Cost of one request in the decision module, by the size of its group."""

from __future__ import annotations

import statistics
from time import perf_counter

from benchmarks.common import keep, table
from yardbank.interface import Member, Outcome, Probed, Report, Request, RequestClass, Role, Send, ServerList, Settings
from yardbank.policy import Router

MS = 1_000_000
CLASSES = (
    RequestClass("lookup", 400 * MS, 1000 * MS, 1, 0, "safe", read="bounded", staleness_bound=800 * MS),
    RequestClass("status", 400 * MS, 1000 * MS, 1, 0, "safe", read="session"),
    RequestClass("commit", 400 * MS, 2000 * MS, 3, 0.5, "unsafe", read="write"),
)


def cost(members: int, requests: int = 3000) -> float:
    """Return microseconds per request with its outcome, when all servers are healthy and their positions are known."""
    router = Router(Settings(1, "a", 4, CLASSES, reports="probe", may_probe=True, max_attempts=4))
    now = 1000 * MS
    router.handle(now, ServerList("saved", tuple(Member(n, "a", 0, n == 0, "ready") for n in range(members))))
    elapsed = 0.0
    for number in range(requests):
        now += 5 * MS
        if number % 20 == 0:
            for server in range(members):
                router.handle(now, Probed(server, "ok", MS, Report(now - MS, server == 0)))
        kind = CLASSES[number % 3]
        request = Request(f"r{number}", 0, kind.name, now + kind.deadline, session=f"s{number % 50}")
        began = perf_counter()
        (send,) = (a for a in router.handle(now, request) if isinstance(a, Send))
        outcome = Outcome(
            send.id, 0, send.server, "ok", 4 * MS, True, Role.PRIMARY if kind.read == "write" else Role.UNKNOWN
        )
        router.handle(now + 4 * MS, outcome)
        elapsed += perf_counter() - began
    return elapsed / requests * 1e6


def main() -> None:
    """Measure and store the results."""
    rows = []
    for members in (4, 40, 200):
        costs = [cost(members) for _ in range(5)]
        rows.append([str(members), f"{statistics.median(costs):.0f}", f"{min(costs):.0f} to {max(costs):.0f}"])
    notes = [
        "Medians of 5 runs of 3,000 requests (a third each: bounded reads, session reads, writes), request and outcome."
    ]
    head = ["members of the group", "microseconds a request", "range"]
    keep("module", "Cost of a decision", [table("By the size of a group", head, rows, notes)])


if __name__ == "__main__":
    main()
