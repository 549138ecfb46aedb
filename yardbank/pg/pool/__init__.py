"""Pooling of server connections for protocols with sessions. No I/O."""

from yardbank.pg.pool.statements import (
    ClientStatements,
    ConnectionStatements,
    Prepare,
    PreparedStatement,
    StatementError,
    Statements,
)

__all__ = ["ClientStatements", "ConnectionStatements", "Prepare", "PreparedStatement", "StatementError", "Statements"]
