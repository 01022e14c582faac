"""Bodies of any size and HTTP/1.1 in all forms, as seen by each peer."""

import socket
import time
from typing import Any
from unittest.mock import MagicMock

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from millfront import interface as api
from millfront.node import clients
from millfront.node.bodies import BODY_BUFFER_BYTES, BodySlots, Upload
from millfront.node.endings import Ending, ExchangeError
from millfront.node.host import Host
from millfront.node.http import MAX_BUFFERED_BODY_BYTES, MAX_STREAMED_BODY_BYTES
from millfront.node.stages.send import ServerSideFlow
from tests.peers import TEST_TIMEOUT_S, Peer, answer, read_message, request, running_node, sends, status

pytestmark = pytest.mark.anyio
LONG = bytes(range(256)) * 12 * 1024  # 3 MB


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}


def chunked(body: bytes, size: int = 50_000) -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x;a=b\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\nX-Trailer: 1\r\n\r\n"


def unchunked(data: bytes) -> bytes:
    body = b""
    while True:
        size, _, data = data.partition(b"\r\n")
        if not (length := int(size.partition(b";")[0], 16)):
            return body
        body, data = body + data[:length], data[length + 2 :]


async def read_chunked(stream: SocketStream) -> tuple[bytes, bytes]:
    data = b""
    while not data.endswith(b"0\r\n\r\n"):
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    return head, unchunked(body)


HEAD = b"HTTP/1.1 200 OK\r\n"
ANSWERS = [
    HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG) + LONG,
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(LONG),
    HEAD + b"Connection: close\r\n\r\n" + LONG,
]


@pytest.mark.parametrize("form", range(len(ANSWERS)))
async def test_a_long_answer_passes_on_unchanged_and_the_connection_goes_on(form: int) -> None:
    async def sends_response(stream: SocketStream) -> None:
        await stream.send(ANSWERS[form])
        if form == 2:
            await stream.aclose()

    member = Peer(sends_response, answer(200, b"page"))
    async with running_node(member) as running, await running.client() as client:
        with anyio.fail_after(TEST_TIMEOUT_S):
            await client.send(request())
            if form == 0:
                got = (await read_message(client)).partition(b"\r\n\r\n")[2]
            else:
                got = (await read_chunked(client))[1]
        assert got == LONG
        assert status(await running.ask(request(), client)) == 200
        assert running.node.body_slots.in_use == 0 and not running.node.host.open_requests
    assert member.connections == (2 if form == 2 else 1)


async def test_an_answer_to_http_1_0_ends_with_the_connection() -> None:
    async with running_node(Peer(sends(ANSWERS[1]))) as running, await running.client() as client:
        with anyio.fail_after(TEST_TIMEOUT_S):
            await client.send(request().replace(b" HTTP/1.1", b" HTTP/1.0"))
            got = b"".join([data async for data in client])
    assert got.partition(b"\r\n\r\n")[2] == LONG


async def test_a_slow_reader_holds_back_its_member_alone() -> None:
    sent = 0

    async def endless(stream: SocketStream) -> None:
        nonlocal sent
        one.script.clear()
        other.script.clear()
        await stream.send(HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_STREAMED_BODY_BYTES - 1))
        for _ in range(MAX_STREAMED_BODY_BYTES // 65536):
            await stream.send(b"x" * 65536)
            sent += 65536

    one, other = Peer(endless), Peer(endless)
    async with running_node(one, other) as running, await running.client() as slow:
        # On a busy machine the kernel lets the receive buffer of a client that reads nothing grow to 32 MB.
        slow.extra(SocketAttribute.raw_socket).setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 262_144)
        await slow.send(request())
        with anyio.fail_after(TEST_TIMEOUT_S):
            while not running.node.body_slots.in_use:
                await anyio.sleep(0.01)
            before = -1
            while before != sent:  # it stalls once the kernel's buffers are full
                before = sent
                await anyio.sleep(0.2)
        assert 0 < sent < MAX_STREAMED_BODY_BYTES // 2
        assert (
            0
            < running.node.server.buffer_budget.held
            <= running.node.server.buffer_budget.limit // 4 + BODY_BUFFER_BYTES
        )
        (connection,) = [c for c in running.node.server._connections if c.busy]
        assert isinstance(connection, clients.ClientConnection)
        assert connection.link.unsent <= running.node.server.buffer_budget.limit // 4 + BODY_BUFFER_BYTES
        for _ in range(3):
            assert status(await running.ask(request())) == 200
        await slow.aclose()
        with anyio.fail_after(TEST_TIMEOUT_S):
            while running.node.body_slots.in_use or running.node.host.open_requests:
                await anyio.sleep(0.01)
        assert running.node.server.buffer_budget.held == 0


