"""Parsing of the configuration and of discovery's server lists."""

import orjson
import pytest

from tests.support.platform import CONFIG, ENTRY, ENV
from yardbank.gateway import ServerSpec
from yardbank.gateway.api import SECOND
from yardbank.platform.config import (
    Address,
    PlatformError,
    load_config,
    read_address,
    read_config,
    specs,
)
from yardbank.platform.listing import MAX_ENTRIES, ListingError, parse_listing


def parse_instances(*instances, **more):
    return parse_listing(orjson.dumps({"generation": 41, "instances": instances} | more))


def test_a_list_is_parsed_into_server_specs():
    got = parse_instances(
        ENTRY,
        {**ENTRY, "instanceId": "s-2", "lifecycle": "Terminating", "part": "replica"},
        {"instanceId": "s-3", "lifecycle": "Gone"},
    )
    assert got.generation == 41 and got.reset
    assert got.entries["s-1"] == ServerSpec("s-1", "3", "a", "127.0.0.1", 6432, True, "ready", 1.5)
    assert got.entries["s-2"].state == "draining" and not got.entries["s-2"].primary
    assert got.entries["s-3"] is None and [spec.name for spec in specs(got)] == ["s-1", "s-2"]


@pytest.mark.parametrize(
    ("key", "wrong"),
    [
        ("instanceId", 7),
        ("instanceId", ""),
        ("hostPort", "nowhere"),
        ("hostPort", "h:0"),
        ("hostPort", "h:99999"),
        ("hostPort", 8),
        ("hostPort", "h:\u0664"),
        ("lifecycle", "Lost"),
        ("lifecycle", None),
        ("lifecycle", ["Gone"]),
        ("zone", 1),
        ("zone", None),
        ("cell", "x"),
        ("cell", True),
        ("cell", 3.0),
        ("cell", None),
        ("weight", "heavy"),
        ("weight", True),
        ("startedAtMs", "then"),
        ("startedAtMs", -1),
        ("startedAtMs", True),
    ],
)
def test_a_list_error_names_entry_and_field(key, wrong):
    with pytest.raises(ListingError, match=rf"^instances\[1\]\.{key}: "):
        parse_instances(ENTRY, {**ENTRY, "instanceId": "b", key: wrong})
    for missing in ("instanceId", "hostPort"):
        with pytest.raises(ListingError, match=rf"^instances\[0\]\.{missing}: missing"):
            parse_instances({name: held for name, held in ENTRY.items() if name != missing})


@pytest.mark.parametrize(
    ("change", "started"),
    [
        ({"weight": None}, 1.5),
        ({"weight": 0}, 1.5),
        ({"weight": -2.5}, 1.5),
        ({"weight": 7}, 1.5),
        ({"part": 5}, 1.5),
        ({"startedAtMs": None}, 0),
        ({"startedAtMs": 0}, 0),
        ({"startedAtMs": 2500.5}, 2.5005),
        ({"more": {"a": [1]}}, 1.5),
        ({"hostPort": "[::1]:06432"}, 1.5),
    ],
)
def test_optional_and_unknown_list_fields_are_accepted(change, started):
    got = parse_instances({**ENTRY, **change}, more=None).entries["s-1"]
    assert got.started == started and got.port == 6432
    bare = parse_instances({"instanceId": "b", "hostPort": "h:1"}).entries["b"]
    assert bare == ServerSpec("b", "0", "", "h", 1, False, "ready", 0.0)
    gone = parse_instances(
        {"instanceId": "b", "lifecycle": "Gone", "hostPort": 7, "cell": None, "startedAtMs": -1}, reset=False
    )
    assert gone.entries == {"b": None} and not gone.reset


