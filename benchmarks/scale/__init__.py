"""How the program's costs grow with the deployment: slopes by size, and a whole fleet on a virtual clock.

``python -m benchmarks.scale`` measures every line at several sizes, each size in processes of its own, fits a law to each
value and writes a table and a chart a line under ``docs/measurements/scale``. What was measured already is not measured
again unless it is asked for by name, so a run that was ended goes on where it was.
"""
