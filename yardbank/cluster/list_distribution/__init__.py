"""Replicates the server list to all gateways: one publisher, ordered and verified increments, a copy at each gateway.

Disabled unless the settings have a ``distribution`` block. Never imported by the ``run`` command of the platform.
"""
