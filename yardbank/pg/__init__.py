"""PostgreSQL protocol: wire codec, authentication, statement classes and connection pooling, all without I/O."""
