"""HTTP/2 to pool members: what runs where, and what each way to end means to a request's class."""

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

from millfront.http2.fleet import IDLE_US, RETIRE_US, Do, Seen, choose, retire
from millfront.http2.members import MemberConnection2, MemberStream
from tests.h2server import Act, H2Peer, Spoken, nothing
from tests.peers import TEST_TIMEOUT_S, Peer, RunningNode, request, row, running_node, status

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}


@asynccontextmanager
async def h2members(*members: Peer, streams: int = 32, **told: Any) -> AsyncIterator[RunningNode]:
    operators = {"http2": {"members": True, "member_streams": streams}}
    async with running_node(*members, operators=operators, **told) as on:
        yield on


def resets(code: ErrorCodes) -> Act:
    async def act(spoken: Spoken, number: int) -> None:
        await spoken.reset(number, code)

    return act


async def breaks(spoken: Spoken, number: int) -> None:
    await anyio.aclose_forcefully(spoken.stream)
    raise anyio.ClosedResourceError


async def status_500(spoken: Spoken, number: int) -> None:
    await spoken.answer(number, 500)


async def not_started(spoken: Spoken, number: int) -> None:
    await spoken.answer(number, 503, not_started="1")


async def too_long(spoken: Spoken, number: int) -> None:
    spoken.h2.send_headers(number, [(":status", "200")])
    for _ in range(5):
        spoken.h2.send_data(number, b"x" * 13_200)
    await spoken.flush()


async def test_several_attempts_share_a_connection_and_what_passes_on_is_what_came() -> None:
    ask: dict[int, Any] = {}

    async def together(spoken: Spoken, number: int) -> None:
        ask[number] = spoken
        if len(ask) == 4:
            for one in list(ask):
                await spoken.answer(one, body=b"page %d" % one, billed_units="3")

    member = H2Peer(otherwise=together)
    async with h2members(member) as on:
        clients = [await on.client() for _ in range(4)]
        answers: list[bytes] = []

        async def one(client: Any) -> None:
            answers.append(await on.ask(request("code-redeem"), client))

        async with anyio.create_task_group() as tasks:
            for client in clients:
                tasks.start_soon(one, client)
        assert {status(answer) for answer in answers} == {200} and len(set(answers)) == 4
    assert member.connections == 1
    assert {came["body"] for came in member.came} == {"what is bought"}
    came = member.came[0]
    assert came[":path"] == "/code-redeem/more/00000000b4d65521?a=%20b" and came[":authority"] == "origin.svc"
    assert came["content-length"] == "14" and "host" not in came
    assert 2_000_000 < int(came["request-timeout"].removesuffix("u")) <= 3_000_000


@pytest.mark.parametrize(
    ("ends", "cls", "attempts", "final"),
    [
        (resets(ErrorCodes.REFUSED_STREAM), "code-redeem", 2, 200),  # it never ran
        (not_started, "code-redeem", 2, 200),
        (resets(ErrorCodes.INTERNAL_ERROR), "code-redeem", 1, 502),
        (resets(ErrorCodes.NO_ERROR), "code-redeem", 1, 502),
        (status_500, "code-redeem", 1, 502),
        (breaks, "code-redeem", 1, 502),
        (too_long, "code-redeem", 1, 502),
        (resets(ErrorCodes.INTERNAL_ERROR), "issue-buy", 2, 200),
        (breaks, "page-fetch", 2, 200),
        (too_long, "page-fetch", 2, 200),
    ],
)
async def test_only_what_never_ran_or_may_repeat_goes_out_again(
    ends: Act, cls: str, attempts: int, final: int
) -> None:
    async def once(spoken: Spoken, number: int) -> None:  # whichever member is tried first
        one.acts.clear()
        other.acts.clear()
        await ends(spoken, number)

    one, other = H2Peer(once), H2Peer(once)
    async with h2members(one, other) as on:
        assert status(await on.ask(request(cls))) == final
        assert len(one.came) + len(other.came) == attempts
        assert status(await on.ask(request())) == 200


