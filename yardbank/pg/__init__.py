"""The PostgreSQL front's parts: wire codec, authentication and classes of statements, all free of I/O."""
