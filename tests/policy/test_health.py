"""Server health: ejection, silent servers, probes, readmission, lost attempts and dead connections."""

from tests.support.router_world import MS, SECOND, Member, Role, World, answer_all, group, sent
from yardbank.interface import Cancel, CloseIdle, Fail, Probe, Probed, Send, ServerList, SetTimer


def test_writes_wait_for_a_hung_primary_and_probes_find_the_new_one():
    world = World()
    world.known(1, primary=True)
    for index in range(4):
        world.ask(f"w{index}", "commit")
        assert sent(world) == [1]
    for _ in range(80):
        world.tick()
    world.ask("later", "commit")
    assert sent(world) == []
    probed = {action.server for action in world.of(Probe)}
    assert probed == {1, 2, 3}
    world.known(2, primary=True)
    assert sent(world) == [2]


def test_reads_at_a_silent_server_are_cancelled_once():
    world = World()
    for server in (2, 3):
        world.known(server)
    for index in range(8):
        world.ask(f"r{index}", "any", left=5 * SECOND)
    out = {f"r{index}" for index in range(8)}
    cancelled = []
    for _ in range(60):
        world.tick()
        cancelled += [action.id for action in world.of(Cancel)]
    assert cancelled and set(cancelled) <= out and len(cancelled) == len(set(cancelled))


def test_trial_request_at_a_silent_server_is_cancelled_early():
    world = World(group(2))
    for server in (2, 3):
        world.known(server)
    world.router.servers[2].silent, world.router.servers[2].ejected_until = True, world.now
    world.router.servers[2].latency_ratio = 4.0
    world.ask("r", "any", left=5 * SECOND)
    assert sent(world) == [2]
    sent_at = world.now
    while not world.of(Cancel):
        world.tick()
        assert world.now - sent_at < 400 * MS
    world.end("r", 2, "cancelled", after=MS)
    assert sent(world) == [3]


def test_idle_gateway_sets_no_timer_and_sends_no_probe():
    world = World()
    assert world.out == []
    world.ask("r", "any")
    assert len(world.of(SetTimer)) == 1 and world.of(Probe) == []
    server = sent(world)[0]
    world.end("r", server, role=Role.REPLICA)
    assert world.of(SetTimer) == []
    assert world.tick() == []


def test_replica_of_unknown_position_is_probed_for_a_bounded_read():
    world = World()
    world.ask("r", "lookup")
    assert sent(world) == [] and len(world.of(Probe)) == 1
    world.known(world.of(Probe)[0].server, lag=50 * MS)
    assert sent(world)[0] in (2, 3)
    world = World()
    world.ask("r", "lookup")
    world.tick(60 * MS)  # the probe is not answered: the read goes to the primary
    assert sent(world) == [1]


def test_probe_interval_grows_with_the_number_of_gateways():
    world = World(gateways=500)
    world.router.servers[1].role.believed_at[True] = -1
    world.ask("w", "commit")
    assert len(world.of(Probe)) == 3
    for server in (1, 2, 3):
        world.known(server)
    for _ in range(20):
        world.tick()
        assert world.of(Probe) == []
    world.tick(150 * MS)
    assert len(world.of(Probe)) == 3


def test_replica_is_avoided_after_a_miss_until_its_estimated_lag_has_decayed():
    world = World(group(1), tokens="carried", checks="refuse")
    world.ask("r", "lookup")
    world.end("r", 2, role=Role.REPLICA)
    world.ask("s", "status", since_write=30 * MS)
    assert sent(world) == [2]
    world.end("s", 2, "miss", role=Role.REPLICA)
    world.ask("t", "status", since_write=30 * MS)
    assert sent(world) == [1]
    world.ask("u", "status", since_write=30 * MS, after=8 * SECOND)
    assert sent(world) == [2]


def test_connection_refused_by_a_running_server_closes_idle_connections():
    world = World(group(1))
    world.known(1, primary=True)
    world.known(2, after=SECOND)
    world.ask("r", "any")
    assert sent(world) == [2]
    world.end("r", 2, "connect_failed", after=MS)
    assert [action.server for action in world.of(Probe)] == [2] and world.router.servers[2].ejected_until == 0
    world.known(2)
    world.ask("s", "commit", after=SECOND)
    answer_all(world, "ok")
    assert [action.server for action in world.of(CloseIdle)] == [1]
    world.ask("t", "commit", after=20 * SECOND)
    answer_all(world, "ok")
    assert world.of(CloseIdle) == []


def test_connection_refused_by_a_dead_server_ejects_it_and_closes_nothing():
    world = World(group(1))
    world.ask("r", "any")
    server = sent(world)[0]
    world.end("r", server, "connect_failed", after=MS)
    world.feed(Probed(server, "connect_failed", MS), MS)
    assert world.router.servers[server].ejected_until > world.now and world.router.connection_shortage_until == 0


