"""Stand-in directory servers: an emulated commit log, lagging replicas, and faults on command."""
