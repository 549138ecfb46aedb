"""Protocol-independent LDAP definitions: distinguished names, search scopes and result codes. No I/O."""
