"""Requests with an operation key: the first one runs, repeats receive its answer, nothing runs twice."""

import asyncio
from pathlib import Path

import pytest

from millfront.dataplane import keyed_requests
from millfront.operations.claims import OperationClaims
from tests.system_world import document
from tests.test_gatekeeper_calls import KEY, SEAL, quick, run_scenario, running_gatekeeper, sends

__all__ = ["quick"]  # a fixture: a core of one is bootstrapped at once

KEYED = "Millfront-Operation-Key: k-1\r\n" + KEY
TEST_TIMEOUT_S = 10.0
CONFIGURATION = document(2, {"t": ["key-1"]}, kind="keyed", target_time="4s")  # claims wait for a slow disk


def test_a_repeat_is_given_the_answer_of_the_first_run(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_gatekeeper(
            tmp_path, [sends(body=b"first", more=SEAL), sends(body=b"second", more=SEAL)]
        ) as made:
            assert await made.put(CONFIGURATION) == 200
            status, head, body = await made.ask("POST", "/p/a1", b"x", more=KEYED)
            assert (status, body) == (200, b"first")
            again, head_again, body_again = await made.ask("POST", "/p/a2", b"x", more=KEYED)
            assert (again, body_again) == (200, b"first")
            assert b"Millfront-Server-Seal: 1" in head and b"Millfront-Server-Seal: 1" in head_again
            assert len(made.seen) == 1

    run_scenario(scenario)


def test_a_repeat_while_the_first_request_runs_gets_409(tmp_path: Path) -> None:
    async def scenario() -> None:
        running, may_answer = asyncio.Event(), asyncio.Event()

        async def slow(head: bytes, writer: asyncio.StreamWriter, number: int) -> None:
            running.set()
            await may_answer.wait()
            await sends(body=b"first", more=SEAL)(head, writer, number)

        async with running_gatekeeper(tmp_path, [slow]) as made:
            assert await made.put(CONFIGURATION) == 200
            first = asyncio.create_task(made.ask("POST", "/p/a1", b"x", more=KEYED))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await running.wait()
            assert (await made.ask("POST", "/p/a2", b"x", more=KEYED))[0] == 409
            may_answer.set()
            assert (await first)[2] == b"first"
            assert (await made.ask("POST", "/p/a3", b"x", more=KEYED))[2] == b"first"
            assert len(made.seen) == 1

    run_scenario(scenario)


def test_an_answer_that_is_still_being_stored_when_the_process_exits_is_delivered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a server's answer that is replaced by a refusal or by a closed connection."""
    monkeypatch.setattr(keyed_requests, "STORE_WAIT_S", 60.0)

    async def scenario() -> None:
        acknowledged = asyncio.Event()
        monkeypatch.setattr(OperationClaims, "handle_finish_ack", lambda *_: acknowledged.set())
        async with running_gatekeeper(tmp_path, [sends(body=b"first", more=SEAL)]) as made:
            assert await made.put(CONFIGURATION) == 200
            asked = asyncio.create_task(made.ask("POST", "/p/a1", b"x", more=KEYED))
            proxy = made.service.proxy
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await acknowledged.wait()
            assert not asked.done() and len(proxy.open_requests) == 1
            proxy.give_up_waiting()
            status, _, body = await asked
            assert (status, body, len(proxy.open_requests)) == (200, b"first", 0)

    run_scenario(scenario)


def test_a_servers_own_503_is_no_answer_for_a_repeat_though_the_first_client_has_left(tmp_path: Path) -> None:
    """The request has run; the same 503 to a repeat would promise that it has not."""

    async def scenario() -> None:
        running, left = asyncio.Event(), asyncio.Event()

        async def answer_503(head: bytes, writer: asyncio.StreamWriter, number: int) -> None:
            running.set()
            await left.wait()
            await sends(status="503 Busy", body=b"")(head, writer, number)

        async with running_gatekeeper(tmp_path, [answer_503, sends(body=b"second", more=SEAL)]) as made:
            assert await made.put(CONFIGURATION) == 200
            first = asyncio.create_task(made.ask("POST", "/p/a1", b"x", more=KEYED))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await running.wait()
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            proxy = made.service.proxy
            await made.until(lambda: len(proxy.open_requests) == 0)  # the gatekeeper has seen that it left
            left.set()
            status = 409
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while status == 409:
                    status = (await made.ask("POST", "/p/a2", b"x", more=KEYED))[0]
            assert status == 502
            assert len(made.seen) == 1

    run_scenario(scenario)
