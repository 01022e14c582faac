"""HTTP/2 to clients: the same semantics as over HTTP/1.1, streams, flow control, drain, and protection
against abuse."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

import anyio
import h2.settings
import httpx
import pytest
from anyio.abc import SocketStream
from h2.errors import ErrorCodes
from hpack import Encoder
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    Frame,
    GoAwayFrame,
    HeadersFrame,
    PingFrame,
    PriorityFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from millfront.http2.abuse_limits import LIMITS, SECOND_US, RateLimits
from millfront.http2.clients import HIGH_WATER, PREFACE, Http2Connection
from millfront.http2.part import Http2Part
from millfront.http2.scheduler import StreamScheduler, parse_urgency
from millfront.node.http import Message
from tests.h2client import Client, head
from tests.peers import TEST_TIMEOUT_S, Peer, RunningNode, answer, request, running_node, silent, status

pytestmark = pytest.mark.anyio
CALM = int(ErrorCodes.ENHANCE_YOUR_CALM)


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}


@asynccontextmanager
async def running_h2_node(*members: Peer, streams: int = 100, **options: Any) -> AsyncIterator[RunningNode]:
    operators = {"http2": {"listen": "127.0.0.1:0", "streams": streams}}
    async with running_node(*members, operators=operators, **options) as on:
        yield on


def front(on: RunningNode) -> Http2Part:
    return next(p for p in on.node.parts._parts if isinstance(p, Http2Part))


async def client(on: RunningNode, window: int = 65_535, strict: bool = True, shared: bool = False) -> Client:
    server = on.node.server if shared else front(on).server
    assert server is not None and server.address is not None
    made = Client(await anyio.connect_tcp(server.address.host, server.address.port), window, strict)
    await made.start()
    return made


# ---- the same semantics as HTTP/1.1


CASES: list[tuple[str, dict[str, str], int]] = [
    ("page-fetch", {}, 200),
    ("issue-buy", {}, 200),
    ("code-redeem", {}, 200),
    ("no-class", {}, 404),
    ("page-fetch", {"Plan": "no-plan"}, 400),
    ("page-fetch", {"Plan": "spent"}, 503),
    ("page-fetch", {"Request_Id": "it's a name"}, 400),
    ("page-fetch", {"Request_Timeout": "soon"}, 400),
    ("page-fetch", {"Request_Timeout": "0m"}, 400),
    ("page-fetch", {"Quota_Info": "units=9,spread=2,first=0"}, 400),
    ("page-fetch", {"Quota_Info": "units=nan,spread=2,first=0"}, 400),
    ("issue-buy", {"Idempotency_Key": ""}, 400),
]


@pytest.mark.parametrize("version", ["1.1", "2"])
@pytest.mark.parametrize(("cls", "fields", "expected_status"), CASES)
async def test_a_request_means_the_same_over_both(
    version: str, cls: str, fields: dict[str, str], expected_status: int
) -> None:
    member = Peer()
    async with running_h2_node(member) as on:
        if version == "1.1":
            assert status(await on.ask(request(cls, **fields))) == expected_status
        else:
            h2_client = await client(on)
            body = b"" if cls in ("page-fetch", "no-class") else b"what is bought"
            number = await h2_client.ask(head(cls, **fields), body)
            assert (await h2_client.answer(number))[0] == expected_status
    assert len(member.seen) == (expected_status == 200)


async def test_requests_and_responses_are_forwarded_unchanged() -> None:
    member = Peer(answer(200, b"\x00a page", b"X-Kind: Sunday", b"Connection: x-hop", b"X-Hop: 1"))
    async with running_h2_node(member) as on:
        h2_client = await client(on)
        fields = [*head("code-redeem", Request_Id="9b1f03aa5c7e2d41"), ("cookie", "a=1"), ("cookie", "b=2")]
        number = await h2_client.ask([*fields, ("x-trace", "As It Came")], b"what is bought")
        assert await h2_client.answer(number) == (200, b"\x00a page")
        response_fields = next(dict(e.headers) for e in h2_client.events if hasattr(e, "headers"))
        assert (
            response_fields["x-kind"] == "Sunday"
            and "x-hop" not in response_fields
            and "connection" not in response_fields
        )
    (sent,) = member.seen
    assert sent.startswith(b"POST /code-redeem/more/00000000b4d65521?a=%20b HTTP/1.1\r\n")
    assert sent.endswith(b"\r\n\r\nwhat is bought") and b"host: origin.svc\r\n" in sent
    assert b"cookie: a=1; b=2\r\n" in sent and b"x-trace: As It Came\r\n" in sent


async def test_a_request_split_over_every_byte_is_one_request() -> None:
    member = Peer()
    async with running_h2_node(member) as on:
        h2_client = await client(on)
        h2_client.h2.send_headers(1, head("code-redeem"))
        h2_client.h2.send_data(1, b"what is bought", end_stream=True)
        for byte in h2_client.h2.data_to_send():
            await h2_client.stream.send(bytes([byte]))
        assert (await h2_client.answer(1))[0] == 200
    assert len(member.seen) == 1


async def test_httpx_is_served() -> None:
    async with running_h2_node(Peer(), Peer()) as on:
        server = front(on).server
        assert server is not None
        async with httpx.AsyncClient(http1=False, http2=True) as h2_client:
            fields = {name: value for name, value in head() if not name.startswith(":")}
            url = f"http://{server.address}/page-fetch/00000000b4d65521"
            got = await h2_client.get(url, headers=fields)
            assert (got.status_code, got.http_version, got.text) == (200, "HTTP/2", "page")
            assert (await h2_client.get(f"http://{server.address}/healthz")).text == "ready\n"


async def test_the_shared_port_recognises_the_preface_split_anywhere() -> None:
    operators = {"http2": {"shared": True}}
    async with running_node(Peer(), operators=operators) as on:
        assert status(await on.ask(request())) == 200
        h2_client = await client(on, shared=True)
        assert (await h2_client.answer(await h2_client.ask(head())))[0] == 200
        slow = Client(await on.client())
        slow.h2.initiate_connection()
        first = slow.h2.data_to_send()
        for byte in first[: len(PREFACE) + 2]:
            await slow.stream.send(bytes([byte]))
        await slow.stream.send(first[len(PREFACE) + 2 :])
        assert (await slow.answer(await slow.ask(head())))[0] == 200
        assert status(await on.ask(b"PRI * HTTP/2.0\r\n\r\nno\r\n\r\n")) >= 400


# ---- cancelled requests


@pytest.mark.parametrize("cls", ["issue-buy", "code-redeem"])
async def test_a_reset_after_forwarding_cancels_and_never_sends_again(cls: str) -> None:
    member, other = Peer(silent), Peer(silent)
    async with running_h2_node(member, other) as on:
        h2_client = await client(on)
        number = await h2_client.ask(head(cls), b"what is bought")
        with anyio.fail_after(TEST_TIMEOUT_S):
            while not member.seen and not other.seen:
                await anyio.sleep(0.001)
        h2_client.h2.reset_stream(number, ErrorCodes.CANCEL)
        await h2_client.flush()
        with anyio.fail_after(TEST_TIMEOUT_S):
            while member.closed + other.closed == 0:
                await anyio.sleep(0.001)
        assert not on.node.host.open_requests and not on.node.host.unanswered
        member.script.clear()
        other.script.clear()
        again = await h2_client.ask(head(cls), b"what is bought")  # a new request id is a new request
        assert (await h2_client.answer(again))[0] == 200
        assert len(member.seen) + len(other.seen) == 2
        assert number not in h2_client.statuses


async def test_a_reset_that_crosses_the_answer_ends_the_stream_once() -> None:
    async with running_h2_node(Peer()) as on:
        h2_client = await client(on)
        for _ in range(20):
            number = await h2_client.ask(head())
            with anyio.move_on_after(0.002):
                await h2_client.receive()
            if number not in h2_client.ended:
                h2_client.h2.reset_stream(number, ErrorCodes.CANCEL)
                await h2_client.flush()
        number = await h2_client.ask(head())
        assert (await h2_client.answer(number))[0] == 200 and not h2_client.goaways
        assert not on.node.host.open_requests


async def test_a_connection_that_breaks_cancels_all_its_requests() -> None:
    member = Peer(*[silent] * 20)
    async with running_h2_node(member) as on:
        h2_client = await client(on)
        for _ in range(5):
            await h2_client.ask(head())
        await member.wait_until(lambda peer: len(peer.seen) == 5)
        await anyio.aclose_forcefully(h2_client.stream)
        await member.wait_until(lambda peer: peer.closed == 5)
        assert not on.node.host.open_requests and not on.node.host.unanswered
        assert (await on.ask(request()))[:4] == b"HTTP"


# ---- flow control


async def test_a_reader_that_stalls_delays_no_other_stream_and_holds_bounded_memory() -> None:
    long = answer(200, b"x" * 60_000)

    class Pages(Peer):
        """Sends a long response to requests for /stalled/, and a short one to others."""

        async def read(self, stream: SocketStream) -> bytes:
            asked = await super().read(stream)
            self.long = b"/stalled/" in asked
            return asked

        async def default_step(self, stream: SocketStream) -> None:
            await (long if self.long else answer(200, b"y" * 2000))(stream)

    members = [Pages() for _ in range(80)]  # enough that 200 requests at once are no overload
    async with running_h2_node(*members, streams=300) as on:
        h2_client = await client(on, window=3000)
        h2_client.stalled.add(1)
        path = "/page-fetch/stalled/00000000b4d65521"
        await h2_client.ask(head(Path=path))
        await h2_client.until(lambda c: len(c.bodies[1]) == 3000)
        others = [await h2_client.ask(head(Quota_Info="units=1,spread=2,first=1")) for _ in range(200)]
        await h2_client.until(lambda c: set(others) <= c.ended)
        assert all(h2_client.bodies[number] == b"y" * 2000 for number in others)
        assert len(h2_client.bodies[1]) == 3000 and 1 not in h2_client.ended
        (connection,) = front(on).server._connections  # type: ignore[union-attr]
        assert isinstance(connection, Http2Connection)
        assert len(connection.streams) == 1 and connection.link.unsent == 0
        h2_client.h2.increment_flow_control_window(60_000, 1)
        h2_client.stalled.clear()
        await h2_client.flush()
        assert (await h2_client.answer(1))[1] == b"x" * 60_000


async def test_windows_of_one_byte_get_the_whole_answer() -> None:
    async with running_h2_node(Peer(answer(200, b"a page"))) as on:
        h2_client = await client(on, window=1)
        assert await h2_client.answer(await h2_client.ask(head())) == (200, b"a page")


async def test_settings_that_change_in_the_middle_of_an_answer_hold_from_there() -> None:
    async with running_h2_node(Peer(answer(200, b"z" * 9000))) as on:
        h2_client = await client(on, window=1000)
        h2_client.stalled.add(1)
        await h2_client.ask(head())
        await h2_client.until(lambda c: len(c.bodies[1]) == 1000)
        h2_client.h2.update_settings({h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 20_000})
        await h2_client.flush()
        assert (await h2_client.answer(1))[1] == b"z" * 9000


def has_window(number: int) -> Callable[[Client], bool]:
    return lambda c: c.h2.local_flow_control_window(number) > 0 or number in c.resets


async def test_a_body_longer_than_the_window_and_one_longer_than_allowed() -> None:
    member = Peer()
    async with running_h2_node(member) as on:
        h2_client = await client(on)
        for size, expected_status in ((64 * 1024, 200), (64 * 1024 + 1, 413)):
            number = await h2_client.ask(head("code-redeem"), end=False)
            left = size
            while left:
                await h2_client.until(has_window(number))
                if number in h2_client.resets:
                    break
                some = min(left, h2_client.h2.local_flow_control_window(number), 16_384)
                left -= some
                h2_client.h2.send_data(number, b"b" * some, end_stream=not left)
                await h2_client.flush()
            assert (await h2_client.answer(number))[0] == expected_status
    assert len(member.seen) == 1 and member.seen[0].endswith(b"b" * 100)


# ---- planned shutdown


async def test_at_a_planned_shutdown_open_streams_finish_and_new_ones_are_refused() -> None:
    finish = anyio.Event()

    async def slow(stream: SocketStream) -> None:
        await finish.wait()
        await answer(200, b"slow")(stream)

    members = [Peer(*[slow] * 60) for _ in range(40)]
    async with running_h2_node(*members, SecondCopies=False) as on:
        clients = [await client(on) for _ in range(10)]
        fields = {"Quota_Info": "units=1,spread=2,first=1"}
        asked = [(c, await c.ask(head(**fields))) for c in clients for _ in range(10)]
        with anyio.fail_after(TEST_TIMEOUT_S):
            while sum(len(member.seen) for member in members) < len(asked):
                await anyio.sleep(0.001)
        on.node.stop()
        first = clients[0]
        await first.until(lambda c: c.goaways)
        assert first.goaways[0] == (0, 2**31 - 1)  # requests on their way are still accepted
        await first.until(lambda c: len(c.goaways) == 2)
        assert first.goaways[1] == (0, 19)
        finish.set()
        for c, number in asked:
            assert await c.answer(number) == (200, b"slow")
        with anyio.fail_after(TEST_TIMEOUT_S):
            await on.ended.wait()


async def test_a_stream_above_the_last_id_of_a_goaway_is_refused_and_never_ran() -> None:
    finish = anyio.Event()

    async def slow(stream: SocketStream) -> None:
        await finish.wait()
        await answer(200, b"slow")(stream)

    member = Peer(slow)
    async with running_h2_node(member) as on:
        h2_client = await client(on)
        number = await h2_client.ask(head())
        await member.wait_until(lambda peer: len(peer.seen) == 1)
        (connection,) = front(on).server._connections  # type: ignore[union-attr]
        connection.close_if_idle()
        # The frame is made by hand, since h2's client would not open a stream after GOAWAY.
        late = HeadersFrame(3, data=h2_client.h2.encoder.encode(head()), flags=["END_HEADERS", "END_STREAM"])
        await h2_client.stream.send(late.serialize())
        finish.set()
        raw = b""
        with anyio.fail_after(TEST_TIMEOUT_S), suppress(anyio.EndOfStream):
            while True:
                raw += await h2_client.stream.receive()
        found = [(type(made).__name__, made.stream_id) for made in frames(raw)]
        assert ("RstStreamFrame", 3) in found and ("HeadersFrame", 3) not in found
        (refused,) = [made for made in frames(raw) if isinstance(made, RstStreamFrame)]
        assert refused.error_code == ErrorCodes.REFUSED_STREAM
        assert ("DataFrame", number) in found  # and the open one finished
    assert len(member.seen) == 1


# ---- abuse


def headers(number: int, fields: list[tuple[str, str]], end: bool = True) -> bytes:
    flags = ["END_HEADERS", "END_STREAM"] if end else ["END_HEADERS"]
    return HeadersFrame(number, data=Encoder().encode(fields), flags=flags).serialize()


def rapid_reset() -> bytes:
    return b"".join(
        headers(number, head()) + RstStreamFrame(number, error_code=8).serialize()
        for number in range(1, 801, 2)
    )


def continuations() -> bytes:
    first = HeadersFrame(1, data=b"\x82").serialize()
    return first + ContinuationFrame(1, data=b"\x84").serialize() * 2000


def bomb() -> bytes:
    """An HPACK bomb: one large field in the dynamic table, referenced again and again."""
    encoder = Encoder()
    block = encoder.encode([*head(), ("x-large", "y" * 3000)]) + b"\xbe" * 3000
    return HeadersFrame(1, data=block[:16_000], flags=["END_HEADERS", "END_STREAM"]).serialize()


PING = PingFrame(0, opaque_data=b"12345678").serialize()
SETTINGS = SettingsFrame(0, settings={4: 65_535}).serialize()
ABUSES: dict[str, tuple[bytes, tuple[ErrorCodes, ...]]] = {
    "rapid reset": (rapid_reset(), (ErrorCodes.ENHANCE_YOUR_CALM,)),
    "continuations": (continuations(), (ErrorCodes.PROTOCOL_ERROR, ErrorCodes.ENHANCE_YOUR_CALM)),
    "pings": (PING * 500, (ErrorCodes.ENHANCE_YOUR_CALM,)),
    "settings": (SETTINGS * 500, (ErrorCodes.ENHANCE_YOUR_CALM,)),
    "priorities": (PriorityFrame(1, stream_weight=1).serialize() * 2000, (ErrorCodes.ENHANCE_YOUR_CALM,)),
    "empty data": (
        headers(1, head("code-redeem"), end=False) + DataFrame(1).serialize() * 500,
        (ErrorCodes.ENHANCE_YOUR_CALM,),
    ),
    "bomb": (bomb(), (ErrorCodes.ENHANCE_YOUR_CALM, ErrorCodes.COMPRESSION_ERROR)),
    "window overflow": (
        WindowUpdateFrame(0, window_increment=2**31 - 1).serialize() * 2,
        (ErrorCodes.FLOW_CONTROL_ERROR,),
    ),
    "no window": (
        WindowUpdateFrame(0, window_increment=1).serialize() * 9000,
        (ErrorCodes.ENHANCE_YOUR_CALM,),
    ),
    "too many streams": (
        b"".join(headers(n, head("code-redeem"), end=False) for n in range(1, 401, 2)),
        (ErrorCodes.PROTOCOL_ERROR, ErrorCodes.REFUSED_STREAM, ErrorCodes.ENHANCE_YOUR_CALM),
    ),
    "even stream": (headers(2, head()), (ErrorCodes.PROTOCOL_ERROR,)),
    "a frame too large, begun": (b"\xff\xff\xff\x00\x00\x00\x00\x00\x01x", (ErrorCodes.FRAME_SIZE_ERROR,)),
    "a block without end": (
        HeadersFrame(1, data=b"\x82" * 16_000).serialize()
        + ContinuationFrame(1, data=b"\x84" * 16_000).serialize() * 3,
        (ErrorCodes.ENHANCE_YOUR_CALM,),
    ),
    "data on no stream": (
        DataFrame(1, data=b"x").serialize(),
        (ErrorCodes.PROTOCOL_ERROR, ErrorCodes.STREAM_CLOSED),
    ),
    "a frame too large": (
        b"\x00\xff\xff\x00\x00\x00\x00\x00\x01" + b"x" * 65_535,
        (ErrorCodes.FRAME_SIZE_ERROR,),
    ),
}


@pytest.mark.parametrize("name", ABUSES)
async def test_abuse_ends_its_connection_with_an_error_code_and_others_go_on(name: str) -> None:
    data, codes = ABUSES[name]
    member = Peer()
    async with running_h2_node(member) as on:
        other = await client(on)
        assert (await other.answer(await other.ask(head())))[0] == 200
        bad = await client(on)
        await bad.receive()
        with anyio.move_on_after(TEST_TIMEOUT_S):
            with suppress(anyio.BrokenResourceError):
                await bad.stream.send(data)
            raw = b""
            try:
                while True:
                    raw += await bad.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
        code = goaway_code(raw)
        assert code in {int(allowed) for allowed in codes}, (name, code)
        assert (await other.answer(await other.ask(head())))[0] == 200
        with anyio.fail_after(TEST_TIMEOUT_S):
            while len(on.node.host.open_requests) > 0:
                await anyio.sleep(0.001)


def frames(raw: bytes) -> list[Any]:
    found: list[Any] = []
    while len(raw) >= 9:
        made, length = Frame.parse_frame_header(memoryview(raw[:9]))
        made.parse_body(memoryview(raw[9 : 9 + length]))
        found.append(made)
        raw = raw[9 + length :]
    return found


def goaway_code(raw: bytes) -> int | None:
    codes = [made.error_code for made in frames(raw) if isinstance(made, GoAwayFrame)]
    return codes[-1] if codes else None


async def test_without_the_preface_a_connection_is_ended_at_once() -> None:
    async with running_h2_node(Peer()) as on:
        server = front(on).server
        assert server is not None and server.address is not None
        async with await anyio.connect_tcp(server.address.host, server.address.port) as stream:
            await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            raw = b""
            with anyio.fail_after(TEST_TIMEOUT_S), suppress(anyio.EndOfStream):
                while True:
                    raw += await stream.receive()
        assert goaway_code(raw) == ErrorCodes.PROTOCOL_ERROR


@pytest.mark.parametrize(
    "fields",
    [
        head(Path="/page-fetch/a b/00000000b4d65521"),
        head(Path="http://elsewhere/page-fetch/00000000b4d65521"),
        [*head(), ("x-a", "b \t")],
        [*head(), ("x(a)", "b")],
        [*head(), ("host", "origin.svc"), ("host", "origin.svc")],
    ],
)
async def test_requests_that_a_member_would_parse_differently_are_not_forwarded(
    fields: list[tuple[str, str]],
) -> None:
    member = Peer()
    async with running_h2_node(member) as on:
        h2_client = await client(on, strict=False)
        number = await h2_client.ask(fields)
        await h2_client.until(lambda c: number in c.ended or c.goaways)
        assert h2_client.statuses.get(number, 400) == 400
    assert not member.seen


@pytest.mark.parametrize(
    "fields",
    [
        [*head(), ("connection", "close")],
        [*head(), ("transfer-encoding", "chunked")],
        [*head(), ("te", "gzip")],
        [*head(), ("X-Upper", "a")],
        [*head(), (":late", "a")],
        [*head(), ("x-a", "b\r\nhost: c")],
        [(n, v) for n, v in head() if n != ":path"],
        [*head(), (":path", "/other")],
        [*head("code-redeem"), ("content-length", "3")],
    ],
)
async def test_a_malformed_request_reaches_no_member(fields: list[tuple[str, str]]) -> None:
    member = Peer()
    async with running_h2_node(member) as on:
        h2_client = await client(on, strict=False)
        await h2_client.ask(fields)
        await h2_client.until(lambda c: c.goaways or c.resets or 1 in c.ended)
        assert 200 not in h2_client.statuses.values()
    assert not member.seen


async def test_requests_that_are_never_completed_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("millfront.node.clients.REQUEST_READ_TIMEOUT_US", 100_000)
    async with running_h2_node(Peer()) as on:
        h2_client = await client(on)
        number = await h2_client.ask(head("code-redeem"), end=False)
        assert (await h2_client.answer(number))[0] == 408
        mute = await client(on)
        await mute.until(lambda c: c.closed)


# ---- without sockets


def test_scheduling_is_fair_and_urgent_streams_go_first() -> None:
    scheduler = StreamScheduler()
    for stream, urgency in ((1, 3), (3, 3), (5, 1), (7, 3)):
        scheduler.add(stream, urgency)
    assert [scheduler.next() for _ in range(3)] == [5, 5, 5]
    scheduler.remove(5)
    assert [scheduler.next() for _ in range(6)] == [1, 3, 7, 1, 3, 7]
    scheduler.set_urgency(7, 0)
    assert scheduler.next() == 7 and len(scheduler) == 3
    scheduler.remove(99)
    assert [parse_urgency(text) for text in (b"u=0", b"i, u=5", b"u=9", b"", b"u=")] == [0, 5, 3, 3, 3]


@settings(max_examples=20, deadline=None)
@given(st.sampled_from(sorted(LIMITS)), st.floats(0.1, 5.0))
def test_conduct_bears_its_rate_and_no_more(kind: str, seconds: float) -> None:
    allowance = LIMITS[kind]
    limits, now, borne = RateLimits(0), 0, 0
    for step in range(int(4 * (allowance.burst + allowance.rate * seconds))):
        now = int(step * seconds * SECOND_US / (4 * (allowance.burst + allowance.rate * seconds)))
        borne += limits.allow(kind, now)
    assert borne <= allowance.burst + allowance.rate * seconds + 1
    calm = RateLimits(0)
    assert all(calm.allow(kind, int(i * SECOND_US / allowance.rate)) for i in range(200))


FRAMES = st.one_of(
    st.builds(lambda n, end: headers(n, head(), end), st.sampled_from([1, 3, 5, 7]), st.booleans()),
    st.builds(lambda n, d, e: DataFrame(n, data=d, flags=["END_STREAM"] if e else []).serialize(),
              st.sampled_from([1, 3, 5]), st.binary(max_size=20), st.booleans()),
    st.builds(lambda n: RstStreamFrame(n, error_code=8).serialize(), st.sampled_from([1, 3, 5])),
    st.builds(lambda n, w: WindowUpdateFrame(n, window_increment=w).serialize(),
              st.sampled_from([0, 1, 3]), st.integers(1, 2**31 - 1)),
    st.builds(lambda w: SettingsFrame(0, settings={4: w}).serialize(), st.integers(0, 2**31 - 1)),
    st.just(PING),
    st.binary(max_size=40),
)  # fmt: skip


class Sink:
    """A link that accepts all bytes at once."""

    def __init__(self) -> None:
        self.sent = b""
        self.unsent = 0
        self.closed = False

    def write(self, data: bytes) -> None:
        assert not self.closed
        self.sent += data

    def shutdown_write(self) -> None: ...
    def close(self) -> None:
        self.closed = True


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(FRAMES, st.sampled_from(["", "serve", "reject", "sweep", "drain", "rest"])), max_size=14
    )
)
def test_no_sequence_of_frames_crashes_leaks_or_answers_twice(steps: list[tuple[bytes, str]]) -> None:
    class Opened:
        finished = False

    class Server:
        closing = False
        endings: list[Any]

        def __init__(self) -> None:
            self.clock = self
            self.host = self
            self.us = 1
            self.open: dict[Any, Opened] = {}
            self.left = 0

        def now(self) -> int:
            self.us += 1000
            return self.us

        def take_in(self, message: Any, came_us: int) -> Any:
            return message

        def admit(self, arrival: Any, caller: Any) -> Opened:
            self.open[caller] = Opened()
            return self.open[caller]

        def client_left(self, opened: Opened) -> None:
            self.left += 1
            for caller in [c for c, o in self.open.items() if o is opened]:
                del self.open[caller]

        def ready(self) -> bool:
            return True

        def connection_idle(self, connection: Any) -> None: ...
        def connection_closed(self, connection: Any) -> None: ...

    server: Any = Server()
    sink: Any = Sink()
    made = Http2Connection(server, None, 5, sink)  # type: ignore[arg-type]
    made.received(PREFACE + SettingsFrame(0).serialize())
    for data, then in steps:
        if not made.closed:
            made.received(data)
        for caller in list(server.open)[:1]:
            if then == "serve":
                del server.open[caller]
                page = (b"content-type", b"text/plain")
                caller.served(Message(200, [page], [page], b"q" * 3000))
                caller.failed()  # a second answer must not go out
            elif then == "reject":
                del server.open[caller]
                caller.rejected(5)
        if then == "sweep" and not made.closed:
            made.check_timeouts(server.now(), 1)
        elif then == "drain" and not made.closed:
            made.drain()
        elif then == "rest" and not made.closed:
            made.close_if_idle()
        assert len(made.streams) <= 5 + 1 and made.buffered_bytes >= 0
    if not made.closed:
        made.close()
    assert not server.open and not made.streams and made.buffered_bytes == 0 and sink.unsent <= HIGH_WATER
