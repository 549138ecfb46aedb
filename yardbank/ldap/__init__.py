"""LDAP (RFC 4511): codec without I/O, front, backend and classification."""
