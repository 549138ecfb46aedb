"""Prepared statements on shared connections: whatever happens, each execution runs the text that its client prepared."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.pg.pool import Client, Connection, StatementError, Statements
from yardbank.pg.pool.statements import server_name


class Server:
    """One server connection as a server sees it: names and texts, in the order of what is sent."""

    def __init__(self, most):
        self.names, self.most = {}, most

    def parse(self, name, text):
        assert name not in self.names, "already exists"  # a server's own rule
        self.names[name] = text
        assert len(self.names) <= self.most

    def run(self, name):
        return self.names[name]  # a KeyError is "does not exist"


def play(seed, clients=50, connections=5, steps=600, most=8):
    chance = random.Random(seed)
    decider = Statements(most_on_connection=most)
    people = [Client() for _ in range(clients)]
    prepared = [{} for _ in people]  # what each client believes
    lines = [(Connection(), Server(most)) for _ in range(connections)]
    ran = 0
    for _ in range(steps):
        who, line = chance.randrange(clients), chance.randrange(connections)
        client, mine = people[who], prepared[who]
        connection, server = lines[line]
        match chance.choices(
            ("parse", "close", "run", "restart", "error", "alter", "discard"), (6, 1, 12, 0.4, 1, 0.5, 0.2)
        )[0]:
            case "parse":
                name, text = chance.choice(("", "s", "t")), f"select {chance.randrange(20)}"
                if name and name in mine:
                    with pytest.raises(StatementError) as caught:
                        decider.parse(client, name, text)
                    assert caught.value.state == "42P05"
                else:
                    decider.parse(client, name, text)
                    mine[name] = text
            case "close":
                name = chance.choice(("", "s", "t"))
                decider.close(client, name)
                mine.pop(name, None)
            case "run" | "error" as what:
                names = chance.choices(("", "s", "t"), k=chance.randint(1, 3))  # a pipeline
                sent = []
                for name in names:
                    if name not in mine:
                        with pytest.raises(StatementError) as caught:
                            decider.find(client, name)
                        assert caught.value.state == "26000"
                        continue
                    statement = decider.find(client, name)
                    need = decider.need(connection, statement)
                    sent.append((name, statement, need))
                broken = chance.randrange(len(sent) + 1) if what == "error" and sent else len(sent)
                for place, (name, statement, need) in enumerate(sent):
                    if place >= broken:  # the server skips all to the Sync; closes that it skipped did not happen
                        break
                    for old in need.close:
                        del server.names[old]
                        decider.closed(connection, old)
                    if need.statement is not None:
                        server.parse(need.statement.name, need.statement.text)
                        decider.ready(connection, need.statement.name)
                    assert server.run(statement.name) == mine[name]
                    ran += 1
                if broken < len(sent):
                    decider.failed(connection)
            case "restart":
                lines[line] = Connection(), Server(most)
            case "alter" if connection.held:
                name = chance.choice(list(connection.held))
                del server.names[decider.changed(connection, name)]
            case "discard":
                decider.reset(connection)
                server.names.clear()
        connection, server = lines[line]
        assert set(connection.held) == set(server.names) and not connection.pending and not connection.closing
    return ran


@given(st.integers(0, 2**32))
@settings(max_examples=60, deadline=None)
def test_fifty_clients_on_five_connections_run_what_they_prepared(seed):
    assert play(seed) > 50


def test_one_name_and_two_texts_never_meet_and_one_text_is_prepared_once():
    decider, one, two, line = Statements(), Client(), Client(), Connection()
    a, b = decider.parse(one, "s", "select 1"), decider.parse(two, "s", "select 2")
    same = decider.parse(two, "other", "select 1")
    assert a.name != b.name and a == same and server_name("select 1", ()) != server_name("select 1", (23,))
    assert decider.need(line, a).statement == a
    decider.ready(line, a.name)
    assert decider.need(line, same).statement is None and (decider.prepared, decider.hits) == (1, 1)


def test_bounds():
    decider, client = Statements(2, 3), Client()
    made = [decider.parse(client, f"s{n}", f"select {n}") for n in range(3)]
    with pytest.raises(StatementError) as caught:
        decider.parse(client, "s3", "select 3")
    assert caught.value.state == "53400"
    line = Connection()
    for statement in made[:2]:
        decider.need(line, statement)
        decider.ready(line, statement.name)
    assert decider.need(line, made[2]).close == (made[0].name,) and decider.evicted == 1
    decider.forget_all(client)
    with pytest.raises(StatementError):
        decider.find(client, "s0")
    with pytest.raises(ValueError, match="positive"):
        Statements(0)
