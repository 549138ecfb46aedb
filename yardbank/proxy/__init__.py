"""The library's entry: one gateway with its listeners, made from settings, embedded in any Twisted process.

    proxy = Proxy(load(Path("gateway.hcl")), reactor)
    proxy.start()
    ...
    proxy.stop()

The daemon is this and a few signals; it adds nothing. ``proxy.py`` owns the gateway, the listeners and the optional
parts; ``lifecycle.py`` says in which order parts start and stop; ``reloading.py`` which settings a running gateway
cannot change; ``ldap_parts.py`` makes what LDAP needs from the settings.
"""

from yardbank.proxy.listening import listening_socket
from yardbank.proxy.proxy import Proxy

__all__ = ["Proxy", "listening_socket"]
