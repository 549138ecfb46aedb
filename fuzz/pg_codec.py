"""Coverage-guided fuzzing of the PostgreSQL codec, connections and classifier: python fuzz/pg_codec.py -runs=100000.

Every input must be decoded or end in a single ``Broken`` event; a decoded message must survive encoding and decoding.
"""

from __future__ import annotations

import sys

import atheris

with atheris.instrument_imports():
    from yardbank.pg import messages as pg
    from yardbank.pg.classify import Classifier, Kind
    from yardbank.pg.state import Broken, ServerEnd
    from yardbank.pg.wire import Framer, WireError

CLASSIFIER = Classifier()


def check_input(data: bytes) -> None:
    """Check one input."""
    events = ServerEnd().receive(data)
    assert sum(isinstance(event, Broken) for event in events) <= 1
    try:
        for frame in Framer(1 << 16).feed(data):
            message = pg.decode_client(frame)
            assert pg.decode_client(pg.encode_client(message)) == message
            if isinstance(message, pg.Query):
                assert CLASSIFIER.of(message.text).kind in Kind
    except WireError:
        return


if __name__ == "__main__":
    atheris.Setup(sys.argv, check_input)
    atheris.Fuzz()
