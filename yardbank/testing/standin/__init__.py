"""Stand-in directory servers: an emulated ordered log, copies that lag, faults on command."""
