"""Usage over sockets: what a node bills for each way an attempt can end, and what survives a kill."""

import threading
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import pytest

from benchmarks import kills
from millfront.node.config import Address
from millfront.usage.part import UsagePart
from millfront.usage.receiver import BatchReceiver, create_server
from millfront.usage.sinks import HttpSink
from tests.peers import (
    TEST_TIMEOUT_S,
    Peer,
    answer,
    disconnects,
    listening,
    request,
    running_node,
    silent,
    status,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}


@pytest.fixture
def receiver() -> Iterator[tuple[BatchReceiver, str]]:
    receiving = BatchReceiver()
    made = create_server(receiving, "127.0.0.1", 0)
    threading.Thread(target=made.serve_forever, daemon=True).start()
    yield receiving, f"127.0.0.1:{made.server_port}"
    made.shutdown()


def operators(tmp_path: Path, receiver: str) -> dict[str, Any]:
    export = {"receiver": {"address": receiver}}
    return {
        "usage": {"folder": str(tmp_path / "ledger"), "segment_s": 0.2, "fsync_s": 0.05, "export": export}
    }


async def test_each_way_an_attempt_ends_is_billed_as_documented(
    tmp_path: Path, receiver: tuple[BatchReceiver, str]
) -> None:
    receiving, address = receiver
    success = answer(200, b"page", b"Billed-Units: 3.5")
    never = answer(503, b"", b"Not-Started: 1")
    # served; error, not repeatable; connection lost, then the repeat served; never started at any member
    member = Peer(success, answer(500), disconnects, success, never)
    async with running_node(member, operators=operators(tmp_path, address)) as on:
        assert status(await on.ask(request("page-fetch"))) == 200
        assert status(await on.ask(request("code-redeem"))) == 502
        repeated = status(await on.ask(request("page-fetch")))
        assert status(await on.ask(request("code-redeem"))) in (503, 200)
        on.node.stop()
        with anyio.fail_after(TEST_TIMEOUT_S):
            await on.ended.wait()
    billed: Counter[tuple[str, str]] = Counter()
    for ledger in receiving.totals:
        for line in receiving.tally(ledger):
            billed[(line["class"], line["figure"])] += line["units"]
    guessed = 2.0 if repeated != 200 else 0.0
    assert billed[("page-fetch", "told")] == 3.5 + (3.5 if repeated == 200 else 0.0)
    assert billed[("code-redeem", "guessed")] == 2.0
    assert billed[("page-fetch", "guessed")] == guessed


async def test_a_receiver_that_is_silent_then_down_then_back_gets_each_batch_once(
    tmp_path: Path, receiver: tuple[BatchReceiver, str]
) -> None:
    receiving, address = receiver
    never = Peer(*[silent] * 100)
    options = operators(tmp_path, "")
    options["usage"]["export"]["receiver"] |= {"timeout_s": 0.1, "first_wait_s": 0.01, "most_wait_s": 0.05}
    async with listening(never):
        options["usage"]["export"]["receiver"]["address"] = never.address
        async with running_node(Peer(), operators=options) as on:
            (part,) = [p for p in on.node.parts._parts if isinstance(p, UsagePart)]
            assert part.exporter is not None
            for _ in range(3):
                assert status(await on.ask(request())) == 200  # no request waits for the export
            with anyio.fail_after(TEST_TIMEOUT_S):
                while never.connections < 3:
                    await never.wait_until(lambda peer: peer.connections >= 3)
            assert "no answer" in str(part.status()["export_trouble"])
            sink = part.exporter.sink
            assert isinstance(sink, HttpSink)
            sink.address = Address.parse("127.0.0.1:1", "")  # nobody listens there
            with anyio.fail_after(TEST_TIMEOUT_S):
                while "did not come up" not in str(part.status()["export_trouble"]):
                    await anyio.sleep(0.01)
            sink.address = Address.parse(address, "")
            with anyio.fail_after(TEST_TIMEOUT_S):
                while part.exporter.lines == 0:
                    await anyio.sleep(0.01)
            on.node.stop()
            with anyio.fail_after(TEST_TIMEOUT_S):
                await on.ended.wait()
    (totals,) = receiving.totals.values()
    assert sum(totals.values()) == 6_000_000


async def test_a_ledger_that_cannot_be_opened_refuses_no_request_and_is_reported(tmp_path: Path) -> None:
    (tmp_path / "ledger").write_text("a file where the folder should be")
    async with running_node(Peer(), operators=operators(tmp_path, "127.0.0.1:1")) as on:
        for _ in range(3):
            assert status(await on.ask(request())) == 200
        (part,) = on.node.parts._parts
        said = part.status()  # type: ignore[attr-defined]
        assert not said["ready"] and "exists" in said["why"].lower()
        assert (said["unrecorded_tries"], said["unrecorded_units"]) == (3, 6.0)


@pytest.mark.parametrize(("times", "spool"), [(20, False), (4, True)])
def test_every_unit_arrives_once_though_the_gatekeeper_is_killed_repeatedly(
    tmp_path: Path, times: int, spool: bool
) -> None:
    record, problems = kills.run(times, 5, tmp_path, spool)
    assert problems == []
    assert record.kills == times and len(record.answered) > 20 * times and record.open_at_kill
