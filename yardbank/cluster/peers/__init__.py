"""Which gateways are there, and what they say of themselves. Deciders without I/O, and one thin UDP shell.

Off unless the settings have a ``peers`` block; the operators' platform never imports it.
"""


class PeersError(OSError):
    """The peers' part cannot start; the text is one plain fault."""
