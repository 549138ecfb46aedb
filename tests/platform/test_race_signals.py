"""Signals during the start and the end of the program, and clients that connect near its end."""

import os
import signal
import socket
import subprocess
import sys
import time

import orjson
import pytest

from tests.support.platform import CONFIG, READ, READY, START, query, service
from tests.support.platform_process import serving
from yardbank.testing.ports import free_port


def start_blocked(tmp_path, discovery):
    """Starts the program and blocks it while it reads its configuration: its process, the pipe, the content to write.

    The file is a pipe first and a regular file later, so that a reload reads another configuration than the start.
    """
    listen = f"127.0.0.1:{free_port()}"
    file, later = tmp_path / "config.json", tmp_path / "later.json"
    os.mkfifo(file)
    process = subprocess.Popen(
        [sys.executable, "-m", "yardbank.platform"],
        env={**os.environ, "NODE_CONFIG": str(file)},
        stderr=subprocess.PIPE,
    )
    pipe = os.open(file, os.O_WRONLY)  # returns once the program opens it for reading
    later.write_bytes(orjson.dumps({**CONFIG, "listen": listen, "discovery": f"127.0.0.1:{discovery}"}))
    later.rename(file)
    first = orjson.dumps({**CONFIG, "listen": listen, "discovery": "127.0.0.1:9"})
    return process, pipe, first


TERM, INT, HUP = signal.SIGTERM, signal.SIGINT, signal.SIGHUP


@pytest.mark.parametrize("numbers", [[HUP], [TERM], [INT], [HUP, TERM], [TERM, HUP], [TERM, TERM]], ids=str)
def test_signals_during_startup_are_handled_once_the_program_waits_for_its_first_list(tmp_path, numbers):
    with socket.create_server(("127.0.0.1", 0)) as agent:
        agent.settimeout(30)
        process, pipe, first = start_blocked(tmp_path, agent.getsockname()[1])
        try:
            for number in numbers:
                process.send_signal(number)
            os.write(pipe, first)
            os.close(pipe)
            if HUP in numbers:
                agent.accept()[0].close()  # discovery is at the address of the new configuration
            if numbers == [HUP]:
                process.send_signal(TERM)
            written = process.stderr.read()  # to its end, while discovery answers nothing
            assert process.wait(30) == 0
        finally:
            process.kill()
            process.wait()
    events = [orjson.loads(line)["event"] for line in written.splitlines()]
    assert events.index("view") < events.index("stop_asked") < events.index("ended") and "listening" not in events
    assert events.count("stop_asked") == 1 and events.count("reloaded") == numbers.count(HUP)


SIGNAL_AT_EXIT = """
import os, sys

class LastMoment:
    def __del__(self, kill=os.kill, own=os.getpid()):
        kill(own, {number})

sys.modules["last_moment"] = LastMoment()
"""


# Guards against a signal that kills the process during an orderly exit: its exit code then showed a crash.
@pytest.mark.parametrize("number", [TERM, INT, HUP], ids=str)
def test_a_signal_during_interpreter_shutdown_does_not_change_the_exit_code(tmp_path, monkeypatch, number):
    """The process sends itself the signal while modules are torn down, after its Python handlers were removed."""
    (tmp_path / "sitecustomize.py").write_text(SIGNAL_AT_EXIT.format(number=int(number)))
    monkeypatch.setenv("PYTHONPATH", str(tmp_path))
    process, _, _, _watch = serving(tmp_path)
    process.send_signal(TERM)
    log = process.stderr.read()
    assert process.wait(60) == 0 and b'"ended"' in log


HEAVY = ("twisted", "structlog", "msgspec", "zope", "yardbank.policy", "yardbank.interface", "yardbank.gateway")


