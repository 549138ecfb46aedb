"""Golden tests: the encodings of stored data and datagrams are unchanged, and data of version 0.2 is still decoded."""