async def test_a_slow_reader_within_the_buffer_budget_holds_no_member(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "RESPONSE_STALL_TIMEOUT_US", 200_000)
    member = Peer(sends(ANSWERS[0]))
    async with running_node(member) as running, await running.client() as slow:
        await slow.send(request())
        with anyio.fail_after(TEST_TIMEOUT_S):
            await member.wait_until(lambda peer: len(peer.seen) == 1)
            while running.node.host.open_requests or not running.node.members._idle:
                await anyio.sleep(0.01)
            running.node.stop()
            got = await slow.receive()
            while len(got) < len(LONG):
                await anyio.sleep(0.02)  # it reads slowly but steadily
                got += await slow.receive()
        assert got.endswith(LONG)


async def test_a_long_answer_cut_short_is_not_sent_again_and_shows() -> None:
    async def cut(stream: SocketStream) -> None:
        await stream.send(HEAD + b"Content-Length: 200000\r\n\r\n" + b"x" * 100_000)
        await stream.aclose()

    one, other = Peer(cut), Peer(cut)
    async with running_node(one, other) as running, await running.client() as client:
        with anyio.fail_after(TEST_TIMEOUT_S):
            await client.send(request())
            got = b""
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    got += await client.receive()
        assert status(got) == 200 and len(got) < 200_000
        assert len(one.seen) + len(other.seen) == 1
        assert running.node.body_slots.in_use == 0 and not running.node.host.open_requests


async def test_an_answer_without_a_length_is_not_held_back() -> None:
    go_on = anyio.Event()

    async def slow(stream: SocketStream) -> None:
        await stream.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
        await go_on.wait()
        await stream.send(b"4\r\nlast\r\n0\r\n\r\n")

    async with running_node(Peer(slow)) as running, await running.client() as client:
        await client.send(request())
        with anyio.fail_after(TEST_TIMEOUT_S):
            got = b""
            while b"first" not in got:
                got += await client.receive()
            go_on.set()
            while not got.endswith(b"4\r\nlast\r\n0\r\n\r\n"):
                got += await client.receive()


def upload(cls: str, body: bytes, form: str) -> bytes:
    head = request(cls).partition(b"\r\n\r\n")[0]
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
    if form == "length":
        return b"\r\n".join([*lines, b"Content-Length: %d" % len(body)]) + b"\r\n\r\n" + body
    return b"\r\n".join([*lines, b"Transfer-Encoding: chunked"]) + b"\r\n\r\n" + chunked(body)


class BodyReader(Peer):
    """Reads request bodies with Content-Length and chunked ones."""

    async def read(self, stream: SocketStream) -> bytes:
        data = await stream.receive()
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        if b"chunked" not in data.partition(b"\r\n\r\n")[0]:
            length = int(data.partition(b"Content-Length: ")[2].partition(b"\r\n")[0] or b"0")
            while len(data.partition(b"\r\n\r\n")[2]) < length:
                data += await stream.receive()
            return data
        while not data.endswith(b"\r\n0\r\n\r\n"):
            data += await stream.receive()
        head, _, body = data.partition(b"\r\n\r\n")
        return head + b"\r\n\r\n" + unchunked(body)


