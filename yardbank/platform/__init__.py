"""Gateway front end and back end for the operators' platform, started by ``python -m yardbank.platform``.

It starts light: nothing here loads the LDAP front end, the settings language, stores or solvers.
"""
