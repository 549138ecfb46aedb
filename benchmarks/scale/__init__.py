"""Growth of the program's costs with the size of the deployment, and a whole fleet on a virtual clock.

``python -m benchmarks.scale`` measures every line at several sizes, each size in separate processes, fits a growth law to
each value and writes a table and a chart per line under ``docs/measurements/scale``. Sizes that have stored results are
skipped unless ``--again`` is given, so that an interrupted run can be continued.
"""
