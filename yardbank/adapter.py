"""Translates between the wire protocol and the decision module's interface, for many gateways in one process.

Reads batches (one JSON object per line) from standard input and writes one reply per batch to standard output. Makes no
decisions. Names and units of the wire protocol are used only here and in ``yardbank.wire``; times are integer
nanoseconds unless a name says otherwise.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import orjson

from yardbank import interface as api
from yardbank.policy import Router
from yardbank.wire import NUMBER_TYPES, WireError, get_enum, get_field, read_member, read_settings

LIST_KINDS = {
    "INCREMENTAL": api.ListKind.DELTA,
    "FULL": api.ListKind.FULL,
    "SAVED": api.ListKind.SAVED,
    "FAILED": api.ListKind.FAILED,
}
STATUSES = {
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
    """The gateways of one process: one router each, sharing only the server lists that the wire protocol numbers.

    Owns: routers and the clock time of position zero by gateway; server lists by number.
    Bound: one router per gateway between ``hello`` and ``destroy``; one list per number used on the wire.
    Invariant: an invalid item affects at most the gateway that it names.
    """

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}
        self.position_zeros: dict[int, int] = {}
        self.lists: dict[int, tuple[api.Member, ...]] = {}
        self.event_decoders: dict[str, Callable[[int, Any], api.Event]] = {
            "call": self._decode_request,
            "settled": self._decode_outcome,
            "deadline_hit": lambda gateway, item: api.Timer(get_field(item, "handle", str)),
            "checked": self._decode_probed,
            "topology": self._decode_server_list,
            "cancelled_by_client": lambda gateway, item: api.ClientCancelled(get_field(item, "rid", str)),
            "headers": lambda gateway, item: api.Started(get_field(item, "rid", str)),
        }

    def batch(self, line: bytes) -> bytes:
        """Return the reply to one batch, which is one line of JSON.

        An invalid line yields a reply without steps; an invalid item yields a ``die`` step for its gateway. Both are
        reported on standard error and raise nothing.
        """
        steps: list[dict[str, Any]] = []
        try:
            message = orjson.loads(line)
            now, items = get_field(message, "now", int), get_field(message, "items", list)
        except (orjson.JSONDecodeError, WireError) as error:
            print(f"yardbank: invalid batch: {error}", file=sys.stderr)
            return b'{"steps":[]}\n'
        for item in items:
            try:
                self._handle_item(now, item, steps)
            except (WireError, ValueError) as error:
                print(f"yardbank: {error}", file=sys.stderr)
                gateway = item.get("gateway") if isinstance(item, dict) else None
                if type(gateway) is int:
                    steps.append({"kind": "die", "gateway": gateway, "msg": str(error)})
        return orjson.dumps({"steps": steps}) + b"\n"

    def _handle_item(self, now: int, item: Any, steps: list[dict[str, Any]]) -> None:
        kind = get_field(item, "kind", str)
        if kind == "snapshot_rows":
            self.lists[get_field(item, "table", int)] = tuple(map(read_member, get_field(item, "members", list)))
            return
        gateway = get_field(item, "gateway", int)
        if kind == "hello":
            env = get_field(item, "env", dict)
            self.routers[gateway] = Router(read_settings(get_field(item, "init_seed", int), env))
            self.position_zeros[gateway] = get_field(env["domain"], "position_zero", int, 0)
        elif kind == "destroy":
            self.routers.pop(gateway, None)
        elif kind in self.event_decoders:
            if gateway not in self.routers:
                raise WireError(f"field 'gateway' names gateway {gateway}, for which no 'hello' was received")
            for action in self.routers[gateway].handle(now, self.event_decoders[kind](gateway, item)):
                steps.append(ACTION_ENCODERS[type(action)](gateway, action))
        elif kind != "memo":
            raise WireError(f"field 'kind' has the unknown value '{kind}'")

    def _decode_request(self, gateway: int, item: Any) -> api.Request:
        since_write_ms = get_field(item, "since_write_ms", NUMBER_TYPES, None)
        return api.Request(
            id=get_field(item, "rid", str),
            group=get_field(item, "partition_no", NUMBER_TYPES, 0),
            class_name=get_field(item, "priority", str),
            expires=get_field(item, "expires", int),
            session=get_field(item, "session", str, None),
            tenant=get_field(item, "customer", str, None) if item.get("customer") else None,
            since_write=None if since_write_ms is None else round(since_write_ms * 1e6),
        )

    def _decode_outcome(self, gateway: int, item: Any) -> api.Outcome:
        mark = get_field(item, "mark", int, 0)  # bits 0-1: role; the rest: position (ms)
        position_ms, role = mark >> 2, mark & 3
        return api.Outcome(
            id=get_field(item, "rid", str),
            attempt=get_field(item, "trial", int),
            server=get_field(item, "server", int),
            status=get_enum(item, "verdict", STATUSES),
            latency=get_field(item, "took", int, 0),
            closed=get_field(item, "finished", bool),
            role=api.Role(role if role < 3 else 0),
            position=self.position_zeros[gateway] + position_ms * 1_000_000 if position_ms else None,
            report=self._decode_report(gateway, item),
        )

    def _decode_probed(self, gateway: int, item: Any) -> api.Probed:
        return api.Probed(
            server=get_field(item, "server", int),
            status=get_enum(item, "verdict", STATUSES),
            latency=get_field(item, "took", int, 0),
            report=self._decode_report(gateway, item),
        )

    def _decode_report(self, gateway: int, item: Any) -> api.Report | None:
        gauge = get_field(item, "gauge", dict, None)
        if gauge is None:
            return None
        position_s, primary = get_field(gauge, "x0", NUMBER_TYPES, None), get_field(gauge, "x1", NUMBER_TYPES, None)
        return api.Report(
            position=None if position_s is None else self.position_zeros[gateway] + int(position_s * 1e9),
            primary=None if primary is None else primary == 1,
            load=get_field(gauge, "utilization", NUMBER_TYPES, None),
        )

    def _decode_server_list(self, gateway: int, item: Any) -> api.ServerList:
        kind = get_enum(item, "scope", LIST_KINDS)
        if kind == api.ListKind.FAILED:
            return api.ServerList(kind)
        table = get_field(item, "table", int)
        if table not in self.lists:
            raise WireError(f"field 'table' names list {table}, which was not received")
        return api.ServerList(kind, self.lists[table])


ACTION_ENCODERS = {
    api.Send: lambda gateway, action: {
        "kind": "forward",
        "gateway": gateway,
        "rid": action.id,
        "server": action.server,
        "not_past": action.until,
    },
    api.Refuse: lambda gateway, action: {
        "kind": "busy",
        "gateway": gateway,
        "rid": action.id,
        "wait": action.retry_after,
    },
    api.Fail: lambda gateway, action: {"kind": "end_failed", "gateway": gateway, "rid": action.id},
    api.Cancel: lambda gateway, action: {
        "kind": "abort_attempt",
        "gateway": gateway,
        "rid": action.id,
        "trial": action.attempt,
    },
    api.Probe: lambda gateway, action: {"kind": "sound_out", "gateway": gateway, "server": action.server},
    api.CloseIdle: lambda gateway, action: {"kind": "shut_idle", "gateway": gateway, "server": action.server},
    api.SetTimer: lambda gateway, action: {
        "kind": "schedule",
        "gateway": gateway,
        "span": action.delay,
        "handle": action.token,
    },
    api.Subscribe: lambda gateway, action: {"kind": "watch", "gateway": gateway, "enable": True},
}


def main() -> None:
    """Process batches until standard input ends."""
    host = Host()
    for line in sys.stdin.buffer:
        sys.stdout.buffer.write(host.batch(line))
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    main()