@pytest.mark.parametrize("module", ["structlog", "twisted", "msgspec"])
def test_signal_handlers_are_installed_before_heavy_imports(tmp_path, module):
    """The first heavy module is replaced by one that checks the installed handlers."""
    (tmp_path / f"{module}.py").write_text(
        "import signal, sys\n"
        f"heavy = [name for name in sys.modules if name.startswith({HEAVY!r}) and name not in ({module!r}, 'yardbank')]\n"
        "handled = all(callable(signal.getsignal(n)) and signal.getsignal(n) is not signal.default_int_handler\n"
        "              for n in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))\n"
        "sys.exit(7 if handled else f'not handled, {heavy} loaded')\n"
    )
    path = os.pathsep.join([str(tmp_path), os.environ.get("PYTHONPATH", "")])
    ended = subprocess.run(
        [sys.executable, "-m", "yardbank.platform"],
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert ended.returncode == 7, ended.stderr.decode()


def test_the_decision_module_is_loaded_on_first_use():
    script = (
        "import sys, yardbank; assert 'yardbank.policy' not in sys.modules; from yardbank import Router, Settings;"
        "assert Router.__module__.startswith('yardbank.') and Settings.__name__ == 'Settings'"
    )
    subprocess.run([sys.executable, "-c", script], check=True, timeout=60)
    with pytest.raises(ImportError):
        from yardbank import nothing_of_the_kind  # noqa: F401


def test_a_reload_during_a_stop_moves_an_open_watch_but_opens_none_after_it_ended(tmp_path):
    made, reactor, log, file = service(tmp_path)
    environment = {"NODE_CONFIG": str(file)}

    def move(port):
        file.write_bytes(orjson.dumps({**CONFIG, "discovery": f"127.0.0.9:{port}"}))
        made.handle_signal(HUP, environment)

    made.handle_signal(TERM, environment)
    move(8501)
    assert reactor.tcpClients[-1][:2] == ("127.0.0.9", 8501)
    made.handle_signal(TERM, environment)
    reactor.advance(0.7)
    connects = len(reactor.tcpClients)
    move(8502)
    made.watcher.stop()
    assert len(reactor.tcpClients) == connects and ("reload_ignored", {"note": "the gateway is ending"}) in log.lines
    reactor.advance(5)
    assert len(reactor.tcpClients) == connects and reactor.stops == 1
    move(8503)
    assert len(reactor.tcpClients) == connects


def receive_answers(far, count):
    """Receives ``count`` final answers on one connection."""
    got = b""
    while got.count(READY) < count:
        more = far.recv(1 << 16)
        assert more, got
        got += more
    return got


@pytest.mark.parametrize("when", ["asked to stop", "due to drain"])
def test_requests_around_a_stop_signal_to_a_suspended_process_are_answered(tmp_path, when):
    """The process is suspended and resumed, so that signal, timers and client data are handled in one reactor turn."""
    process, port, lines, _watch = serving(tmp_path)
    clients = []
    try:
        for _ in range(8):
            clients.append(socket.create_connection(("127.0.0.1", port), timeout=30))
            clients[-1].sendall(START + query(""))
            assert receive_answers(clients[-1], 2)
        if when == "due to drain":
            process.send_signal(TERM)
            while b"stop_asked" not in lines[-1]:
                lines.append(process.stderr.readline())
        process.send_signal(signal.SIGSTOP)
        assert os.WIFSTOPPED(os.waitpid(process.pid, os.WUNTRACED)[1])
        for number, far in enumerate(clients):
            far.sendall(query(READ.replace("a1", f"b{number}")))
        if when == "due to drain":
            time.sleep(0.8)  # the timer is due meanwhile; sooner, the result is the same
        else:
            process.send_signal(TERM)
        late = [socket.create_connection(("127.0.0.1", port), timeout=30) for _ in range(4)]  # by the system
        for number, far in enumerate(late):
            far.sendall(START + query(READ.replace("a1", f"c{number}")))
        for number, far in enumerate(clients):
            far.sendall(query("") if number % 2 else query(READ.replace("a1", f"d{number}")))
        process.send_signal(signal.SIGCONT)
        for far in clients:
            assert b"C53300\0" in receive_answers(far, 2)
        for far in late:
            assert b"C53300\0" in receive_answers(far, 2)
        for far in (*clients, *late):
            assert far.recv(1000) == b""  # an orderly end and no reset
            far.close()
        lines += process.stderr.readlines()
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.wait()
    ended = orjson.loads(next(line for line in lines if b'"ended"' in line))
    assert ended["closed_unanswered"] == ended["failed_unsent"] == 0
