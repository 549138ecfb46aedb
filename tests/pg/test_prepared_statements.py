"""Prepared statements on shared connections: each execution runs the text that its client prepared."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from yardbank.pg.pool import ClientStatements, ConnectionStatements, StatementError, Statements
from yardbank.pg.pool.statements import server_name


class Server:
    """The prepared statements of one connection on the server, by name."""

    def __init__(self, max_prepared):
        self.names, self.max_prepared = {}, max_prepared

    def parse(self, name, text):
        assert name not in self.names, "already exists"  # the server rejects duplicate names
        self.names[name] = text
        assert len(self.names) <= self.max_prepared

    def run(self, name):
        return self.names[name]  # a KeyError means "does not exist"


def run_random_events(seed, clients=50, connections=5, steps=600, max_prepared=8):
    rng = random.Random(seed)
    statements = Statements(max_per_connection=max_prepared)
    clients_statements = [ClientStatements() for _ in range(clients)]
    prepared = [{} for _ in clients_statements]  # by client: the texts that it prepared
    connections_and_servers = [(ConnectionStatements(), Server(max_prepared)) for _ in range(connections)]
    ran = 0
    for _ in range(steps):
        client_number, connection_number = rng.randrange(clients), rng.randrange(connections)
        client, texts_by_name = clients_statements[client_number], prepared[client_number]
        connection, server = connections_and_servers[connection_number]
        match rng.choices(
            ("parse", "close", "run", "restart", "error", "alter", "discard"), (6, 1, 12, 0.4, 1, 0.5, 0.2)
        )[0]:
            case "parse":
                name, text = rng.choice(("", "s", "t")), f"select {rng.randrange(20)}"
                if name and name in texts_by_name:
                    with pytest.raises(StatementError) as caught:
                        statements.parse(client, name, text)
                    assert caught.value.state == "42P05"
                else:
                    statements.parse(client, name, text)
                    texts_by_name[name] = text
            case "close":
                name = rng.choice(("", "s", "t"))
                statements.close(client, name)
                texts_by_name.pop(name, None)
            case "run" | "error" as what:
                names = rng.choices(("", "s", "t"), k=rng.randint(1, 3))  # a pipeline
                sent = []
                for name in names:
                    if name not in texts_by_name:
                        with pytest.raises(StatementError) as caught:
                            statements.find(client, name)
                        assert caught.value.state == "26000"
                        continue
                    statement = statements.find(client, name)
                    prepare = statements.require(connection, statement)
                    sent.append((name, statement, prepare))
                failed_at = rng.randrange(len(sent) + 1) if what == "error" and sent else len(sent)
                for index, (name, statement, prepare) in enumerate(sent):
                    if index >= failed_at:  # the server skips all messages up to the Sync, also the closes
                        break
                    for closed_name in prepare.close:
                        del server.names[closed_name]
                        statements.statement_closed(connection, closed_name)
                    if prepare.statement is not None:
                        server.parse(prepare.statement.name, prepare.statement.text)
                        statements.statement_prepared(connection, prepare.statement.name)
                    assert server.run(statement.name) == texts_by_name[name]
                    ran += 1
                if failed_at < len(sent):
                    statements.pipeline_failed(connection)
            case "restart":
                connections_and_servers[connection_number] = ConnectionStatements(), Server(max_prepared)
            case "alter" if connection.available:
                name = rng.choice(list(connection.available))
                del server.names[statements.result_type_changed(connection, name)]
            case "discard":
                statements.reset(connection)
                server.names.clear()
        connection, server = connections_and_servers[connection_number]
        assert set(connection.available) == set(server.names) and not connection.pending and not connection.closing
    return ran


@given(st.integers(0, 2**32))
@settings(max_examples=60, deadline=None)
def test_fifty_clients_on_five_connections_run_the_texts_they_prepared(seed):
    assert run_random_events(seed) > 50


def test_same_name_with_two_texts_does_not_conflict_and_same_text_is_prepared_once():
    statements, one, two, connection = Statements(), ClientStatements(), ClientStatements(), ConnectionStatements()
    a, b = statements.parse(one, "s", "select 1"), statements.parse(two, "s", "select 2")
    same = statements.parse(two, "other", "select 1")
    assert a.name != b.name and a == same and server_name("select 1", ()) != server_name("select 1", (23,))
    assert statements.require(connection, a).statement == a
    statements.statement_prepared(connection, a.name)
    assert statements.require(connection, same).statement is None and (statements.prepared, statements.hits) == (1, 1)


def test_limits_of_statements_per_client_and_connection():
    statements, client = Statements(2, 3), ClientStatements()
    parsed = [statements.parse(client, f"s{n}", f"select {n}") for n in range(3)]
    with pytest.raises(StatementError) as caught:
        statements.parse(client, "s3", "select 3")
    assert caught.value.state == "53400"
    connection = ConnectionStatements()
    for statement in parsed[:2]:
        statements.require(connection, statement)
        statements.statement_prepared(connection, statement.name)
    assert statements.require(connection, parsed[2]).close == (parsed[0].name,) and statements.evicted == 1
    statements.forget_all(client)
    with pytest.raises(StatementError):
        statements.find(client, "s0")
    with pytest.raises(ValueError, match="positive"):
        Statements(0)
