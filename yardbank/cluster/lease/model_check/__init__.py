"""Every order of events that a few gateways can meet, up to a bound, over the program's own deciders.

``world`` is the fleet and what may happen to it, ``scenes`` what is looked at, ``search`` goes through it breadth first
and keeps shortest counterexamples, ``bugs`` are faults put in to see that they are found.
"""
