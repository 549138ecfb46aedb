"""A change of settings or of the program that goes through the fleet in stages, and stops by itself when it does worse.

Nobody leads. Each gateway works out alike who goes when, hears the figures of a few, judges for itself, and moves only
itself. What others say is evidence: of one alone it never moves anybody, at worst it makes them wait.
"""
