"""Coverage-guided fuzzing of the PostgreSQL codec, connections, classes: python fuzz/pg_codec.py -runs=100000.

Whatever comes, it is read or ends in one break; what is read survives the way to bytes and back.
"""

from __future__ import annotations

import sys

import atheris

with atheris.instrument_imports():
    from yardbank.pg import messages as pg
    from yardbank.pg.classify import Classifier, Kind
    from yardbank.pg.state import Broken, ServerEnd
    from yardbank.pg.wire import Framer, WireError

CLASSES = Classifier()


def one(data: bytes) -> None:
    """Judge one input."""
    events = ServerEnd().receive(data)
    assert sum(isinstance(event, Broken) for event in events) <= 1
    try:
        for frame in Framer(1 << 16).feed(data):
            message = pg.decode_client(frame)
            assert pg.decode_client(pg.encode_client(message)) == message
            if isinstance(message, pg.Query):
                assert CLASSES.of(message.text).kind in Kind
    except WireError:
        return


if __name__ == "__main__":
    atheris.Setup(sys.argv, one)
    atheris.Fuzz()
