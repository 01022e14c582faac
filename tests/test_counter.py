"""The counter client against a scripted counter: the calls it sends and the outcomes that the host gets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from millfront import interface as api
from millfront.interface import Outcome
from millfront.node.config import Address
from millfront.node.counter import CounterClient
from millfront.node.host import Clock, Timers
from tests.peers import TEST_TIMEOUT_S, CounterPeer, Step, disconnects, listening, sends, silent

pytestmark = pytest.mark.anyio
WAIT_US = 80_000


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}


class RecordingHost:
    """A host that records the outcomes of calls."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.timers = Timers(self.clock)
        self.answers: list[tuple[int, Outcome, float]] = []
        self.changed = anyio.Event()

    def counter_answered(self, event: api.CounterAnswered) -> None:
        self.answers.append((event.name, event.outcome, event.total))
        self.changed.set()
        self.changed = anyio.Event()

    async def until(self, count: int) -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            while len(self.answers) < count:
                await self.changed.wait()


@asynccontextmanager
async def calling(
    server: CounterPeer, address: str = ""
) -> AsyncIterator[tuple[RecordingHost, CounterClient]]:
    async with listening(server):
        host = RecordingHost()
        counter = CounterClient(host, Address.parse(address or server.address, "counter"), WAIT_US, 250_000)  # type: ignore[arg-type]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(host.timers.run)
            tasks.start_soon(counter.run)
            yield host, counter
            tasks.cancel_scope.cancel()


async def test_calls_are_pipelined_and_matched_in_order() -> None:
    server = CounterPeer(sends(b"ok 5\r\nbusy\r\nok 2.5e3\r\ner"), sends(b"ror\r\nok -1\r\n"))
    async with calling(server) as (host, counter):
        for name in (0xABC, 2, 3):
            counter.call(api.Count(name, 2.5, 4_000_500))
        await server.wait_until(lambda peer: len(peer.seen) == 1)
        assert server.seen[0].splitlines()[0] == b"add abc 2.5 4001"
        await host.until(3)
        for name in (4, 5):
            counter.call(api.Count(name, -1.0, 1))
        await host.until(5)
    assert [answer[0] for answer in host.answers] == [0xABC, 2, 3, 4, 5]
    assert [answer[2] for answer in host.answers] == [5.0, 0.0, 2500.0, 0.0, -1.0]
    assert [answer[1] for answer in host.answers[1::2]] == [Outcome.FULL, Outcome.ERROR]
    assert server.connections == 1


async def test_a_late_answer_is_consumed_and_not_taken_for_the_next_calls() -> None:
    go_on = anyio.Event()

    async def late(stream: SocketStream) -> None:
        await go_on.wait()
        await stream.send(b"ok 1\r\n")

    server = CounterPeer(late, sends(b"ok 2\r\n"))
    async with calling(server) as (host, counter):
        counter.call(api.Count(1, 1.0, 1000))
        await host.until(1)
        counter.call(api.Count(2, 1.0, 1000))
        go_on.set()
        await host.until(2)
    assert host.answers == [(1, Outcome.TIMEOUT, 0.0), (2, Outcome.OK, 2.0)]


@pytest.mark.parametrize(
    ("ends", "outcome"),
    [
        (disconnects, Outcome.RESET),  # may have been added
        (silent, Outcome.TIMEOUT),
        (sends(b"what?\r\n"), Outcome.RESET),
        (sends(b"ok nan\r\n"), Outcome.RESET),
        (sends(b"ok 1_0\r\n"), Outcome.RESET),
        (sends(b"x" * 400), Outcome.RESET),
        (sends(b"busy\r\n"), Outcome.FULL),  # certainly not added, like a call that was never written
    ],
)
async def test_how_a_call_ends_and_the_next_one_is_answered(ends: Step, outcome: Outcome) -> None:
    server = CounterPeer(ends)
    async with calling(server) as (host, counter):
        counter.call(api.Count(1, 1.0, 1000))
        await host.until(1)
        server.script.clear()
        for count in range(2, 60):  # a silent connection is given up after a second
            counter.call(api.Count(2, 1.0, 1000))
            await host.until(count)
            if host.answers[-1][1] is Outcome.OK:
                break
    assert host.answers[0] == (1, outcome, 0.0)
    assert host.answers[-1] == (2, Outcome.OK, 7.0)


async def test_nobody_there_means_nothing_added() -> None:
    async with calling(CounterPeer(), "127.0.0.1:1") as (host, counter):
        counter.call(api.Count(1, 1.0, 1000))
        await host.until(1)
    assert host.answers == [(1, Outcome.CONNECT_FAILED, 0.0)]
