"""HTTP/2 to pool members: sharing of connections, and which requests are sent again after a failure."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from h2.errors import ErrorCodes
from hpack import Encoder
from hyperframe.frame import (
    DataFrame,
    GoAwayFrame,
    HeadersFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from millfront.http2.connection_choice import (
    IDLE_TIMEOUT_US,
    MAX_AGE_US,
    Action,
    ConnectionState,
    choose,
    find_retirable,
)
from millfront.http2.members import Http2MemberConnection, MemberStream
from tests.h2server import H2Peer, PeerConnection, Step, never_answer
from tests.peers import TEST_TIMEOUT_S, Peer, RunningNode, request, row, running_node, status

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}


@asynccontextmanager
async def running_h2_members_node(
    *members: Peer, streams: int = 32, **options: Any
) -> AsyncIterator[RunningNode]:
    operators = {"http2": {"members": True, "member_streams": streams}}
    async with running_node(*members, operators=operators, **options) as on:
        yield on


def resets(code: ErrorCodes) -> Step:
    async def act(connection: PeerConnection, number: int) -> None:
        await connection.reset(number, code)

    return act


async def disconnects(connection: PeerConnection, number: int) -> None:
    await anyio.aclose_forcefully(connection.stream)
    raise anyio.ClosedResourceError


async def status_500(connection: PeerConnection, number: int) -> None:
    await connection.answer(number, 500)


async def not_started(connection: PeerConnection, number: int) -> None:
    await connection.answer(number, 503, not_started="1")


async def too_long(connection: PeerConnection, number: int) -> None:
    connection.h2.send_headers(number, [(":status", "200")])
    for _ in range(5):
        connection.h2.send_data(number, b"x" * 13_200)
    await connection.flush()


async def test_several_attempts_share_a_connection_and_are_forwarded_unchanged() -> None:
    ask: dict[int, Any] = {}

    async def together(connection: PeerConnection, number: int) -> None:
        ask[number] = connection
        if len(ask) == 4:
            for one in list(ask):
                await connection.answer(one, body=b"page %d" % one, billed_units="3")

    member = H2Peer(fallback=together)
    async with running_h2_members_node(member) as on:
        clients = [await on.client() for _ in range(4)]
        answers: list[bytes] = []

        async def one(client: Any) -> None:
            answers.append(await on.ask(request("code-redeem"), client))

        async with anyio.create_task_group() as tasks:
            for client in clients:
                tasks.start_soon(one, client)
        assert {status(answer) for answer in answers} == {200} and len(set(answers)) == 4
    assert member.connections == 1
    assert {received["body"] for received in member.requests} == {"what is bought"}
    received = member.requests[0]
    assert (
        received[":path"] == "/code-redeem/more/00000000b4d65521?a=%20b"
        and received[":authority"] == "origin.svc"
    )
    assert received["content-length"] == "14" and "host" not in received
    assert 2_000_000 < int(received["request-timeout"].removesuffix("u")) <= 3_000_000


@pytest.mark.parametrize(
    ("ends", "cls", "attempts", "final"),
    [
        (resets(ErrorCodes.REFUSED_STREAM), "code-redeem", 2, 200),  # it never ran
        (not_started, "code-redeem", 2, 200),
        (resets(ErrorCodes.INTERNAL_ERROR), "code-redeem", 1, 502),
        (resets(ErrorCodes.NO_ERROR), "code-redeem", 1, 502),
        (status_500, "code-redeem", 1, 502),
        (disconnects, "code-redeem", 1, 502),
        (too_long, "code-redeem", 1, 502),
        (resets(ErrorCodes.INTERNAL_ERROR), "issue-buy", 2, 200),
        (disconnects, "page-fetch", 2, 200),
        (too_long, "page-fetch", 2, 200),
    ],
)
async def test_only_what_never_ran_or_may_repeat_goes_out_again(
    ends: Step, cls: str, attempts: int, final: int
) -> None:
    async def once(connection: PeerConnection, number: int) -> None:  # whichever member is tried first
        one.steps.clear()
        other.steps.clear()
        await ends(connection, number)

    one, other = H2Peer(once), H2Peer(once)
    async with running_h2_members_node(one, other) as on:
        assert status(await on.ask(request(cls))) == final
        assert len(one.requests) + len(other.requests) == attempts
        assert status(await on.ask(request())) == 200


async def test_streams_above_a_goaways_last_go_out_again_and_those_below_finish() -> None:
    member = H2Peer(*[never_answer] * 4)
    async with running_h2_members_node(member) as on:
        clients = [await on.client() for _ in range(4)]
        answers: list[int] = []

        async def one(client: Any) -> None:
            answers.append(status(await on.ask(request("code-redeem"), client)))

        async with anyio.create_task_group() as tasks:
            for client in clients:
                tasks.start_soon(one, client)
            await member.wait_until(lambda _: len(member.requests) == 4)
            first = member.peer_connections[0]
            await first.goaway(3)  # streams 1 and 3 run, 5 and 7 never did
            await member.wait_until(lambda _: len(member.requests) == 6)
            for number in (1, 3):
                await first.answer(number)
        assert answers == [200] * 4
        assert member.connections == 2
        # The member never closes; the node does, once the streams have ended.
        await member.wait_until(lambda peer: peer.closed == 1)
        assert len({received["request-id"] for received in member.requests}) == 4


async def test_a_connection_that_dies_ends_each_attempt_once_by_its_class() -> None:
    members = [H2Peer(*[never_answer] * 25) for _ in range(4)]
    async with running_h2_members_node(*members, SecondCopies=False) as on:
        answers: dict[str, list[int]] = {"page-fetch": [], "code-redeem": []}

        async def one(cls: str) -> None:
            fields = {"Quota_Info": "units=1,spread=2,first=1"}
            answers[cls].append(status(await on.ask(request(cls, **fields))))

        async with anyio.create_task_group() as tasks:
            for cls in ("page-fetch", "code-redeem") * 3:
                tasks.start_soon(one, cls)
            with anyio.fail_after(TEST_TIMEOUT_S):
                while sum(len(member.requests) for member in members) < 6:
                    await anyio.sleep(0.001)
            for member in members:
                member.steps.clear()
            disconnected = [member for member in members if member.requests]
            for member in disconnected:
                for connection in member.peer_connections:
                    await anyio.aclose_forcefully(connection.stream)
        assert answers["code-redeem"] == [502] * 3
        assert answers["page-fetch"] == [200] * 3
        ran = [
            received["request-id"]
            for member in members
            for received in member.requests
            if "code-redeem" in received[":path"]
        ]
        assert len(ran) == len(set(ran)) == 3
        assert not on.node.host.open_requests and not on.node.host.unanswered


async def test_a_client_that_leaves_resets_its_stream_and_the_connection_goes_on() -> None:
    member = H2Peer(never_answer)
    async with running_h2_members_node(member) as on:
        client = await on.client()
        await client.send(request("issue-buy"))
        await member.wait_until(lambda _: len(member.requests) == 1)
        await client.aclose()
        await member.wait_until(lambda _: member.resets == [1])
        assert status(await on.ask(request())) == 200
        assert member.connections == 1 and not on.node.host.unanswered


async def test_a_dead_connection_is_found_before_the_deadlines_of_its_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("millfront.http2.members.PING_AFTER_US", 100_000)
    monkeypatch.setattr("millfront.http2.members.PING_TIMEOUT_US", 100_000)
    one, other = H2Peer(never_answer), H2Peer(never_answer)
    async with running_h2_members_node(one, other, SecondCopies=False) as on:
        client = await on.client()
        await client.send(request("page-fetch", Request_Timeout="3000m"))
        with anyio.fail_after(TEST_TIMEOUT_S):
            while not one.requests and not other.requests:
                await anyio.sleep(0.001)
        member = one if one.requests else other
        (other if member is one else one).steps.clear()
        member.silent = True
        began = anyio.current_time()
        await member.wait_until(lambda peer: peer.closed == 1)
        assert anyio.current_time() - began < 1.5
        with anyio.fail_after(TEST_TIMEOUT_S):
            assert status(await client.receive()) == 200  # page-fetch may be repeated


async def test_a_draining_member_gets_no_new_stream_and_finishes_those_it_has() -> None:
    member, other = H2Peer(never_answer), H2Peer(never_answer)
    async with running_h2_members_node(member, other) as on:
        client = await on.client()
        await client.send(request())
        with anyio.fail_after(TEST_TIMEOUT_S):
            while not member.requests and not other.requests:
                await anyio.sleep(0.001)
        drains, stays = (member, other) if member.requests else (other, member)
        stays.steps.clear()
        name = "s-0" if drains is member else "s-1"
        update = {"seq": 42, "whole": False, "hosts": [row(name, drains.address, "Terminating")]}
        on.node.pool.apply_list(update)
        for _ in range(5):
            assert status(await on.ask(request())) == 200
        assert len(drains.requests) == 1 and len(stays.requests) == 5
        await drains.peer_connections[0].answer(1)
        with anyio.fail_after(TEST_TIMEOUT_S):
            assert status(await client.receive()) == 200
        await drains.wait_until(lambda peer: peer.closed == 1)


async def test_more_attempts_than_streams_open_another_connection() -> None:
    member = H2Peer(*[never_answer] * 3, streams=2)
    async with running_h2_members_node(member, streams=2) as on:
        clients = [await on.client() for _ in range(3)]
        for client in clients:
            await client.send(request(Quota_Info="units=1,spread=2,first=1"))
        await member.wait_until(lambda _: len(member.requests) == 3)
        assert member.connections == 2


# ---- without sockets


def state(
    open_: int = 0, allowed: int = 4, draining: bool = False, born: int = 0, used: int = 0
) -> ConnectionState:
    return ConnectionState(open_, allowed, draining, born, used, 0)


@pytest.mark.parametrize(
    ("connections", "connecting", "waiting", "action", "index"),
    [
        ([], 0, 0, Action.CONNECT, -1),
        ([], 1, 3, Action.WAIT, -1),
        ([], 1, 4, Action.CONNECT, -1),
        ([state(1), state(3), state(2)], 0, 0, Action.USE, 1),
        ([state(4), state(1, draining=True)], 0, 0, Action.CONNECT, -1),
        ([state(4), state(4)], 0, 0, Action.FULL, -1),
        ([state(4, draining=True), state(4)], 0, 0, Action.CONNECT, -1),
    ],
)
def test_the_fullest_with_room_carries_the_next(
    connections: list[ConnectionState], connecting: int, waiting: int, action: Action, index: int
) -> None:
    choice = choose(connections, connecting, waiting, 4, 2)
    assert (choice.action, choice.index) == (action, index)


def test_old_and_unused_connections_retire_and_one_idle_is_kept() -> None:
    now = MAX_AGE_US
    idle = [state(used=now - IDLE_TIMEOUT_US - i, born=now) for i in (5, 1, 9)]
    assert find_retirable([*idle, state(2, born=now)], now) == [0, 2]
    assert find_retirable([state(3, born=-1)], now) == [0]


@given(
    st.lists(st.builds(state, st.integers(0, 4), st.just(4), st.booleans()), max_size=6), st.integers(0, 3)
)
def test_no_stream_goes_to_a_draining_or_a_full_one(
    connections: list[ConnectionState], connecting: int
) -> None:
    choice = choose(connections, connecting, 0, 4, 6)
    if choice.action is Action.USE:
        chosen = connections[choice.index]
        assert not chosen.draining and chosen.open_streams < chosen.max_streams
    elif choice.action is Action.CONNECT:
        assert sum(not c.draining for c in connections) + connecting < 6


class Booked:
    """A ResponseHandler that counts how often it ended."""

    streaming = False

    def __init__(self) -> None:
        self.ends = 0
        self.exchange: Any = None

    def on_partial_response(self) -> None: ...

    def on_body_progress(self) -> None: ...

    def on_response_head(self, answer: Any) -> None:
        self.over()

    def on_body(self, data: bytes, last: bool) -> None:
        self.over()

    def on_response(self, answer: Any) -> None:
        self.over()

    def on_malformed(self, why: str) -> None:
        self.over()

    def on_broken(self, ended: Any) -> None:
        self.over()

    def over(self) -> None:
        self.ends += 1
        if self.exchange.flow is not None:
            self.exchange.flow = None
            self.exchange.drop()


class Socketless:
    """Stands for a connection's link, pool, member and clock."""

    closed, max_connections, max_streams, ready, host, address = False, 4, 32, True, "s-0", "127.0.0.1:1"
    connection_count = 1
    unsent = 0

    def __init__(self) -> None:
        self.members = self
        self.clock = self
        self.us = 0

    def now(self) -> int:
        self.us += 1000
        return self.us

    def write(self, data: bytes) -> None:
        assert not self.closed

    def close(self) -> None:
        self.closed = True

    def assign_waiting(self, member: Any) -> None: ...
    def remove(self, connection: Any) -> None: ...


