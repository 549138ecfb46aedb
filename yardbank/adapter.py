"""Translates between the wire and the decision module's interface, for many gateways in one process.

Reads batches (one JSON object a line) from standard input and writes one reply a batch to standard output. Nothing is
decided here. The wire's words and units stay on this side; times are integer nanoseconds unless a name says otherwise.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import orjson

from yardbank import interface as api
from yardbank.policy import Router
from yardbank.wire import NUMBER, WireError, field, read_member, read_settings, word

LISTS = {
    "INCREMENTAL": api.ListKind.DELTA,
    "FULL": api.ListKind.FULL,
    "SAVED": api.ListKind.SAVED,
    "FAILED": api.ListKind.FAILED,
}
STATUS = {
    "Ok": api.Status.OK,
    "Failed": api.Status.ERROR,
    "QueueFull": api.Status.FULL,
    "TimedOut": api.Status.TIMEOUT,
    "ConnectError": api.Status.CONNECT_FAILED,
    "ResetByPeer": api.Status.RESET,
    "Canceled": api.Status.CANCELLED,
    "Ignored": api.Status.NOT_SENT,
    "Miss": api.Status.MISS,
}


class Host:
    """The gateways of one process: a router each, which share only the numbered lists of the wire.

    Owns: routers and the clock time of position zero by gateway, server lists by number.
    Bound: one router a gateway between ``hello`` and ``destroy``; one list a number of the wire.
    Invariant: what is wrong with one item costs that item's gateway at most.
    """

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}
        self.zeros: dict[int, int] = {}
        self.lists: dict[int, tuple[api.Member, ...]] = {}
        self.readers: dict[str, Callable[[int, Any], api.Event]] = {
            "call": self._request,
            "settled": self._outcome,
            "deadline_hit": lambda gateway, item: api.Timer(field(item, "handle", str)),
            "checked": self._probed,
            "topology": self._list,
            "cancelled_by_client": lambda gateway, item: api.ClientCancelled(field(item, "rid", str)),
            "headers": lambda gateway, item: api.Started(field(item, "rid", str)),
        }

    def batch(self, line: bytes) -> bytes:
        """The reply to one batch, a line of JSON.

        A line that is not understood gives a reply without steps; an item that is not, a ``die`` step for its gateway.
        Both are reported on standard error; nothing is raised for them.
        """
        steps: list[dict[str, Any]] = []
        try:
            message = orjson.loads(line)
            now, items = field(message, "now", int), field(message, "items", list)
        except (orjson.JSONDecodeError, WireError) as problem:
            print(f"yardbank: batch not understood: {problem}", file=sys.stderr)
            return b'{"steps":[]}\n'
        for item in items:
            try:
                self._item(now, item, steps)
            except (WireError, ValueError) as problem:
                print(f"yardbank: {problem}", file=sys.stderr)
                gateway = item.get("gateway") if isinstance(item, dict) else None
                if type(gateway) is int:
                    steps.append({"kind": "die", "gateway": gateway, "msg": str(problem)})
        return orjson.dumps({"steps": steps}) + b"\n"

    def _item(self, now: int, item: Any, steps: list[dict[str, Any]]) -> None:
        kind = field(item, "kind", str)
        if kind == "snapshot_rows":
            self.lists[field(item, "table", int)] = tuple(map(read_member, field(item, "members", list)))
            return
        gateway = field(item, "gateway", int)
        if kind == "hello":
            env = field(item, "env", dict)
            self.routers[gateway] = Router(read_settings(field(item, "init_seed", int), env))
            self.zeros[gateway] = field(env["domain"], "position_zero", int, 0)
        elif kind == "destroy":
            self.routers.pop(gateway, None)
        elif kind in self.readers:
            if gateway not in self.routers:
                raise WireError(f"field 'gateway' names {gateway}, which has had no 'hello'")
            for action in self.routers[gateway].handle(now, self.readers[kind](gateway, item)):
                steps.append(WRITERS[type(action)](gateway, action))
        elif kind != "memo":
            raise WireError(f"field 'kind' has the unknown value '{kind}'")

    def _request(self, gateway: int, item: Any) -> api.Request:
        since = field(item, "since_write_ms", NUMBER, None)
        return api.Request(
            id=field(item, "rid", str),
            group=field(item, "partition_no", NUMBER, 0),
            class_name=field(item, "priority", str),
            expires=field(item, "expires", int),
            session=field(item, "session", str, None),
            tenant=field(item, "customer", str, None) if item.get("customer") else None,
            since_write=None if since is None else round(since * 1e6),
        )

    def _outcome(self, gateway: int, item: Any) -> api.Outcome:
        mark = field(item, "mark", int, 0)
        millis, role = mark >> 2, mark & 3
        return api.Outcome(
            id=field(item, "rid", str),
            attempt=field(item, "trial", int),
            server=field(item, "server", int),
            status=word(item, "verdict", STATUS),
            latency=field(item, "took", int, 0),
            closed=field(item, "finished", bool),
            role=api.Role(role if role < 3 else 0),
            position=self.zeros[gateway] + millis * 1_000_000 if millis else None,
            report=self._report(gateway, item),
        )

    def _probed(self, gateway: int, item: Any) -> api.Probed:
        return api.Probed(
            server=field(item, "server", int),
            status=word(item, "verdict", STATUS),
            latency=field(item, "took", int, 0),
            report=self._report(gateway, item),
        )

    def _report(self, gateway: int, item: Any) -> api.Report | None:
        gauge = field(item, "gauge", dict, None)
        if gauge is None:
            return None
        seconds, primary = field(gauge, "x0", NUMBER, None), field(gauge, "x1", NUMBER, None)
        return api.Report(
            position=None if seconds is None else self.zeros[gateway] + int(seconds * 1e9),
            primary=None if primary is None else primary == 1,
            load=field(gauge, "utilization", NUMBER, None),
        )

    def _list(self, gateway: int, item: Any) -> api.ServerList:
        kind = word(item, "scope", LISTS)
        if kind == api.ListKind.FAILED:
            return api.ServerList(kind)
        table = field(item, "table", int)
        if table not in self.lists:
            raise WireError(f"field 'table' names list {table}, which was never sent")
        return api.ServerList(kind, self.lists[table])


WRITERS = {
    api.Send: lambda gateway, a: {
        "kind": "forward",
        "gateway": gateway,
        "rid": a.id,
        "server": a.server,
        "not_past": a.until,
    },
    api.Refuse: lambda gateway, a: {"kind": "busy", "gateway": gateway, "rid": a.id, "wait": a.retry_after},
    api.Fail: lambda gateway, a: {"kind": "end_failed", "gateway": gateway, "rid": a.id},
    api.Cancel: lambda gateway, a: {
        "kind": "abort_attempt",
        "gateway": gateway,
        "rid": a.id,
        "trial": a.attempt,
    },
    api.Probe: lambda gateway, a: {"kind": "sound_out", "gateway": gateway, "server": a.server},
    api.CloseIdle: lambda gateway, a: {"kind": "shut_idle", "gateway": gateway, "server": a.server},
    api.SetTimer: lambda gateway, a: {
        "kind": "schedule",
        "gateway": gateway,
        "span": a.delay,
        "handle": a.token,
    },
    api.Subscribe: lambda gateway, a: {"kind": "watch", "gateway": gateway, "enable": True},
}


def main() -> None:
    """Serve batches until the input ends."""
    host = Host()
    for line in sys.stdin.buffer:
        sys.stdout.buffer.write(host.batch(line))
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
