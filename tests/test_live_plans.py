"""Live plans over sockets: what clients see when the book changes, is damaged, or is put through the API."""

import json
import os
import time
from pathlib import Path
from typing import Any

import anyio
import pytest

from millfront.plans.part import LivePlans
from tests.peers import TEST_TIMEOUT_S, CounterPeer, Peer, RunningNode, request, running_node, status
from tests.test_config import command

pytestmark = pytest.mark.anyio
CUSTOMER = "00000000b4d65521"


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "asyncio", {"use_uvloop": True}


def put(file: Path, version: int, plan: str | None, **more: object) -> None:
    """Replaces the book as other tools do: writes a temporary file and renames it."""
    entries = [{"customer": CUSTOMER, "plan": plan}] if plan else []
    aside = file.with_suffix(".new")
    aside.write_text(json.dumps({"version": version, "assignments": entries} | more))
    os.replace(aside, file)


def operators(tmp_path: Path, **more: object) -> dict[str, Any]:
    return {"plans": {"file": str(tmp_path / "book.json"), "fleet_units_per_s": 100}} | more


async def served_within(on: RunningNode, seconds: float, wanted: int, **fields: str) -> float:
    """Sends requests until the wanted status comes; returns the time it took, in s."""
    began = time.monotonic()
    while status(await on.ask(request(**fields))) != wanted:
        assert time.monotonic() - began < seconds
        await anyio.sleep(0.01)
    return time.monotonic() - began


def part(on: RunningNode) -> LivePlans:
    return next(p for p in on.node.parts._parts if isinstance(p, LivePlans))


async def test_a_replaced_book_applies_within_a_second_and_overrides_the_request(
    tmp_path: Path,
) -> None:
    async with running_node(Peer(), operators=operators(tmp_path)) as on:
        await served_within(on, 1.0, 200, Plan="casual")
        assert status(await on.ask(request(Plan="gold"))) == 400  # no such plan
        put(tmp_path / "book.json", 1, "spent")
        await served_within(on, 1.0, 503, Plan="casual")
        assert status(await on.ask(request(Plan="gold"))) == 503  # the book overrides the request
        put(tmp_path / "book.json", 2, None)
        # no entry any more: the request decides; its bucket starts empty and fills at the plan's rate
        await served_within(on, 1.5, 200, Plan="casual")


@pytest.mark.parametrize(
    "bad",
    ['{"version": 2, "assignm', '{"version": 2, "assignments": [{"customer": "x", "plan": "casual"}]}', "{}"],
)
async def test_a_damaged_or_invalid_book_changes_nothing_and_a_start_takes_the_last_valid_one(
    tmp_path: Path, bad: str
) -> None:
    book = tmp_path / "book.json"
    assert command("plans", "--file", str(book), "assign", CUSTOMER, "spent").returncode == 0
    async with running_node(Peer(), operators=operators(tmp_path)) as on:
        await served_within(on, 1.0, 503)
        book.write_text(bad)
        with anyio.fail_after(TEST_TIMEOUT_S):
            while not part(on).refused:
                await anyio.sleep(0.01)
        assert status(await on.ask(request())) == 503 and part(on).status()["version"] == 1
        put(book, 1, "casual")  # valid, but its version does not go up
        with anyio.fail_after(TEST_TIMEOUT_S):
            while "does not go up" not in str(part(on).refused):
                await anyio.sleep(0.01)
        book.write_text(bad)
    async with running_node(Peer(), operators=operators(tmp_path)) as on:
        assert status(await on.ask(request())) == 503


async def test_a_scheduled_change_applies_at_its_instant_and_a_late_one_at_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    book = tmp_path / "book.json"
    async with running_node(Peer(), operators=operators(tmp_path)) as on:
        at = time.time() + 0.7
        begins = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(at)) + f"{at % 1:.6f}"[1:] + "Z"
        put(book, 1, None)
        put(book, 2, None, assignments=[{"customer": CUSTOMER, "plan": "spent", "from": begins}])
        answers = []
        while time.time() < at + 0.2:
            answers.append((time.time(), status(await on.ask(request()))))
            await anyio.sleep(0.01)
        assert all(code == 200 for when, code in answers if when < at - 0.01)
        assert all(code == 503 for when, code in answers if when > at + 0.01)
        entry = {"customer": "00000000000000ff", "plan": "spent", "from": "2026-01-01T00:00:00Z"}
        put(book, 3, None, assignments=[entry])
        began = time.monotonic()
        on.node.parts.reload()  # as SIGHUP does
        with anyio.fail_after(TEST_TIMEOUT_S):
            while part(on).status()["version"] != 3:
                await anyio.sleep(0.005)
        assert time.monotonic() - began < 0.25
        (late,) = [r for r in caplog.records if r.message == "a plan book applied late"]
        assert late.fields["late_s"] > 1000 and late.fields["entries"] == 1  # type: ignore[attr-defined]


