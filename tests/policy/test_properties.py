"""The router's invariants under random sequences of events."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.support.router_world import CLASSES, MS, Member, Report, Role, World, group
from yardbank.interface import Fail, Outcome, Probed, Refuse, Request, Send, ServerList, Timer

STATUSES = ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"]
NEVER_RAN = {"full", "connect_failed", "moot", "miss"}
DELAY_MS = st.one_of(st.integers(0, 400), st.integers(1000, 3000))
STEP = st.tuples(st.sampled_from(["ask", "end", "tick", "report", "list"]), st.integers(0, 10**6), DELAY_MS)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=80))
@example([("report", 0, 0), ("list", 0, 2000), ("ask", 2, 100)])  # a late list calls a replica primary; a fresh read
@example([("report", 801, 0), ("report", 802, 0), ("list", 0, 2000), ("ask", 0, 1), ("tick", 0, 100)])  # a bounded one
def test_invariants_hold_for_random_events(steps):
    world = World(group(3))
    classes = {request_class.name: request_class for request_class in CLASSES}
    requests, answered, in_flight, ran, proven, tokens = {}, set(), {}, {}, {}, {}
    demoted, drained, said_replica = set(), set(), set()

    def check_actions():
        for action in world.out:
            if isinstance(action, Send):
                request_class, request = requests[action.id]
                assert action.id not in answered and action.server not in drained
                assert not any(key[0] == action.id for key in in_flight)  # one attempt at a time
                first = ran.get(action.id)
                assert (
                    first is None
                    or request_class.effect == "safe"
                    or (request_class.effect == "keyed" and world.now - first < request_class.window)
                )
                required = {
                    "bounded": world.now - request_class.staleness_bound,
                    "session": tokens.get(request.session, 0),
                }
                if action.server in demoted or action.server not in {1}:
                    server = world.router.servers[action.server]
                    assert server.is_primary() or proven.get(action.server, 0) >= required.get(request_class.read, 0)
                if action.server in said_replica and request_class.read != "write":  # whatever the list says of it
                    assert request_class.read != "fresh"
                    assert proven.get(action.server, 0) >= required.get(request_class.read, 0)
                number = sum(1 for key in in_flight.values() if key[0] == action.id) + done.get(action.id, 0)
                in_flight[action.id, number] = (action.id, action.server, world.now)
            elif isinstance(action, Refuse | Fail):
                assert action.id not in answered
                if isinstance(action, Refuse):
                    assert action.id not in ran or requests[action.id][0].effect == "safe"
                answered.add(action.id)

    done = {}
    for step, pick, delay in steps:
        world.now += delay * MS
        if step == "ask":
            request_class = CLASSES[pick % len(CLASSES)]
            name = f"q{len(requests)}"
            request = Request(name, 0, request_class.name, world.now + request_class.deadline, session=f"s{pick % 3}")
            requests[name] = (request_class, request)
            world.feed(request)
        elif step == "end" and in_flight:
            key = list(in_flight)[pick % len(in_flight)]
            name, server, at = in_flight.pop(key)
            done[name] = done.get(name, 0) + 1
            status = STATUSES[pick % len(STATUSES)]
            if status not in NEVER_RAN:
                ran.setdefault(name, at)
            closed = name in answered or status == "ok"
            if status == "ok":
                answered.add(name)
            request_class, request = requests[name]
            replica = server != 1
            if replica and status in ("ok", "miss"):
                demoted.add(server)
                said_replica.add(server)
            position = None
            if status == "ok" and request_class.read == "write":
                position = world.now
                tokens[request.session] = max(tokens.get(request.session, 0), position)
            role = Role.UNKNOWN if status not in ("ok", "miss") else Role.REPLICA if replica else Role.PRIMARY
            world.feed(Outcome(name, key[1], server, status, world.now - at, closed, role, position))
        elif step == "report":
            server = 2 + pick % 3
            position = world.now - (pick % 900) * MS
            proven[server] = max(proven.get(server, 0), position)
            said_replica.add(server)
            world.feed(Probed(server, "ok", MS, Report(position, False)))
        elif step == "list":
            server = 2 + pick % 3
            draining = bool(pick % 2)
            (drained.add if draining else drained.discard)(server)
            state = "draining" if draining else "ready"
            world.feed(ServerList("delta", (Member(server, "a", 0, pick % 2 == 0, state),)))
        else:
            world.feed(Timer("sweep"))
        check_actions()
    for key in list(in_flight):
        name, server, at = in_flight.pop(key)
        done[name] = done.get(name, 0) + 1
        closed = name in answered
        world.feed(Outcome(name, key[1], server, "timeout", world.now - at, closed))
        ran.setdefault(name, at)
        check_actions()
    world.now += max(request_class.deadline for request_class in classes.values())
    world.feed(Timer("sweep"))
    check_actions()
    still_in_flight = {name for key in in_flight for name in [key[0]]}
    assert answered | still_in_flight == set(requests)


def test_same_events_give_the_same_actions():
    def play():
        world, log = World(group(3)), []
        for index in range(40):
            world.ask(f"r{index}", CLASSES[index % 6].name)
            log += world.out
            log += world.tick()
        return log

    assert play() == play()


__all__ = ["Member"]
