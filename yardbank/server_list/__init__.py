"""What a gateway knows of its fleet: watched files, checked, and applied whole or not at all."""

from yardbank.server_list.document import ServerListDocument, ServerListError, read_set
from yardbank.server_list.lifecycle import Apply, HoldBack, Reject, ServerListLifecycle

__all__ = ["Apply", "HoldBack", "Reject", "ServerListDocument", "ServerListError", "ServerListLifecycle", "read_set"]
