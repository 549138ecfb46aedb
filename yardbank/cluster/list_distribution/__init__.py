"""Distribution of the list of servers: one publisher, ordered and verified increments, a copy at every gateway.

Off unless the settings have a ``distribution`` block; never imported by ``run`` of the operators' platform.
"""