def test_replica_that_missed_is_not_retried_at_each_sweep():
    world = World(group(1), tokens="carried", checks="refuse")
    world.router.servers[1].draining = True
    world.ask("r", "status", since_write=700 * MS, left=2 * SECOND)
    tries = 0
    for _ in range(60):
        in_flight = list(world.router.attempts.items())
        for (name, number), attempt in in_flight:
            tries += 1
            world.end(name, attempt.server.id, "miss", number, after=MS, role=Role.REPLICA)
        world.tick(10 * MS)
    assert 1 <= tries <= 2


def test_restarted_server_is_assumed_to_lag_and_gets_the_initial_limit():
    world = World(group(2), tokens="carried", checks="refuse")
    world.router.servers[3].limit = 30.0
    world.feed(ServerList("delta", (Member(3, "a", 0, False, "ready", world.now),)))
    assert world.router.servers[3].limit < 5
    for index in range(20):
        world.ask(f"r{index}", "status", since_write=400 * MS)
        assert 3 not in sent(world)


def test_connection_that_timed_out_after_idling_is_closed_before_the_next_send():
    world = World(group(1))
    world.known(2)
    for name, status in (("r", "ok"), ("s", "timeout")):
        world.ask(name, "any", after=2 * SECOND)
        assert sent(world) == [2] and world.of(CloseIdle) == []
        world.end(name, 2, status, after=100 * MS)
    world.ask("t", "any", after=2 * SECOND)
    assert [type(action) for action in world.out][:2] == [CloseIdle, Send]


def world_with_lost_attempt(kind="status", count=3):
    """Return a world in which one request waits at a server that has answered later ones, and that server."""
    world = World(group(replicas=1))
    world.known(1, primary=True)
    world.ask("lost", kind, left=SECOND)
    server = world.of(Send)[0].server
    for number in range(count):
        world.router.servers[3 - server].overload_until = world.now + SECOND  # all requests go to the same server
        world.ask(f"r{number}", kind)
        assert world.of(Send)[0].server == server
        world.end(f"r{number}", server)
    world.router.servers[3 - server].overload_until = 0
    return world, server


def test_lost_read_at_a_lightly_loaded_server_is_cancelled_and_resent():
    world, server = world_with_lost_attempt()
    latency_ratio = world.router.servers[server].latency_ratio
    world.tick(200 * MS)
    assert not world.of(Cancel)
    world.tick(300 * MS)
    assert [(action.id, action.attempt) for action in world.of(Cancel)] == [("lost", 0)]
    world.tick(20 * MS)
    assert not world.of(Cancel)  # it is cancelled only once
    world.end("lost", server, "cancelled", after=0, closed=False)
    assert [action.server for action in world.of(Send)] == [3 - server]
    assert world.router.servers[server].latency_ratio == latency_ratio and not world.router.servers[server].silent


def test_lost_write_is_not_cancelled_and_its_timeout_does_not_count_as_slow():
    world, server = world_with_lost_attempt("commit", 1)
    before = (
        world.router.servers[server].latency_ratio,
        world.router.admission.recent_attempts,
        world.router.admission.recent_successes,
    )
    world.tick(700 * MS)
    assert not world.of(Cancel)
    world.end("lost", server, "timeout", after=200 * MS, closed=False)
    assert world.of(Fail) and world.router.servers[server].latency_ratio == before[0]
    assert (world.router.admission.recent_attempts, world.router.admission.recent_successes) == before[1:]


def test_read_at_an_overloaded_server_does_not_count_as_lost():
    world, server = world_with_lost_attempt()
    world.router.servers[server].latency_ratio = 0.5
    world.tick(500 * MS)
    assert not world.of(Cancel)


def test_attempt_lost_after_a_short_pause_does_not_lower_the_idle_limit():
    world = World(group(replicas=0))
    world.ask("r1", "commit")
    world.end("r1", 1)
    world.ask("r2", "commit", after=100 * MS)
    world.end("r2", 1, "reset", after=MS, closed=False)
    assert world.router.servers[1].idle_limit == 30 * SECOND


def test_restarted_replica_is_probed_although_its_assumed_lag_is_long():
    """Guards against reads avoiding a restarted replica until its assumed lag, the whole warm-up time, has decayed.

    It was probed only after that decay.
    """

    def world_after_restart(**more):
        world = World(reports="probe", **more)
        world.known(1, primary=True)
        restarted = [
            Member(m.server, m.zone, m.group, m.primary, m.state, world.now if m.server == 2 else 0) for m in group(1)
        ]
        world.feed(ServerList("full", tuple(restarted)))
        world.ask("read", "lookup", after=200 * MS)
        return world

    small_fleet = world_after_restart()
    assert [probe.server for probe in small_fleet.of(Probe)] == [2] and not small_fleet.of(Send)
    small_fleet.known(2, after=5 * MS)
    assert small_fleet.router.servers[2].position_unknown is False
    large_fleet = world_after_restart(gateways=200, tells_load=True)
    assert 2 not in [probe.server for probe in large_fleet.of(Probe)]  # probes by hundreds of gateways would add up
