"""A new process beside the old one: what both hold together, and a start from any transferred state."""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfront import takeover
from millfront.choice import Gateway
from millfront.node.handover import Handover
from tests.test_choice import Bench
from tests.test_config import ROOT, good

PLANS = ["casual"]
MEMBERS = {0: "s-0", 1: "s-1", 2: "s-2"}


def served(requests: int) -> tuple[Bench, Gateway]:
    bench = Bench()
    for number in range(requests):
        bench.serve(customer=number % 5)
    return bench, bench.gateway


def load(gateway: Gateway, text: bytes, now: int) -> int:
    numbers = {name: number for number, name in MEMBERS.items()}
    return takeover.load_state(gateway, text, {"casual": 0}, numbers, now)


@given(st.integers(0, 30), st.integers(0, 3_000_000))
def test_both_together_hold_what_one_held(requests: int, later_us: int) -> None:
    bench, old = served(requests)
    before = {c.key: (c.bucket, c.ceiling, c.share, c.gateways) for c in old.customers.values()}
    takeover.halve_shares(old)
    text = takeover.dump_state(old, PLANS, MEMBERS)
    new = Bench().gateway
    assert load(new, text, bench.now) == len(before)
    later = bench.now + later_us
    for key, (bucket, ceiling, share, gateways) in before.items():
        halves = old.customers[key], new.customers[key]
        assert sum(c.bucket for c in halves) == pytest.approx(bucket)
        assert sum(c.ceiling for c in halves) == pytest.approx(ceiling)
        assert sum(c.share for c in halves) == pytest.approx(share)
        for gateway, customer in zip((old, new), halves, strict=True):
            gateway.refill(later, customer)
        assert sum(c.bucket for c in halves) <= halves[0].plan.burst / gateways + 1e-6
    takeover.restore_shares(new)
    takeover.restore_shares(new)
    assert [c.gateways for c in new.customers.values()] == [gateways for *_, gateways in before.values()]
    assert new.processes == 1


@given(st.data())
def test_whatever_was_told_a_start_follows(data: st.DataObject) -> None:
    bench, old = served(3)
    text = takeover.dump_state(old, PLANS, MEMBERS)
    state = json.loads(text)
    new = Bench().gateway
    replacement = data.draw(
        st.sampled_from([None, True, "x", [], {}, float("inf"), 7, [[1, "casual"]], {"s-0": [1]}])
    )
    field = data.draw(st.sampled_from(["version", "customers", "members", "window", "call_rate"]))
    broken = data.draw(
        st.one_of(
            st.binary(max_size=40),
            st.integers(0, len(text) - 1).map(lambda size: text[:size]),
            st.just(json.dumps(state | {field: replacement}).encode()),
        )
    )
    try:
        load(new, broken, bench.now)
    except takeover.InvalidState:
        assert not new.customers and new.processes == 1


def process(folder: Path, port: int, admin: int) -> subprocess.Popen[str]:
    file = folder / f"{admin}.json"
    document = good() | {"listen": f"127.0.0.1:{port}", "admin_addr": f"127.0.0.1:{admin}"}
    file.write_text(json.dumps(document))
    given = os.environ | {"NODE_CONFIG": str(file), "TMPDIR": str(folder)}
    command = [sys.executable, "-B", "-m", "millfront"]
    return subprocess.Popen(command, cwd=ROOT, env=given, stderr=subprocess.PIPE, text=True)


def wait_for_line(started: subprocess.Popen[str], said: str) -> str:
    assert started.stderr is not None
    return next((line for line in started.stderr if said in line), "")


def ports(count: int) -> list[int]:
    found = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    numbers = [int(sock.getsockname()[1]) for sock in found]
    for sock in found:
        sock.close()
    return numbers


def test_versions_follow_each_other_and_a_dead_one_is_survived(tmp_path: Path) -> None:
    port, *admins = ports(5)
    (tmp_path / "millfront-n0.sock").write_bytes(b"left over")
    first = process(tmp_path, port, admins[0])
    assert wait_for_line(first, "serves ")
    dies = process(tmp_path, port, admins[1])
    assert wait_for_line(dies, "takes over customers=0")
    assert wait_for_line(first, "a successor has come up")
    dies.kill()
    assert wait_for_line(first, "the successor has ended")
    second = process(tmp_path, port, admins[2])
    assert wait_for_line(second, "takes over") and wait_for_line(second, "serves ")
    first.send_signal(signal.SIGTERM)
    assert wait_for_line(second, "the predecessor has ended")
    assert first.wait(timeout=20) == 0
    third = process(tmp_path, port, admins[3])  # gets its state from the second
    assert wait_for_line(third, "takes over") and wait_for_line(third, "serves ")
    second.kill()
    assert wait_for_line(third, "the predecessor has ended")
    second.wait()  # until then the kernel may give connections to its listening socket, and reset them
    with socket.create_connection(("127.0.0.1", port), timeout=5) as client:
        client.sendall(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 200 OK")
    third.send_signal(signal.SIGTERM)
    assert third.wait(timeout=20) == 0
    for ended in (first, dies, second, third):
        assert ended.stderr is not None
        assert "Traceback" not in ended.stderr.read()
        ended.stderr.close()
        ended.wait()


@pytest.mark.anyio
async def test_a_folder_that_can_hold_no_socket_is_a_plain_start(tmp_path: Path) -> None:
    deep = tmp_path / ("x" * 100)
    deep.mkdir()
    handover = Handover(str(deep), "n0", lambda: b"", lambda: None)
    assert await handover.fetch_state() is None
    await handover.run()


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}
