"""Coverage-guided fuzzing of the LDAP codec (atheris): python fuzz/ldap_codec.py fuzz/corpus -runs=1000000.

Every input must be decoded or rejected with ``BerError``; a decoded message must survive encoding and decoding.
"""

from __future__ import annotations

import sys

import atheris

with atheris.instrument_imports():
    from yardbank.ldap import codec
    from yardbank.ldap.ber import BerError
    from yardbank.ldap.state import ServerEnd


def check_input(data: bytes) -> None:
    """Check one input."""
    ServerEnd().receive(data)
    try:
        message = codec.decode(data)
    except BerError:
        return
    assert codec.decode(codec.encode(message)) == message


if __name__ == "__main__":
    atheris.Setup(sys.argv, check_input)
    atheris.Fuzz()
