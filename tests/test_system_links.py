"""The control side's worst days: real processes, with doors on every link between them (the stories of
benchmarks/control_faults.py, which plays them at full length as well)."""

import random
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from benchmarks.control_faults import told_of
from millfront.rehearsal.links import Links
from millfront.rehearsal.system import free_ports

SOON = 0.3


@pytest.mark.parametrize("story", ["cut_off", "rivals", "second_loss", "many_changes"])
def test_a_worst_day_holds(story: str, tmp_path: Path) -> None:
    told = told_of(story, 1, True, tmp_path)
    assert not told.broken, told.line()


@pytest.fixture
def links() -> Iterator[Links]:
    made = Links(2, free_ports(1)[0], random.Random(1))
    made.open()
    yield made
    made.close()


def echoing(server: socket.socket) -> None:
    """One connection after the other, until the server closes."""
    while True:
        try:
            conn, _ = server.accept()
        except OSError:
            return
        with conn:
            try:
                while data := conn.recv(100):
                    conn.sendall(data)
            except OSError:
                pass


def test_a_door_cuts_resets_and_delays_one_pair_of_processes(links: Links) -> None:
    at, front = (links.behind(1), links.port), (links.front(1), links.port)
    with ExitStack() as held:
        server = held.enter_context(socket.create_server(at))
        held.callback(server.shutdown, socket.SHUT_RDWR)
        threading.Thread(target=echoing, args=[server], daemon=True).start()
        letters = [held.enter_context(socket.socket(type=socket.SOCK_DGRAM)) for _ in range(2)]
        for number, sock in enumerate(letters):
            sock.bind((links.behind(number), links.port))
            sock.settimeout(SOON)

        def dial() -> socket.socket:
            sock = held.enter_context(
                socket.create_connection(front, 5.0, source_address=(links.behind(0), 0))
            )
            sock.settimeout(SOON)
            return sock

        def answered(sock: socket.socket) -> bool:
            sock.sendall(b"a")
            try:
                return sock.recv(1) == b"a"
            except TimeoutError:
                return False

        def written() -> tuple[bytes, str] | None:
            """A message from 0, and what 1 sees as its sender's address."""
            letters[0].sendto(b"letter", front)
            try:
                data, back = letters[1].recvfrom(100)
            except TimeoutError:
                return None
            return data, back[0]

        line = dial()
        assert answered(line) and written() == (b"letter", links.front(0))
        letters[1].sendto(b"back", (links.front(0), links.port))
        assert letters[0].recv(100) == b"back"

        links.cut(0, keeps=True)
        assert not answered(line) and written() is None
        links.heal()
        assert line.recv(1) == b"a" and answered(line)  # held, and late

        links.cut(1, "out")  # what 1 says; it is still told
        assert not answered(line) and written() is not None
        line.settimeout(5.0)  # nobody acknowledged: 1's end is cut, and 0 finds out at the heal
        assert not answered_within(links, line)

        links.set([0], [1], "delay", delay_ms=150)
        line, began = dial(), time.monotonic()
        line.settimeout(5.0)
        assert answered(line) and 0.15 <= time.monotonic() - began < 3.0

        links.set([0], [1], "reset")
        assert not line_is_open(line) and written() is None
        with pytest.raises(OSError):  # on the connection, or on its first byte
            new = dial()
            new.settimeout(5.0)
            if not answered(new):
                raise ConnectionResetError
        links.heal()
        assert answered(dial()) and written() is not None

        with pytest.raises(OSError):  # a stranger: nobody knows whose link it would be
            stranger = held.enter_context(socket.create_connection(front, 5.0))
            if not line_is_open(stranger):
                raise ConnectionResetError


def line_is_open(sock: socket.socket) -> bool:
    sock.settimeout(5.0)
    try:
        sock.sendall(b"a")
        return sock.recv(1) != b""
    except OSError:
        return False


def answered_within(links: Links, line: socket.socket) -> bool:
    """What was said into a silence longer than a kernel bears does not come after it."""
    lost = links.between[1, 0]
    while not lost.lost:
        with pytest.raises(TimeoutError):
            line.settimeout(0.1)
            line.recv(1)
    links.heal()
    line.settimeout(5.0)
    try:
        return line.recv(1) != b""
    except OSError:
        return False
