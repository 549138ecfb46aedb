"""The decision module behind the JSON adapter, driven by the same scripts as ``drawn_platform_play``."""

import orjson

from tests.support.drawn_platform_play import START_AT
from yardbank.adapter import Host
from yardbank.gateway.api import MS, SECOND

VERDICTS = ("Ok", "Miss", "Miss", "QueueFull", "Failed", "ConnectError", "ResetByPeer", "TimedOut", "Failed")


class WirePlay:
    """One gateway; ``names`` maps classes, zones, groups, servers and tenants to names, the last four also to numbers."""

    def __init__(self, told, names):
        self.told, self.names, self.trace = told, names, []
        self.now, self.timers, self.out, self.probes, self.open = START_AT * SECOND, [], [], [], {}
        self.asked, self.table, self.host = 0, 0, Host()
        services = [{**kind, "name": names["class"][n]} for n, kind in enumerate(told["settings"]["services"])]
        tenants = [{"name": name, "share": 1, "allowance_per_s": 10} for name in names["tenant"]]
        env = {**told["settings"], "services": services, "zone": names["zone"][0], "tenants": tenants}
        self.tell({"kind": "hello", "init_seed": 5, "env": env})
        self.listed("SAVED", [self.member(number) for number in range(len(told["servers"]))])

    def run(self, script):
        for step, *numbers in script:
            getattr(self, step)(*numbers)
        return self.trace

    def tell(self, *items):
        batch = {"now": self.now, "items": [{"gateway": 3, **item} for item in items]}
        for step in orjson.loads(self.host.batch(orjson.dumps(batch)))["steps"]:
            kind, server = step["kind"], step.get("server")
            at = None if server is None else self.names["number"].index(server)
            self.trace.append((kind, step.get("rid"), at, step.get("span"), step.get("wait"), step.get("trial")))
            if kind == "forward":
                trial = self.open[step["rid"]]
                self.open[step["rid"]] = trial + 1
                self.out.append((step["rid"], trial, server, step["not_past"], self.now))
            elif kind == "schedule":
                self.timers.append((self.now + step["span"], step["handle"]))
            elif kind == "sound_out":
                self.probes.append(server)
            elif kind in ("busy", "end_failed"):
                self.open.pop(step["rid"], None)
            elif kind == "abort_attempt":
                for sent in [sent for sent in self.out if sent[:2] == (step["rid"], step["trial"])]:
                    self.settled(sent, "Canceled", 0, 0)

    def member(self, number, mode="live", started=None):
        group, zone, part = self.told["servers"][number]
        return {
            "server": self.names["number"][number],
            "zone": self.names["zone"][zone],
            "mode": mode,
            "up_since": started,
            "shard": self.names["group"][group],
            "head": int(part == "master"),
        }

    def listed(self, scope, members):
        self.table += 1
        self.tell(
            {"kind": "snapshot_rows", "table": self.table, "members": members},
            {"kind": "topology", "scope": scope, "stamp": self.table, "table": self.table},
        )

    def settled(self, sent, verdict, part, behind):
        self.out.remove(sent)
        number, trial, server, _, sent_at = sent
        if verdict == "Ok":
            self.open.pop(number, None)
        mark = (self.now // MS - behind) << 2 | 1 + part % 2
        self.tell(
            {
                "kind": "settled",
                "rid": number,
                "trial": trial,
                "server": server,
                "verdict": verdict,
                "took": self.now - sent_at,
                "finished": number not in self.open,
                "mark": mark,
            }
        )

    # Script steps

    def ask(self, client, kind, group, key, limit):
        kind %= len(self.told["settings"]["services"])
        self.asked += 1
        number = f"q{self.asked}"
        self.open[number] = 0
        read = self.told["settings"]["domain"]["class_read"][kind]
        self.tell(
            {
                "kind": "call",
                "rid": number,
                "priority": self.names["class"][kind],
                "expires": self.now + limit * MS,
                "partition_no": self.names["group"][group % len(self.names["group"])],
                "customer": self.names["tenant"][client % len(self.names["tenant"])],
                "session": f"k{key}" if read in ("causal", "mutate") else None,
                "since_write_ms": 40.5 if read == "causal" and key % 2 else 0,
            }
        )

    def burst(self, count, kind, group, limit):
        for at in range(count):
            self.ask(at, kind + at, group, at % 7, limit)

    def answer(self, which, how, part, behind, load):
        if self.probes:
            gauge = {"x0": self.now / 1e9 - behind / 1000, "x1": 1 - part % 2, "utilization": load / 100}
            verdict = "ConnectError" if how == 7 else "Ok"
            self.tell({"kind": "checked", "server": self.probes.pop(0), "verdict": verdict, "took": 9, "gauge": gauge})
        elif self.out:
            self.settled(self.out[which % len(self.out)], VERDICTS[how], part, behind)

    def wait(self, ms):
        until = self.now + ms * MS
        while True:
            due = min(self.timers, default=(until + 1, ""))
            late = min(self.out, key=lambda sent: sent[3], default=None)
            if late is not None and late[3] <= min(due[0], until):
                self.now = max(self.now, late[3])
                self.settled(late, "TimedOut", 0, 0)
            elif due[0] <= until:
                self.timers.remove(due)
                self.now = due[0]
                self.tell({"kind": "deadline_hit", "handle": due[1]})
            else:
                self.now = until
                return

    def leave(self, client):
        if self.open:
            number = list(self.open)[client % len(self.open)]
            del self.open[number]
            self.tell({"kind": "cancelled_by_client", "rid": number})

    def refuse(self, server):
        for sent in [sent for sent in self.out if sent[2] == self.names["number"][server % len(self.names["number"])]]:
            self.settled(sent, "ConnectError", 0, 0)

    def change(self, server, how):
        server %= len(self.told["servers"])
        mode, started = (
            ("quiescing", None),
            ("dead", None),
            ("live", None),
            ("live", self.now - SECOND),
            ("live", None),
        )[how]
        self.listed("INCREMENTAL", [self.member(server, mode, started)])