def answer_frames(number: int, end: bool) -> bytes:
    fields = [(":status", "200"), ("billed-units", "3")]
    flags = ["END_HEADERS", "END_STREAM"] if end else ["END_HEADERS"]
    return bytes(HeadersFrame(number, data=Encoder().encode(fields), flags=flags).serialize())


NUMBERS = st.sampled_from([0, 1, 3, 5])
FROM_MEMBER = st.one_of(
    st.builds(answer_frames, st.sampled_from([1, 3, 5]), st.booleans()),
    st.builds(
        lambda n, d, e: DataFrame(n, data=d, flags=["END_STREAM"] if e else []).serialize(),
        st.sampled_from([1, 3, 5]),
        st.binary(max_size=20),
        st.booleans(),
    ),
    st.builds(
        lambda n, c: RstStreamFrame(n, error_code=c).serialize(),
        st.sampled_from([1, 3, 5]),
        st.integers(0, 13),
    ),
    st.builds(lambda n: GoAwayFrame(0, last_stream_id=n).serialize(), NUMBERS),
    st.builds(
        lambda n, w: WindowUpdateFrame(n, window_increment=w).serialize(), NUMBERS, st.integers(1, 2**31 - 1)
    ),
    st.builds(
        lambda k, v: SettingsFrame(0, settings={k: v}).serialize(),
        st.integers(1, 6),
        st.integers(0, 2**31 - 1),
    ),
    st.binary(max_size=30),
)


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(FROM_MEMBER, st.sampled_from(["", "", "cancel", "look", "end"])), max_size=12))
def test_whatever_a_member_sends_each_attempt_ends_once(steps: list[tuple[bytes, str]]) -> None:
    stub: Any = Socketless()

    async def play() -> None:
        made = Http2MemberConnection(stub, stub, None, stub)  # type: ignore[arg-type]
        made.received(SettingsFrame(0).serialize())
        flows = []
        for number in range(3):
            made.reserved += 1
            exchange = MemberStream(made)
            flow = Booked()
            flow.exchange, exchange.flow = exchange, flow
            flows.append(flow)
            exchange.request((b"POST", b"/a"), [(b"Host", b"a")], b"x" * 30_000 * number)
        for data, then in steps:
            if not made.closed:
                made.received(data)
            if then == "cancel" and flows[1].exchange.flow is not None:
                flows[1].over()
            elif then == "look" and not made.closed:
                made.check(stub.now())
            elif then == "end" and not made.closed:
                made.ended("")
        if not made.closed:
            made.fail("the end")
        await anyio.sleep(0)
        assert [flow.ends for flow in flows] == [1, 1, 1]
        assert not made.streams and made.reserved == 0

    anyio.run(play)
