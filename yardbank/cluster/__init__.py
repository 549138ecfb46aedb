"""What the gateways of one fleet do together; off unless the settings ask for it.

``peers`` knows the members and carries messages, ``lease`` grants what only one gateway may hold, ``channels``,
``rollout``, ``latency_map`` and ``list_distribution`` build on these two, and ``coordination`` makes the parts that the
settings name and joins them to the gateway.
"""
