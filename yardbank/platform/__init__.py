"""The operators' platform: one more entry and exit of the gateway, started by ``python -m yardbank.platform``.

It starts light: nothing here loads the LDAP front, the settings language, stores or solvers.
"""
