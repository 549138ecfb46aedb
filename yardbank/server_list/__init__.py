"""The list of servers of one gateway: read from watched files, validated, and applied atomically."""

from yardbank.server_list.document import ServerListDocument, ServerListError, read_set
from yardbank.server_list.lifecycle import Apply, HoldBack, Reject, ServerListLifecycle

__all__ = ["Apply", "HoldBack", "Reject", "ServerListDocument", "ServerListError", "ServerListLifecycle", "read_set"]
