"""Session tokens: the log position that each session's reads must see."""

from collections import OrderedDict

from yardbank import interface as api

MAX_CLOCK_AHEAD = 1_000_000_000  # ns; a server's clock may run ahead of the gateway's by so much
MAX_TOKENS = 5000  # the oldest fold into their group's floor, so that memory stays bounded


class SessionTokens:
    """The log position of each session's last write, and a floor for every session of a group.

    Owns: tokens and floors. Written by the router only: after a write's answer, and after a restart.
    Bound: ``MAX_TOKENS`` tokens and one floor a group.
    Invariants: a session's token never falls while it is kept; a token that is dropped raises its group's floor to
    at least itself, so that no read is ever let go earlier than by the token. A token lies no further ahead of the
    clock than ``MAX_CLOCK_AHEAD``: no write can have committed later, and no replica would reach it.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._carried = settings.tokens == api.TokenMode.CARRIED
        self.tokens: OrderedDict[str, tuple[int, int]] = OrderedDict()  # by session: position, group
        self.floors: dict[int, int] = {}  # by group: every session's token is at least this
        self.positions_ahead = 0  # of writes, that servers reported beyond what their clocks may run ahead

    def position_for(self, now: int, request: api.Request) -> int:
        """The log position that a session's read must see; 0: any."""
        if self._carried:
            return now - request.since_write if request.since_write else 0
        token, _ = self.tokens.get(request.session, (0, 0)) if request.session is not None else (0, 0)
        return max(token, self.floors.get(request.group, 0))

    def on_write(self, now: int, request: api.Request, position: int) -> None:
        """A write of a session has committed at a position, as its server says."""
        latest = now + MAX_CLOCK_AHEAD
        if position > latest:
            self.positions_ahead += 1
            position = latest
        if not request.session:
            return
        earlier, _ = self.tokens.pop(request.session, (0, 0))
        self.tokens[request.session] = max(position, earlier), request.group
        if len(self.tokens) > MAX_TOKENS:
            _, (oldest, group) = self.tokens.popitem(last=False)
            self.raise_floor(group, oldest)

    def raise_floor(self, group: int, position: int) -> None:
        """Every session's token in a group is at least a position from now on."""
        self.floors[group] = max(position, self.floors.get(group, 0))