async def test_two_operators_cannot_overwrite_each_other_through_the_api(tmp_path: Path) -> None:
    socket = f"unix:{tmp_path}/admin.sock"

    def plans(*words: str) -> tuple[int, str]:
        ended = command("plans", "--admin", socket, *words)
        return ended.returncode, ended.stdout + ended.stderr

    async with running_node(Peer(), operators=operators(tmp_path, admin={"listen": socket})) as on:
        run = anyio.to_thread.run_sync
        assert (await run(plans, "show"))[0] == 1  # no book yet
        code, said = await run(plans, "assign", CUSTOMER, "spent")
        assert code == 0 and "version 1" in said
        assert status(await on.ask(request())) == 503  # in force when the call returns
        mine, theirs = tmp_path / "mine.json", tmp_path / "theirs.json"
        for file in (mine, theirs):
            put(file, 2, "casual")
        tag = part(on).tag
        first = await run(plans, "apply", str(mine), "--if-match", tag)
        second = await run(plans, "apply", str(theirs), "--if-match", tag)
        assert first[0] == 0 and second[0] == 3
        put(mine, 3, "no-such-plan")
        code, said = await run(plans, "apply", str(mine))
        assert code == 2 and "$.assignments[0].plan: no plan is named 'no-such-plan'" in said
        assert part(on).status()["version"] == 2
        told = json.loads((await run(command, "status", "--admin", socket, "--json")).stdout)
        assert told["plans"]["version"] == 2 and told["open"] == 0
        on.node.stop()
        await on.ended.wait()
    assert not (tmp_path / "admin.sock").exists()


@pytest.mark.parametrize(
    ("call", "answers"),
    [
        (b"PUT /v1/plans HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", 428),
        (b"PUT /v1/plans HTTP/1.1\r\nHost: a\r\nIf-None-Match: *\r\nContent-Length: 2\r\n\r\n{}", 422),
        (
            b'PUT /v1/plans HTTP/1.1\r\nHost: a\r\nIf-Match: "x"\r\nContent-Length: 13\r\n\r\n{"version":1}',
            412,
        ),
        (b"DELETE /v1/plans HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"GET /v1/other HTTP/1.1\r\nHost: a\r\n\r\n", 404),
    ],
)
async def test_the_api_answers_faulty_calls_with_their_status(
    tmp_path: Path, call: bytes, answers: int
) -> None:
    listen = f"{tmp_path}/admin.sock"
    told = operators(tmp_path, admin={"listen": f"unix:{listen}"})
    async with running_node(Peer(), operators=told), await anyio.connect_unix(listen) as stream:
        await stream.send(call)
        with anyio.fail_after(TEST_TIMEOUT_S):
            assert status(await stream.receive()) == answers


async def test_reserved_units_serve_a_customer_far_over_its_plan(tmp_path: Path) -> None:
    class Adding(CounterPeer):
        """A counter that adds up amounts by name."""

        totals: dict[bytes, float]

        async def default_step(self, stream: Any) -> None:
            for line in self.seen[-1].split(b"\r\n")[:-1]:
                _, name, amount, _ = line.split()
                self.totals[name] = self.totals.get(name, 0.0) + float(amount)
                await stream.send(b"ok %.7g\r\n" % self.totals[name])

    counter = Adding()
    counter.totals = {}
    span = {"from": "2026-01-01T00:00:00Z", "until": "2036-01-01T00:00:00Z"}
    reserved = {"name": "launch", "customer": CUSTOMER, "units": 20.0} | span
    put(tmp_path / "book.json", 1, "spent", reservations=[reserved])
    async with running_node(Peer(), counter=counter, operators=operators(tmp_path)) as on:
        answers: list[int] = []
        with anyio.fail_after(TEST_TIMEOUT_S):
            while answers.count(200) < 10:
                answers.append(status(await on.ask(request())))
                await anyio.sleep(0.01)
        for _ in range(20):
            answers.append(status(await on.ask(request())))
    assert answers.count(200) == 10  # 20 units in requests of 2: all of them are served, and no more
