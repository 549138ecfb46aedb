"""Types of the decision module: settings, events and actions. Nothing here decides anything.

Times and durations are integer nanoseconds. A log position is the clock time up to which a server has
applied every commit. Events go into ``Router.handle``; actions come out of it.
"""

from yardbank.interface.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    Probe,
    Refuse,
    Send,
    SetTimer,
    Subscribe,
)
from yardbank.interface.events import (
    NEVER_RAN,
    Deadline,
    Event,
    Gone,
    Hearsay,
    Marked,
    Member,
    Outcome,
    Probed,
    Report,
    Request,
    Restored,
    ServerList,
    Started,
    Timer,
    Ways,
)
from yardbank.interface.settings import (
    RequestClass,
    Role,
    Settings,
)

__all__ = [
    "NEVER_RAN",
    "Action",
    "Cancel",
    "CloseIdle",
    "Deadline",
    "Event",
    "Fail",
    "Gone",
    "Hearsay",
    "Marked",
    "Member",
    "Outcome",
    "Probe",
    "Probed",
    "Refuse",
    "Report",
    "Request",
    "RequestClass",
    "Restored",
    "Role",
    "Send",
    "ServerList",
    "SetTimer",
    "Settings",
    "Started",
    "Subscribe",
    "Timer",
    "Ways",
]
