"""Prepared statements of clients on server connections that are shared per transaction. No I/O.

A statement is identified by its text and parameter types. Clients choose any name for it; its name on servers is
derived from text and types alone, so that clients with the same name for different texts do not conflict, and clients
with the same text share the statement. It is prepared on each connection that needs it, and closed there when room is
needed (least recently used first). A new connection starts without statements, so a statement runs only where it was
prepared with this text.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash


class StatementError(ValueError):
    """An error to report to the client, with SQLSTATE ``state``."""

    def __init__(self, state: str, reason: str) -> None:
        super().__init__(reason)
        self.state = state


@dataclass(slots=True, frozen=True)
class PreparedStatement:
    """A statement: its text, the type OIDs of its parameters, and its name on servers."""

    text: str
    types: tuple[int, ...]
    name: str


@dataclass(slots=True, frozen=True)
class Prepare:
    """What to send on a connection before a statement can run there."""

    statement: PreparedStatement | None  # the statement to prepare; None if already prepared
    close: tuple[str, ...] = ()  # server names of statements to close first


@dataclass(slots=True)
class ClientStatements:
    """A client's statements by the client's names, including the unnamed one."""

    names: dict[str, PreparedStatement] = field(default_factory=dict)


@dataclass(slots=True)
class ConnectionStatements:
    """The statements on one server connection by server name, least recently used first."""

    available: OrderedDict[str, PreparedStatement] = field(default_factory=OrderedDict)
    pending: dict[str, PreparedStatement] = field(default_factory=dict)  # Parse sent, response outstanding
    closing: dict[str, PreparedStatement] = field(default_factory=dict)  # Close sent, response outstanding


class Statements:
    """Tracks which statements are prepared on which connections."""

    def __init__(self, max_per_connection: int = 500, max_per_client: int = 10_000) -> None:
        if max_per_connection < 1 or max_per_client < 1:
            raise ValueError("bounds must be positive")
        self._max_per_connection, self._max_per_client = max_per_connection, max_per_client
        self.hits = self.prepared = self.evicted = 0

    # Client side

    def parse(self, client: ClientStatements, name: str, text: str, types: tuple[int, ...] = ()) -> PreparedStatement:
        """Registers a client's statement. Raises ``StatementError`` if the name is in use or there are too many."""
        if name and name in client.names:  # only the unnamed statement may be replaced (PostgreSQL protocol, "Parse")
            raise StatementError("42P05", f'prepared statement "{name}" already exists')
        if len(client.names) >= self._max_per_client and name not in client.names:
            raise StatementError("53400", f"more than {self._max_per_client} prepared statements")
        parsed = PreparedStatement(text, types, server_name(text, types))
        client.names[name] = parsed
        return parsed

    def find(self, client: ClientStatements, name: str) -> PreparedStatement:
        """A client's statement by name. Raises ``StatementError`` if there is none."""
        if (found := client.names.get(name)) is None:
            raise StatementError("26000", f'prepared statement "{name}" does not exist')
        return found

    def close(self, client: ClientStatements, name: str) -> None:
        """Removes a client's statement; an unknown name is no error."""
        client.names.pop(name, None)

    def forget_all(self, client: ClientStatements) -> None:
        """Removes all of a client's statements (DEALLOCATE ALL, DISCARD ALL)."""
        client.names.clear()

    # Server side

    def require(self, connection: ConnectionStatements, statement: PreparedStatement) -> Prepare:
        """What to send before a statement runs on a connection; the caller must send it."""
        if statement.name in connection.available:
            connection.available.move_to_end(statement.name)
            self.hits += 1
            return Prepare(None)
        if statement.name in connection.pending:  # prepared earlier in the same pipeline
            self.hits += 1
            return Prepare(None)
        close: list[str] = []
        while len(connection.available) + len(connection.pending) >= self._max_per_connection and connection.available:
            name, oldest = connection.available.popitem(last=False)
            connection.closing[name] = oldest
            close.append(name)
        self.evicted += len(close)
        self.prepared += 1
        connection.pending[statement.name] = statement
        return Prepare(statement, tuple(close))

    def statement_prepared(self, connection: ConnectionStatements, name: str) -> None:
        """The server has prepared a statement."""
        if (statement := connection.pending.pop(name, None)) is not None:
            connection.available[name] = statement

    def statement_closed(self, connection: ConnectionStatements, name: str) -> None:
        """The server has closed a statement."""
        connection.closing.pop(name, None)

    def pipeline_failed(self, connection: ConnectionStatements) -> None:
        """An error ended a pipeline: the server skipped all outstanding Parse and Close messages."""
        connection.pending.clear()
        for name, statement in reversed(connection.closing.items()):
            connection.available[name] = statement
            connection.available.move_to_end(name, last=False)
        connection.closing.clear()

    def result_type_changed(self, connection: ConnectionStatements, name: str) -> str:
        """A statement's result type changed on the server (a table was altered), so it must be prepared again.

        Returns the name to close on the server.
        """
        connection.available.pop(name, None)
        return name

    def reset(self, connection: ConnectionStatements) -> None:
        """The connection has no statements any more (DISCARD ALL, DEALLOCATE ALL)."""
        connection.available.clear()
        connection.pending.clear()
        connection.closing.clear()


def server_name(text: str, types: tuple[int, ...]) -> str:
    """A statement's name on servers: a 128-bit hash of its text and types."""
    hasher = xxhash.xxh3_128(text.encode("utf-8", "surrogateescape"))
    hasher.update(b"\0" + ",".join(map(str, types)).encode())
    return f"yb_{hasher.hexdigest()}"
