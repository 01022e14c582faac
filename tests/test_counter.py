"""The counter's stories: what it was told, and what the host heard."""

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


class Heard:
    """A host that only listens."""

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
async def calling(desk: CounterPeer, address: str = "") -> AsyncIterator[tuple[Heard, CounterClient]]:
    async with listening(desk):
        heard = Heard()
        counter = CounterClient(heard, Address.parse(address or desk.address, "counter"), WAIT_US, 250_000)  # type: ignore[arg-type]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(heard.timers.run)
            tasks.start_soon(counter.run)
            yield heard, counter
            tasks.cancel_scope.cancel()


async def test_calls_are_pipelined_and_matched_in_order() -> None:
    desk = CounterPeer(sends(b"ok 5\r\nbusy\r\nok 2.5e3\r\ner"), sends(b"ror\r\nok -1\r\n"))
    async with calling(desk) as (heard, counter):
        for name in (0xABC, 2, 3):
            counter.call(api.Count(name, 2.5, 4_000_500))
        await desk.wait_until(lambda peer: len(peer.seen) == 1)
        assert desk.seen[0].splitlines()[0] == b"add abc 2.5 4001"
        await heard.until(3)
        for name in (4, 5):
            counter.call(api.Count(name, -1.0, 1))
        await heard.until(5)
    assert [answer[0] for answer in heard.answers] == [0xABC, 2, 3, 4, 5]
    assert [answer[2] for answer in heard.answers] == [5.0, 0.0, 2500.0, 0.0, -1.0]
    assert [answer[1] for answer in heard.answers[1::2]] == [Outcome.FULL, Outcome.ERROR]
    assert desk.connections == 1


async def test_a_late_answer_is_consumed_and_not_taken_for_the_next_calls() -> None:
    go_on = anyio.Event()

    async def late(stream: SocketStream) -> None:
        await go_on.wait()
        await stream.send(b"ok 1\r\n")

    desk = CounterPeer(late, sends(b"ok 2\r\n"))
    async with calling(desk) as (heard, counter):
        counter.call(api.Count(1, 1.0, 1000))
        await heard.until(1)
        counter.call(api.Count(2, 1.0, 1000))
        go_on.set()
        await heard.until(2)
    assert heard.answers == [(1, Outcome.TIMEOUT, 0.0), (2, Outcome.OK, 2.0)]


@pytest.mark.parametrize(
    ("ends", "outcome"),
    [
        (disconnects, Outcome.RESET),  # may have been added
        (silent, Outcome.TIMEOUT),
        (sends(b"what?\r\n"), Outcome.RESET),
        (sends(b"ok nan\r\n"), Outcome.RESET),
        (sends(b"ok 1_0\r\n"), Outcome.RESET),
        (sends(b"x" * 400), Outcome.RESET),
        (sends(b"busy\r\n"), Outcome.FULL),  # surely not added, as is what was never written
    ],
)
async def test_how_a_call_ends_and_the_next_one_is_answered(ends: Step, outcome: Outcome) -> None:
    desk = CounterPeer(ends)
    async with calling(desk) as (heard, counter):
        counter.call(api.Count(1, 1.0, 1000))
        await heard.until(1)
        desk.script.clear()
        for count in range(2, 60):  # a connection that fell silent is given up after a second
            counter.call(api.Count(2, 1.0, 1000))
            await heard.until(count)
            if heard.answers[-1][1] is Outcome.OK:
                break
    assert heard.answers[0] == (1, outcome, 0.0)
    assert heard.answers[-1] == (2, Outcome.OK, 7.0)


async def test_nobody_there_means_nothing_added() -> None:
    async with calling(CounterPeer(), "127.0.0.1:1") as (heard, counter):
        counter.call(api.Count(1, 1.0, 1000))
        await heard.until(1)
    assert heard.answers == [(1, Outcome.CONNECT_FAILED, 0.0)]
