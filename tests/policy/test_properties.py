"""The rules over random sequences of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.router_world import CLASSES, MS, Member, Report, Role, World, group
from yardbank.interface import Fail, Outcome, Probed, Refuse, Request, Send, ServerList, Timer

STATUSES = ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"]
NEVER_RAN = {"full", "connect_failed", "moot", "miss"}
STEP = st.tuples(st.sampled_from(["ask", "end", "tick", "report", "list"]), st.integers(0, 10**6), st.integers(0, 400))


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=80))
def test_rules_hold(steps):
    world = World(group(3))
    kinds = {kind.name: kind for kind in CLASSES}
    asked, answered, out, ran, proven, tokens = {}, set(), {}, {}, {}, {}
    demoted, drained = set(), set()

    def see():
        for action in world.out:
            if isinstance(action, Send):
                kind, request = asked[action.id]
                assert action.id not in answered and action.server not in drained
                assert not any(key[0] == action.id for key in out)  # one copy at a time
                first = ran.get(action.id)
                assert (
                    first is None
                    or kind.effect == "safe"
                    or (kind.effect == "keyed" and world.now - first < kind.window)
                )
                need = {
                    "bounded": world.now - kind.staleness_bound,
                    "session": tokens.get(request.session, 0),
                }
                if action.server in demoted or action.server not in {1}:
                    server = world.router.servers[action.server]
                    assert server.is_primary() or proven.get(action.server, 0) >= need.get(kind.read, 0)
                number = sum(1 for key in out.values() if key[0] == action.id) + done.get(action.id, 0)
                out[action.id, number] = (action.id, action.server, world.now)
            elif isinstance(action, Refuse | Fail):
                assert action.id not in answered
                if isinstance(action, Refuse):
                    assert action.id not in ran or asked[action.id][0].effect == "safe"
                answered.add(action.id)

    done = {}
    for step, pick, delay in steps:
        world.now += delay * MS
        if step == "ask":
            kind = CLASSES[pick % len(CLASSES)]
            name = f"q{len(asked)}"
            request = Request(name, 0, kind.name, world.now + kind.deadline, session=f"s{pick % 3}")
            asked[name] = (kind, request)
            world.feed(request)
        elif step == "end" and out:
            key = list(out)[pick % len(out)]
            name, server, at = out.pop(key)
            done[name] = done.get(name, 0) + 1
            status = STATUSES[pick % len(STATUSES)]
            if status not in NEVER_RAN:
                ran.setdefault(name, at)
            closed = name in answered or status == "ok"
            if status == "ok":
                answered.add(name)
            kind, request = asked[name]
            replica = server != 1
            if replica and status in ("ok", "miss"):
                demoted.add(server)
            position = None
            if status == "ok" and kind.read == "write":
                position = world.now
                tokens[request.session] = max(tokens.get(request.session, 0), position)
            role = Role.UNKNOWN if status not in ("ok", "miss") else Role.REPLICA if replica else Role.PRIMARY
            world.feed(Outcome(name, key[1], server, status, world.now - at, closed, role, position))
        elif step == "report":
            server = 2 + pick % 3
            position = world.now - (pick % 900) * MS
            proven[server] = max(proven.get(server, 0), position)
            world.feed(Probed(server, "ok", MS, Report(position, False)))
        elif step == "list":
            server = 2 + pick % 3
            draining = bool(pick % 2)
            (drained.add if draining else drained.discard)(server)
            state = "draining" if draining else "ready"
            world.feed(ServerList("delta", (Member(server, "a", 0, False, state),)))
        else:
            world.feed(Timer("sweep"))
        see()
    for key in list(out):
        name, server, at = out.pop(key)
        done[name] = done.get(name, 0) + 1
        closed = name in answered
        world.feed(Outcome(name, key[1], server, "timeout", world.now - at, closed))
        ran.setdefault(name, at)
        see()
    world.now += max(kind.deadline for kind in kinds.values())
    world.feed(Timer("sweep"))
    see()
    still = {name for key in out for name in [key[0]]}
    assert answered | still == set(asked)


def test_same_events_same_actions():
    def play():
        world, log = World(group(3)), []
        for index in range(40):
            world.ask(f"r{index}", CLASSES[index % 6].name)
            log += world.out
            log += world.tick()
        return log

    assert play() == play()


__all__ = ["Member"]