async def test_streams_above_a_goaways_last_go_out_again_and_those_below_finish() -> None:
    member = H2Peer(*[nothing] * 4)
    async with h2members(member) as on:
        clients = [await on.client() for _ in range(4)]
        answers: list[int] = []

        async def one(client: Any) -> None:
            answers.append(status(await on.ask(request("code-redeem"), client)))

        async with anyio.create_task_group() as tasks:
            for client in clients:
                tasks.start_soon(one, client)
            await member.wait_until(lambda _: len(member.came) == 4)
            first = member.spoken[0]
            await first.goaway(3)  # 1 and 3 run, 5 and 7 never did
            await member.wait_until(lambda _: len(member.came) == 6)
            for number in (1, 3):
                await first.answer(number)
        assert answers == [200] * 4
        assert member.connections == 2
        await member.wait_until(
            lambda peer: peer.closed == 1
        )  # it never closes: we do, once its streams have ended
        assert len({came["request-id"] for came in member.came}) == 4


async def test_a_connection_that_dies_ends_each_attempt_once_by_its_class() -> None:
    members = [H2Peer(*[nothing] * 25) for _ in range(4)]
    async with h2members(*members, SecondCopies=False) as on:
        answers: dict[str, list[int]] = {"page-fetch": [], "code-redeem": []}

        async def one(cls: str) -> None:
            fields = {"Quota_Info": "units=1,spread=2,first=1"}
            answers[cls].append(status(await on.ask(request(cls, **fields))))

        async with anyio.create_task_group() as tasks:
            for cls in ("page-fetch", "code-redeem") * 3:
                tasks.start_soon(one, cls)
            with anyio.fail_after(TEST_TIMEOUT_S):
                while sum(len(member.came) for member in members) < 6:
                    await anyio.sleep(0.001)
            for member in members:
                member.acts.clear()
            struck = [member for member in members if member.came]
            for member in struck:
                for spoken in member.spoken:
                    await anyio.aclose_forcefully(spoken.stream)
        assert answers["code-redeem"] == [502] * 3
        assert answers["page-fetch"] == [200] * 3
        ran = [
            came["request-id"] for member in members for came in member.came if "code-redeem" in came[":path"]
        ]
        assert len(ran) == len(set(ran)) == 3
        assert not on.node.host.open_requests and not on.node.host.unanswered


async def test_a_client_that_leaves_resets_its_stream_and_the_connection_goes_on() -> None:
    member = H2Peer(nothing)
    async with h2members(member) as on:
        client = await on.client()
        await client.send(request("issue-buy"))
        await member.wait_until(lambda _: len(member.came) == 1)
        await client.aclose()
        await member.wait_until(lambda _: member.resets == [1])
        assert status(await on.ask(request())) == 200
        assert member.connections == 1 and not on.node.host.unanswered


async def test_a_silent_connection_is_found_before_the_deadlines_of_what_is_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("millfront.http2.members.PING_US", 100_000)
    monkeypatch.setattr("millfront.http2.members.PONG_US", 100_000)
    one, other = H2Peer(nothing), H2Peer(nothing)
    async with h2members(one, other, SecondCopies=False) as on:
        client = await on.client()
        await client.send(request("page-fetch", Request_Timeout="3000m"))
        with anyio.fail_after(TEST_TIMEOUT_S):
            while not one.came and not other.came:
                await anyio.sleep(0.001)
        member = one if one.came else other
        (other if member is one else one).acts.clear()
        member.mute = True
        began = anyio.current_time()
        await member.wait_until(lambda peer: peer.closed == 1)
        assert anyio.current_time() - began < 1.5
        with anyio.fail_after(TEST_TIMEOUT_S):
            assert status(await client.receive()) == 200  # a page may be fetched again