def test_duplicate_servers_and_malformed_lists_are_rejected():
    for wrong, name in (
        ({"instances": [ENTRY, ENTRY]}, "twice"),
        ([], "object"),
        ({"instances": 3}, "instances"),
        ({}, "instances"),
        ({"instances": [], "generation": "x"}, "generation"),
        ({"instances": [], "reset": 1}, "reset"),
        ({"instances": [], "generation": None}, "generation"),
        ({"instances": [1]}, r"instances\[0\]"),
        ({"instances": [{"lifecycle": "Gone", "instanceId": 4}]}, r"instances\[0\]\.instanceId"),
        ({"instances": [ENTRY] * (MAX_ENTRIES + 1)}, "more than"),
    ):
        with pytest.raises(ListingError, match=name):
            parse_listing(orjson.dumps(wrong))
    for noise in (
        b"{",
        b"",
        b"nonsense",
        b'{"instances":[]}x',
        b'{"instances":["\xff"]}',
        b'{"instances":[{"instanceId":"\xff"}]}',
    ):
        with pytest.raises(ListingError):
            parse_listing(noise)


def test_the_configuration_is_parsed(tmp_path):
    file = tmp_path / "config.json"
    file.write_bytes(orjson.dumps(CONFIG))
    config = load_config({"NODE_CONFIG": str(file)})
    assert config.listen == Address("127.0.0.4", 6432) and config.discovery.port == 8500
    assert config.settings.seed == 0x8C1F30D27A5BE964 and config.settings.checks == "refuse"
    assert (config.sockets, config.memory_mb, config.idle_close) == (256, 64, 20 * SECOND)
    assert list(config.known.entries) == ["s-1"]


@pytest.mark.parametrize(
    ("change", "name"),
    [
        ({"seed": "zz"}, "seed"),
        ({"seed": 7}, "seed"),
        ({"listen": "here"}, "listen"),
        ({"discovery": 4}, "discovery"),
        ({"settings": None}, "settings"),
        ({"limits": {"sockets": 8}}, r"limits\.sockets"),
        ({"limits": {"sockets": 512.0}}, r"limits\.sockets"),
        ({"limits": 3}, "limits"),
        ({"name": 3}, "name"),
        ({"limits": {"memory_mb": "x"}}, r"limits\.memory_mb"),
        ({"known": []}, "known"),
        ({"known": {"instances": [{}]}}, r"known: instances\[0\]\.instanceId"),
        ({"settings": {**ENV, "services": []}}, "settings: .*classes"),
        ({"settings": {**ENV, "ceilings": {"idle_close": 1.5}}}, r"settings\.ceilings\.idle_close"),
    ],
)
def test_a_configuration_error_names_file_and_field(tmp_path, change, name):
    file = tmp_path / "config.json"
    file.write_bytes(orjson.dumps({**CONFIG, **change}))
    with pytest.raises(PlatformError, match=rf"config\.json: {name}"):
        load_config({"NODE_CONFIG": str(file)})


def test_null_and_absent_configuration_fields_get_their_defaults():
    bare = {name: held for name, held in CONFIG.items() if name not in ("name", "limits", "known")}
    for document in (
        bare,
        {**CONFIG, "name": None, "limits": None, "known": None, "more": [1]},
        {**CONFIG, "name": None, "limits": {"sockets": None, "memory_mb": None}, "known": None},
    ):
        config = read_config(orjson.dumps(document))
        assert (config.name, config.sockets, config.memory_mb, config.known.entries) == ("", 1024, 128, {})
    assert read_config(orjson.dumps({**CONFIG, "limits": {"memory_mb": 96.5}})).memory_mb == 96
    for ceilings in (None, {}, {"idle_close": None}, {"idle_close": 0}):
        config = read_config(orjson.dumps({**CONFIG, "settings": {**ENV, "ceilings": ceilings or {}}}))
        assert config.idle_close == 30 * SECOND


def test_a_missing_or_malformed_configuration_is_rejected():
    with pytest.raises(PlatformError, match="NODE_CONFIG is not set"):
        load_config({})
    with pytest.raises(PlatformError, match="NODE_CONFIG"):
        load_config({"NODE_CONFIG": "/nowhere/at/all"})
    with pytest.raises(PlatformError, match="not JSON"):
        read_config(b"{")
    with pytest.raises(PlatformError, match="listen"):
        read_address("h:port", "listen")
