"""Session tokens: the log position that each session's reads must see."""

from collections import OrderedDict

from yardbank import interface as api

MAX_CLOCK_AHEAD = 1_000_000_000  # ns; greatest amount by which a server's clock may run ahead of the gateway's
MAX_TOKENS = 5000  # beyond this the oldest are merged into their group's floor, so that memory stays bounded


class SessionTokens:
    """The log position of each session's last write, and a floor for every session of a group.

    Owns: tokens and floors. Written by the router only: after a write's answer, and after a restart.
    Bound: ``MAX_TOKENS`` tokens, and one floor per group.
    Invariants: a stored session token never decreases; dropping a token raises its group's floor to at least that
    token, so that no read is ever allowed earlier than the token would allow it. A token is at most ``MAX_CLOCK_AHEAD``
    ahead of the clock: no write can have committed later, and no replica would reach such a position.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._carried = settings.tokens == api.TokenMode.CARRIED
        self.tokens: OrderedDict[str, tuple[int, int]] = OrderedDict()  # by session: (position, group)
        self.floors: dict[int, int] = {}  # by group: every session's token is at least this
        self.positions_ahead = 0  # number of writes whose reported position exceeded ``MAX_CLOCK_AHEAD``

    def position_for(self, now: int, request: api.Request) -> int:
        """Return the log position that a session's read must see; 0 means any."""
        if self._carried:
            return now - request.since_write if request.since_write else 0
        token, _ = self.tokens.get(request.session, (0, 0)) if request.session is not None else (0, 0)
        return max(token, self.floors.get(request.group, 0))

    def on_write(self, now: int, request: api.Request, position: int) -> None:
        """Record that a session's write committed at a position reported by its server."""
        latest = now + MAX_CLOCK_AHEAD
        if position > latest:
            self.positions_ahead += 1
            position = latest
        if not request.session:
            return
        previous, _ = self.tokens.pop(request.session, (0, 0))
        self.tokens[request.session] = max(position, previous), request.group
        if len(self.tokens) > MAX_TOKENS:
            _, (oldest, group) = self.tokens.popitem(last=False)
            self.raise_floor(group, oldest)

    def raise_floor(self, group: int, position: int) -> None:
        """Make every session's token in a group at least ``position`` from now on."""
        self.floors[group] = max(position, self.floors.get(group, 0))
