"""Golden tests: stored data and datagrams keep their octets, and octets written by version 0.2 keep their meaning."""
