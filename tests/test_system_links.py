"""Faults of the control plane on real processes with a proxy on every link between them: the scenarios of
benchmarks/control_faults.py, shortened."""

import random
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from benchmarks.control_faults import run_scenario
from millfront.rehearsal.links import Links
from millfront.rehearsal.system import free_ports

SOON = 0.3


@pytest.mark.parametrize("scenario", ["cut_off", "rivals", "second_loss", "many_changes"])
def test_the_rules_hold_in_a_shortened_fault_scenario(scenario: str, tmp_path: Path) -> None:
    verdict = run_scenario(scenario, 1, True, tmp_path)
    assert not verdict.broken, verdict.line()


@pytest.fixture
def links() -> Iterator[Links]:
    proxies = Links(2, free_ports(1)[0], random.Random(1))
    proxies.open()
    yield proxies
    proxies.close()


def echoing(server: socket.socket) -> None:
    """Echo on one connection after the other until the server is closed."""
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


def test_a_link_cuts_resets_and_delays_one_pair_of_processes(links: Links) -> None:
    at, front = (links.listen_ip(1), links.port), (links.advertised_ip(1), links.port)
    with ExitStack() as held:
        server = held.enter_context(socket.create_server(at))
        held.callback(server.shutdown, socket.SHUT_RDWR)
        threading.Thread(target=echoing, args=[server], daemon=True).start()
        sockets = [held.enter_context(socket.socket(type=socket.SOCK_DGRAM)) for _ in range(2)]
        for number, sock in enumerate(sockets):
            sock.bind((links.listen_ip(number), links.port))
            sock.settimeout(SOON)

        def connect() -> socket.socket:
            sock = held.enter_context(
                socket.create_connection(front, 5.0, source_address=(links.listen_ip(0), 0))
            )
            sock.settimeout(SOON)
            return sock

        def answered(sock: socket.socket) -> bool:
            sock.sendall(b"a")
            try:
                return sock.recv(1) == b"a"
            except TimeoutError:
                return False

        def datagram_received() -> tuple[bytes, str] | None:
            """Send a datagram from 0; returns it and the sender's address as 1 sees it."""
            sockets[0].sendto(b"letter", front)
            try:
                data, back = sockets[1].recvfrom(100)
            except TimeoutError:
                return None
            return data, back[0]

        line = connect()
        assert answered(line) and datagram_received() == (b"letter", links.advertised_ip(0))
        sockets[1].sendto(b"back", (links.advertised_ip(0), links.port))
        assert sockets[0].recv(100) == b"back"

        links.cut(0, keep_open=True)
        assert not answered(line) and datagram_received() is None
        links.heal()
        assert line.recv(1) == b"a" and answered(line)  # held during the cut and delivered late

        links.cut(1, "out")  # what 1 sends; it still receives
        assert not answered(line) and datagram_received() is not None
        line.settimeout(5.0)  # unacknowledged: 1's end is cut, and 0 notices at the heal
        assert not answered_within(links, line)

        links.set([0], [1], "delay", delay_ms=150)
        line, began = connect(), time.monotonic()
        line.settimeout(5.0)
        assert answered(line) and 0.15 <= time.monotonic() - began < 3.0

        links.set([0], [1], "reset")
        assert not line_is_open(line) and datagram_received() is None
        with pytest.raises(OSError):  # on connecting, or on the first byte
            new = connect()
            new.settimeout(5.0)
            if not answered(new):
                raise ConnectionResetError
        links.heal()
        assert answered(connect()) and datagram_received() is not None

        with pytest.raises(OSError):  # an unknown source address belongs to no link
            unknown = held.enter_context(socket.create_connection(front, 5.0))
            if not line_is_open(unknown):
                raise ConnectionResetError


def line_is_open(sock: socket.socket) -> bool:
    sock.settimeout(5.0)
    try:
        sock.sendall(b"a")
        return sock.recv(1) != b""
    except OSError:
        return False


def answered_within(links: Links, line: socket.socket) -> bool:
    """Data sent during a cut longer than the kernel's timeout must not arrive after it."""
    link = links.between[1, 0]
    while not link.lost:
        with pytest.raises(TimeoutError):
            line.settimeout(0.1)
            line.recv(1)
    links.heal()
    line.settimeout(5.0)
    try:
        return line.recv(1) != b""
    except OSError:
        return False
