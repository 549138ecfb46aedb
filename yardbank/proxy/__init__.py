"""Entry point of the library: one gateway with its listeners, built from settings, to embed in a Twisted process.

    proxy = Proxy(load(Path("gateway.hcl")), reactor)
    proxy.start()
    ...
    proxy.stop()

The daemon adds only signal handling to this. ``proxy.py`` owns the gateway, the listeners and the optional parts;
``lifecycle.py`` defines the order in which parts start and stop; ``reloading.py`` defines which settings cannot change
at run time; ``ldap_parts.py`` builds the LDAP components from the settings.
"""

from yardbank.proxy.listening import listening_socket
from yardbank.proxy.proxy import Proxy

__all__ = ["Proxy", "listening_socket"]
