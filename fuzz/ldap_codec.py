"""Coverage-guided fuzzing of the LDAP codec (atheris): python fuzz/ldap_codec.py fuzz/corpus -runs=1000000.

Whatever comes, it is read or refused with ``BerError``; what is read survives the way to bytes and back.
"""

from __future__ import annotations

import sys

import atheris

with atheris.instrument_imports():
    from yardbank.ldap import codec
    from yardbank.ldap.ber import BerError
    from yardbank.ldap.state import ServerEnd


def one(data: bytes) -> None:
    """Judge one input."""
    ServerEnd().receive(data)
    try:
        message = codec.decode(data)
    except BerError:
        return
    assert codec.decode(codec.encode(message)) == message


if __name__ == "__main__":
    atheris.Setup(sys.argv, one)
    atheris.Fuzz()
