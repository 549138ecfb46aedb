"""A demonstration under load and scripted faults, on loopback sockets."""
