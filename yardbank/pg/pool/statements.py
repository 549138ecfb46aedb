"""Prepared statements of clients on server connections that they share by transaction. No I/O.

A statement is its text and its parameters' types. A client names it as it likes; on servers it has one name of ours
that follows from text and types alone, so that two clients with one name and two texts never meet, and two clients with
one text share. It is prepared on whatever connection it is needed on, and forgotten there when room is needed (least
recently used first). A connection that was replaced starts with nothing; so nothing is ever run that was not prepared
there, by this text.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash


class StatementError(ValueError):
    """A client's fault; ``state`` is the SQLSTATE to answer with."""

    def __init__(self, state: str, reason: str) -> None:
        super().__init__(reason)
        self.state = state


@dataclass(slots=True, frozen=True)
class Bound:
    """One statement: its text, its parameters' type numbers, and its name on servers."""

    text: str
    types: tuple[int, ...]
    name: str


@dataclass(slots=True, frozen=True)
class Prepare:
    """What must go to a connection before a statement can run there."""

    statement: Bound | None  # None: it is there already
    close: tuple[str, ...] = ()  # names on the server to be closed first


@dataclass(slots=True)
class Client:
    """A client's names. The unnamed statement is one of them."""

    names: dict[str, Bound] = field(default_factory=dict)


@dataclass(slots=True)
class Connection:
    """What is prepared on one server connection, least recently used first."""

    held: OrderedDict[str, Bound] = field(default_factory=OrderedDict)
    pending: dict[str, Bound] = field(default_factory=dict)  # sent and not yet answered
    closing: dict[str, Bound] = field(default_factory=dict)  # sent to be closed, and not yet answered


class Statements:
    """Decides what is prepared where."""

    def __init__(self, most_on_connection: int = 500, most_of_client: int = 10_000) -> None:
        if most_on_connection < 1 or most_of_client < 1:
            raise ValueError("bounds must be positive")
        self._most, self._most_named = most_on_connection, most_of_client
        self.hits = self.prepared = self.evicted = 0

    # What clients do

    def parse(self, client: Client, name: str, text: str, types: tuple[int, ...] = ()) -> Bound:
        """A client prepares a statement. Raises ``StatementError`` if the name is taken or there are too many."""
        if name and name in client.names:  # only the unnamed statement may be replaced (protocol, "Parse")
            raise StatementError("42P05", f'prepared statement "{name}" already exists')
        if len(client.names) >= self._most_named and name not in client.names:
            raise StatementError("53400", f"more than {self._most_named} prepared statements")
        made = Bound(text, types, server_name(text, types))
        client.names[name] = made
        return made

    def find(self, client: Client, name: str) -> Bound:
        """A client's statement. Raises ``StatementError`` if it has none of that name."""
        if (found := client.names.get(name)) is None:
            raise StatementError("26000", f'prepared statement "{name}" does not exist')
        return found

    def close(self, client: Client, name: str) -> None:
        """A client is done with a name; that of one it never had is no error."""
        client.names.pop(name, None)

    def forget_all(self, client: Client) -> None:
        """DEALLOCATE ALL, DISCARD ALL."""
        client.names.clear()

    # What goes to servers

    def need(self, connection: Connection, statement: Bound) -> Prepare:
        """What to send before a statement runs on a connection; it counts as sent."""
        if statement.name in connection.held:
            connection.held.move_to_end(statement.name)
            self.hits += 1
            return Prepare(None)
        if statement.name in connection.pending:  # earlier in the same pipeline
            self.hits += 1
            return Prepare(None)
        close: list[str] = []
        while len(connection.held) + len(connection.pending) >= self._most and connection.held:
            name, oldest = connection.held.popitem(last=False)
            connection.closing[name] = oldest
            close.append(name)
        self.evicted += len(close)
        self.prepared += 1
        connection.pending[statement.name] = statement
        return Prepare(statement, tuple(close))

    def ready(self, connection: Connection, name: str) -> None:
        """The server has prepared it."""
        if (statement := connection.pending.pop(name, None)) is not None:
            connection.held[name] = statement

    def closed(self, connection: Connection, name: str) -> None:
        """The server has closed it."""
        connection.closing.pop(name, None)

    def failed(self, connection: Connection) -> None:
        """An error ended a pipeline: what was sent after it was skipped, neither prepared nor closed."""
        connection.pending.clear()
        for name, statement in reversed(connection.closing.items()):
            connection.held[name] = statement
            connection.held.move_to_end(name, last=False)
        connection.closing.clear()

    def changed(self, connection: Connection, name: str) -> str:
        """The server says that a statement's result changed (a table was altered): it is closed and prepared anew.

        Returns the name to close there.
        """
        connection.held.pop(name, None)
        return name

    def reset(self, connection: Connection) -> None:
        """The session lost all it had: DISCARD ALL, DEALLOCATE ALL."""
        connection.held.clear()
        connection.pending.clear()
        connection.closing.clear()


def server_name(text: str, types: tuple[int, ...]) -> str:
    """A statement's name on servers: 128 bits of text and types."""
    hasher = xxhash.xxh3_128(text.encode("utf-8", "surrogateescape"))
    hasher.update(b"\0" + ",".join(map(str, types)).encode())
    return f"yb_{hasher.hexdigest()}"