async def test_one_told_draining_gets_no_new_stream_and_finishes_those_it_has() -> None:
    member, other = H2Peer(nothing), H2Peer(nothing)
    async with h2members(member, other) as on:
        client = await on.client()
        await client.send(request())
        with anyio.fail_after(TEST_TIMEOUT_S):
            while not member.came and not other.came:
                await anyio.sleep(0.001)
        drains, stays = (member, other) if member.came else (other, member)
        stays.acts.clear()
        name = "s-0" if drains is member else "s-1"
        told = {"seq": 42, "whole": False, "hosts": [row(name, drains.address, "Terminating")]}
        on.node.pool.apply_list(told)
        for _ in range(5):
            assert status(await on.ask(request())) == 200
        assert len(drains.came) == 1 and len(stays.came) == 5
        await drains.spoken[0].answer(1)
        with anyio.fail_after(TEST_TIMEOUT_S):
            assert status(await client.receive()) == 200
        await drains.wait_until(lambda peer: peer.closed == 1)


async def test_more_attempts_than_streams_open_another_connection() -> None:
    member = H2Peer(*[nothing] * 3, streams=2)
    async with h2members(member, streams=2) as on:
        clients = [await on.client() for _ in range(3)]
        for client in clients:
            await client.send(request(Quota_Info="units=1,spread=2,first=1"))
        await member.wait_until(lambda _: len(member.came) == 3)
        assert member.connections == 2


# ---- without sockets


def seen(open_: int = 0, allowed: int = 4, draining: bool = False, born: int = 0, used: int = 0) -> Seen:
    return Seen(open_, allowed, draining, born, used, 0)


@pytest.mark.parametrize(
    ("connections", "dialling", "waiting", "do", "which"),
    [
        ([], 0, 0, Do.DIAL, -1),
        ([], 1, 3, Do.WAIT, -1),
        ([], 1, 4, Do.DIAL, -1),
        ([seen(1), seen(3), seen(2)], 0, 0, Do.USE, 1),
        ([seen(4), seen(1, draining=True)], 0, 0, Do.DIAL, -1),
        ([seen(4), seen(4)], 0, 0, Do.FULL, -1),
        ([seen(4, draining=True), seen(4)], 0, 0, Do.DIAL, -1),
    ],
)
def test_the_fullest_with_room_carries_the_next(
    connections: list[Seen], dialling: int, waiting: int, do: Do, which: int
) -> None:
    choice = choose(connections, dialling, waiting, 4, 2)
    assert (choice.do, choice.which) == (do, which)


def test_old_and_unused_connections_retire_and_one_idle_is_kept() -> None:
    now = RETIRE_US
    idle = [seen(used=now - IDLE_US - i, born=now) for i in (5, 1, 9)]
    assert retire([*idle, seen(2, born=now)], now) == [0, 2]
    assert retire([seen(3, born=-1)], now) == [0]


@given(st.lists(st.builds(seen, st.integers(0, 4), st.just(4), st.booleans()), max_size=6), st.integers(0, 3))
def test_no_stream_goes_to_a_draining_or_a_full_one(connections: list[Seen], dialling: int) -> None:
    choice = choose(connections, dialling, 0, 4, 6)
    if choice.do is Do.USE:
        chosen = connections[choice.which]
        assert not chosen.draining and chosen.open < chosen.allowed
    elif choice.do is Do.DIAL:
        assert sum(not c.draining for c in connections) + dialling < 6


class Booked:
    """A flow that counts how it ended."""

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
    """What a connection asks of its link, its pool and its member."""

    closed, most, streams, ready, host, address = False, 4, 32, True, "s-0", "127.0.0.1:1"
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

    def room(self, member: Any) -> None: ...
    def gone(self, connection: Any) -> None: ...


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
        made = MemberConnection2(stub, stub, None, stub)  # type: ignore[arg-type]
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
            if not made.over:
                made.received(data)
            if then == "cancel" and flows[1].exchange.flow is not None:
                flows[1].over()
            elif then == "look" and not made.over:
                made.look(stub.now())
            elif then == "end" and not made.over:
                made.ended("")
        if not made.over:
            made.dead("the end")
        await anyio.sleep(0)
        assert [flow.ends for flow in flows] == [1, 1, 1]
        assert not made.streams and made.reserved == 0

    anyio.run(play)
