"""What is decided about shared server connections of protocols with sessions. No I/O."""

from yardbank.pg.pool.statements import Bound, Client, Connection, Prepare, StatementError, Statements

__all__ = ["Bound", "Client", "Connection", "Prepare", "StatementError", "Statements"]
