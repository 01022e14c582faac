"""Daily operation: the operators' line, and draining clients and accepting them again."""

import socket
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfront.node import operators_line
from millfront.node.drain import ACCEPT_PERIOD_US, IDLE_CLOSE_DELAY_US, Drain, Reason
from tests.peers import TEST_TIMEOUT_S, Peer, answer, read_message, request, running_node, status
from tests.test_config import good, started

HEALTH = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}


@given(st.lists(st.tuples(st.sampled_from(["on", "off", "end"]), st.integers(0, 900_000))))
def test_reasons_come_and_go_but_for_the_end(calls: list[tuple[str, int]]) -> None:
    drain, now, held, ended, since = Drain(), 1, False, 0, 0
    for call, later in calls:
        now += later
        if call == "on":
            since = since if held or ended else now
            drain.add_reason(Reason.OPERATORS, now)
            held = True
        elif call == "end":
            since = since if held or ended else now
            ended = ended or now
            drain.add_reason(Reason.END, now)
        else:
            drain.remove_reason(Reason.OPERATORS)
            held = False
        away = held or ended > 0
        assert drain.accepts_clients is not away and drain.ending is (ended > 0)
        assert drain.closes_after_response(now) is (away and now >= since + ACCEPT_PERIOD_US)
        assert drain.closes_idle(now) is (away and now >= since + ACCEPT_PERIOD_US + IDLE_CLOSE_DELAY_US)
        assert drain.stops_accepting(now) is (
            ended > 0 and now >= ended + ACCEPT_PERIOD_US + IDLE_CLOSE_DELAY_US
        )
    with pytest.raises(ValueError, match="for good"):
        drain.remove_reason(Reason.END)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("said", "answered"),
    [
        (b"check\n", b"SUCCESS serves\n"),
        (b"check\r\n", b"SUCCESS serves\n"),
        (b"check\nmore", b"SUCCESS serves\n"),
        (b"\n", b"FAILURE '' is not a call"),
        (b"Check\n", b"FAILURE 'Check' is not a call"),
        (b"che\xe9ck\n", b"FAILURE a call is in ASCII"),
        (b"c" * 300, b"FAILURE a call has fewer than 256 bytes"),
    ],
)
async def test_a_call_is_one_line_and_so_is_its_answer(said: bytes, answered: bytes) -> None:
    async with running_node(Peer()) as on:
        got = await on.call_admin(said)
    assert got.startswith(answered) and got.endswith(b"\n") and got.count(b"\n") == 1


@pytest.mark.anyio
async def test_silent_callers_do_not_block_others(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operators_line, "CALLER_TIMEOUT_S", 0.3)
    async with running_node(Peer()) as on:
        host, _, port = on.admin_address.rpartition(":")
        silent = [await anyio.connect_tcp(host, int(port)) for _ in range(2 * operators_line.MAX_CALLERS)]
        await silent[-1].send(b"che")
        assert await on.call_admin(b"check\n") == b"SUCCESS serves\n"
        await silent[-1].send(b"ck\n")
        assert await silent[-1].receive() == b"SUCCESS serves\n"
        with anyio.fail_after(TEST_TIMEOUT_S):
            for stream in silent[:-1]:
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
        async with await anyio.connect_tcp(host, int(port)) as half:
            await half.send(b"che")
            await half.send_eof()
            assert (await half.receive()).startswith(b"FAILURE")


@pytest.mark.anyio
async def test_check_fails_until_a_pool_member_is_known() -> None:
    async with running_node() as on:
        assert await on.call_admin(b"check\n") == b"FAILURE no pool member is known yet\n"


@pytest.mark.anyio
async def test_a_drain_closes_clients_and_accepts_them_again() -> None:
    finish = anyio.Event()

    async def slow(stream: Any) -> None:
        await finish.wait()
        await answer(200, b"slow")(stream)

    member = Peer(answer(200, b"first"), slow)
    async with running_node(member) as on, await on.client() as idle_client, await on.client() as waiting:
        assert b"Connection: close" not in await on.ask(request(), idle_client)
        await waiting.send(request())
        await member.wait_until(lambda peer: len(peer.seen) == 2)
        for call in (b"drain-on\n", b"drain-off\n", b"drain-on\n", b"drain-on\n"):
            assert (await on.call_admin(call)).startswith(b"SUCCESS")
        assert status(await on.ask(HEALTH)) == 503
        assert status(await on.ask(request())) == 200  # the load balancer still sends connections
        with anyio.fail_after(TEST_TIMEOUT_S), pytest.raises(anyio.EndOfStream):
            await idle_client.receive()
        finish.set()
        with anyio.fail_after(TEST_TIMEOUT_S):
            last = await read_message(waiting)
            assert status(last) == 200 and b"Connection: close" in last
            async with await on.client() as idle:  # sends nothing while clients are drained
                with pytest.raises(anyio.EndOfStream):
                    await idle.receive()
        assert await on.call_admin(b"check\n") == b"SUCCESS serves; clients are sent away\n"
        assert (await on.call_admin(b"drain-off\n")).startswith(b"SUCCESS")
        assert status(await on.ask(HEALTH)) == 200
        with anyio.fail_after(TEST_TIMEOUT_S):
            while on.node.server.closing:
                await anyio.sleep(0.01)
        async with await on.client() as again:
            assert b"Connection: close" not in await on.ask(request(), again)
            await on.call_admin(b"drain-on\n")
            on.node.stop()
            assert (await on.call_admin(b"drain-off\n")).startswith(b"FAILURE")
            assert status(await on.ask(request(), again)) == 200  # accepted until the load balancer notices
        with anyio.fail_after(TEST_TIMEOUT_S):
            await on.ended.wait()


@pytest.mark.anyio
async def test_connections_pending_when_the_listener_closes_are_served() -> None:
    async with running_node(Peer()) as on:
        host, _, port = on.address.rpartition(":")
        # Connected before the event loop runs again
        waiting = [socket.create_connection((host, int(port))) for _ in range(40)]
        on.node.server.stop_accepting()
        for sock in waiting:
            async with await anyio.abc.SocketStream.from_socket(sock) as stream:
                assert status(await on.ask(request(), stream)) == 200


def test_the_second_address_of_the_environment_wins_and_one_in_use_is_named(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        process = started(tmp_path, good() | {"admin_addr": "127.0.0.1:0"}, NODE_ADMIN_ADDR=address)
        _, errors = process.communicate(timeout=20)
    assert process.returncode == 2
    assert f"admin_addr: {address}" in errors and "Traceback" not in errors
    process = started(tmp_path, good() | {"admin_addr": "nowhere"})
    assert "admin_addr: 'nowhere'" in process.communicate(timeout=20)[1]
    assert process.returncode == 2
