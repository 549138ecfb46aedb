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
    ClientCancelled,
    Deadline,
    Event,
    GossipedOutliers,
    Member,
    Outcome,
    PositionGossiped,
    Probed,
    Report,
    Request,
    ServerList,
    Started,
    Timer,
    TokensLost,
    ZoneLatencies,
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
    "ClientCancelled",
    "CloseIdle",
    "Deadline",
    "Event",
    "Fail",
    "GossipedOutliers",
    "Member",
    "Outcome",
    "PositionGossiped",
    "Probe",
    "Probed",
    "Refuse",
    "Report",
    "Request",
    "RequestClass",
    "Role",
    "Send",
    "ServerList",
    "SetTimer",
    "Settings",
    "Started",
    "Subscribe",
    "Timer",
    "TokensLost",
    "ZoneLatencies",
]
