"""Model checker of the lease protocol: explores every order of events of a few gateways, up to a bound.

It runs the state machines of the program itself. ``world`` has the fleet and the possible actions, ``scenes`` the
scenarios to explore, ``search`` the breadth-first search for shortest counterexamples, ``freeze`` the copies and keys
of states, ``bugs`` the faults that are injected to show that the search finds them.
"""