@pytest.mark.parametrize("form", ["length", "chunked"])
async def test_a_long_request_passes_on_unchanged_and_counts_from_its_last_byte(form: str) -> None:
    member = BodyReader()
    async with running_node(member) as running, await running.client() as client:
        data = upload("issue-buy", LONG, form).replace(b"Request-Timeout: 3000m", b"Request-Timeout: 700m")
        with anyio.fail_after(2 * TEST_TIMEOUT_S):
            began = time.monotonic()
            for at in range(0, len(data), len(data) // 5):
                await client.send(data[at : at + len(data) // 5])
                await anyio.sleep(0.25)
            assert time.monotonic() - began > 1.0  # longer than its time-out, which has not begun yet
            assert status(await read_message(client)) == 200
        assert member.seen[0].partition(b"\r\n\r\n")[2] == LONG
        assert status(await running.ask(request(), client)) == 200


@pytest.mark.parametrize("cls", ["issue-buy", "code-redeem"])
async def test_a_long_request_goes_out_once(cls: str) -> None:
    one, other = BodyReader(answer(500)), BodyReader(answer(500))
    async with running_node(one, other) as running:
        got = await running.ask(upload(cls, LONG, "length"))
    assert status(got) == (503 if cls == "issue-buy" else 502)
    assert len(one.seen) + len(other.seen) == 1


async def test_a_body_that_stops_coming_ends_its_own_request_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients, "REQUEST_READ_TIMEOUT_US", 300_000)
    member = BodyReader()
    async with running_node(member) as running, await running.client() as client:
        await client.send(upload("issue-buy", LONG, "length")[:200_000])
        with anyio.fail_after(TEST_TIMEOUT_S):
            assert status(await read_message(client)) == 408
            await member.wait_until(lambda peer: peer.closed == 1)
        assert not running.node.host.open_requests
        assert status(await running.ask(request())) == 200


async def test_a_response_before_the_end_of_the_body_is_forwarded() -> None:
    class Hasty(Peer):
        async def read(self, stream: SocketStream) -> bytes:
            return await stream.receive()

    early = Hasty(answer(503, b"", b"Not-Started: 1"))
    async with running_node(early) as running, await running.client() as client:
        await client.send(upload("issue-buy", LONG, "length")[:300_000])
        with anyio.fail_after(TEST_TIMEOUT_S):
            got = await read_message(client)
        assert status(got) == 503 and b"Connection: close" in got


@pytest.mark.parametrize(
    ("change", "expected_status"),
    [
        ((b"GET /", b"GET http://origin.svc/"), 200),
        ((b"Host: origin.svc", b"Host: origin.svc\r\nX-Fold: a\r\n  b"), 200),
        ((b" HTTP/1.1", b" HTTP/1.0"), 200),
        ((b"Host: origin.svc\r\n", b"Host : origin.svc\r\n"), 400),
        ((b"Host: origin.svc", b"Host: origin.svc\r\nContent-Length: 1\r\nContent-Length: 2"), 400),
        ((b"Host: origin.svc", b"Host: origin.svc\r\nTransfer-Encoding: gzip, chunked"), 501),
        ((b"Host: origin.svc", b"Host: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 70000"), 400),
        ((b"Host: origin.svc", b"Host: a\r\nContent-Length: %d" % (MAX_STREAMED_BODY_BYTES + 1)), 413),
    ],
)
async def test_every_form_is_read_one_way(change: tuple[bytes, bytes], expected_status: int) -> None:
    member = Peer()
    async with running_node(member) as running:
        assert status(await running.ask(request().replace(*change))) == expected_status
    if expected_status == 200:
        assert member.seen[0].startswith(b"GET /page-fetch/more/00000000b4d65521?a=%20b HTTP/1.1\r\n")


async def test_a_long_request_that_expects_100_continue_gets_it() -> None:
    member = BodyReader()
    async with running_node(member) as running, await running.client() as client:
        data = upload("issue-buy", LONG, "length").replace(b"\r\nHost", b"\r\nExpect: 100-continue\r\nHost")
        head, _, body = data.partition(b"\r\n\r\n")
        with anyio.fail_after(TEST_TIMEOUT_S):
            await client.send(head + b"\r\n\r\n")
            assert (await client.receive()).startswith(b"HTTP/1.1 100 ")
            await client.send(body)
            assert status(await read_message(client)) == 200
        assert member.seen[0].endswith(body)


async def test_an_upload_waits_for_the_next_connection() -> None:
    """Data that arrives between two connections must not go to the broken one: it would be missing later."""
    source, broken, again = MagicMock(), MagicMock(), MagicMock()
    upload_in_progress = Upload(source, None)
    opened = MagicMock(deadline_us=10**9)
    opened.arrival.message.upload = upload_in_progress
    send_stage = MagicMock()
    flow = ServerSideFlow(send_stage, opened, 0, api.Send(1, 1, 0), 0)
    flow.connection = broken
    upload_in_progress.attach(broken)
    flow.on_broken(ExchangeError(Ending.CONNECT_FAILED, retryable=True))
    send_stage.start_attempt.assert_called_once_with(flow)
    assert upload_in_progress.put(b"more", False) is False  # held; its client is not read any further
    upload_in_progress.attach(again)
    again.write_body.assert_called_once_with(b"more", False)
    broken.write_body.assert_not_called()


async def test_a_streamed_response_is_not_ended_by_another_attempt() -> None:
    """If attempts may not be cancelled, a second one can succeed while the first one's response streams."""
    host, send = MagicMock(), api.Send(1, 1, 0)
    opened = MagicMock(streaming_flow=0, true_units=0.0)
    for number, served in ((1, False), (0, True)):
        Host.flow_ended(host, opened, number, send, api.Outcome.OK, 1, MagicMock())
        assert opened.caller.served.called is served
    opened.caller.abort_response.assert_not_called()


async def test_body_slots_are_acquired_in_turn_and_released() -> None:
    slots, started = BodySlots(2), list[int]()
    for number in range(4):
        slots.acquire(lambda number=number: started.append(number))  # type: ignore[misc]
    assert started == [0, 1]
    slots.release()
    assert started == [0, 1, 2] and slots.in_use == 2
    for _ in range(3):
        slots.release()
    assert started == [0, 1, 2, 3] and slots.in_use == 0
    assert BODY_BUFFER_BYTES >= MAX_BUFFERED_BODY_BYTES
