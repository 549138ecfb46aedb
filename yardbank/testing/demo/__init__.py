"""Load, experiments and the scripted bad day, on loopback sockets."""
