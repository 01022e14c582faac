"""A request is sent once, and its answer reaches the client that sent it: faults at every point between the
choice of a connection and the end of the answer (docs/design/call-once.md), with several clients at once,
over real sockets.

A *case* is (point, fault) x kind of request x new or reused connection. The test records what servers ran
and answered and which connections carried a request's bytes; `History.faults` judges these records alone.
"""

import asyncio
import json
import random
import re
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import product
from pathlib import Path
from typing import Any

import pytest

from millfront.dataplane import load_balancer
from millfront.dataplane.client_request import ClientRequest
from millfront.dataplane.load_balancer import State
from millfront.dataplane.proxy import Proxy
from millfront.dataplane.retries import RequestProgress
from millfront.discovery.warm_up import WarmUp
from millfront.node.endings import Ending
from millfront.node.http import Message
from millfront.node.link import Link
from millfront.node.members import IdleReuseStats, MemberConnection
from millfront.node.stages import send
from millfront.register import bootstrap
from tests import test_gatekeeper_calls as calls
from tests.system_world import document

KINDS = {
    "idempotent": b"",
    "effectful": b"order " * 9,
    "upload": b"pages " * 30_000,
    "idempotent-long": b"pages " * 50_000,
}
# By point: the faults that a server, a client, or the kernel in between causes there.
CUT = ("reset", "close", "silence")
POINTS: dict[str, tuple[str, ...]] = {
    "accepted": ("reset", "close"),  # before any byte is read
    "kernel": ("none", "part", "most"),  # so much of the request is accepted, then the connection is reset
    "asked": (*CUT, "turned", "foreign"),  # the head has been read, the body has not
    "run": (*CUT, "foreign", "nameless", "unsealed", "turned", "misdirected", "busy", "error"),
    "interim": CUT,  # after a 103
    "answer": (*CUT, "turned"),  # in the middle of the answer's head
    "body": CUT,  # in the middle of its body
    "long": CUT,  # in the middle of a body too long to be buffered
    "after": ("second", "late", "reset", "close"),  # the answer is complete
    "client": ("leaves", "leaves midway", "stalls midway", "asks on"),  # the last: pipelines requests
    "office": ("ends",),  # the gatekeeper drains, as after SIGTERM
}
CASES = [(point, fault) for point, faults in POINTS.items() for fault in faults]
PROMISES = (408, 421, 429, 503)


@dataclass
class AttemptRecord:
    """What is known about one attempt."""

    kind: str
    written: list[int] = field(default_factory=list)  # connections that any of its bytes were written to
    ran: list[bytes] = field(default_factory=list)  # the complete bodies with which servers began to run it
    rejections: int = 0  # servers that answered that they had not run it
    answers: list[bytes] = field(default_factory=list)  # bodies of successes
    received: tuple[int, bytes, bytes] | None = None  # by the client: status, head, body; None: cut off


class History(calls.RunningGatekeeper):
    """A gatekeeper between scripted clients and servers, with a record of every attempt."""

    def __init__(self) -> None:
        super().__init__()
        self.attempts: dict[bytes, AttemptRecord] = {}
        self.plans: dict[bytes, tuple[str, str]] = {}  # by attempt: (point, fault) of its first arrival
        self.connection_faults: list[str] = []  # of the next accepted connections
        self.covered: set[tuple[str, str, str, bool]] = set()
        self.reached: dict[bytes, asyncio.Event] = defaultdict(asyncio.Event)  # its head reached a server
        self.left: dict[bytes, asyncio.Event] = defaultdict(asyncio.Event)  # its client disconnected
        self.number = 0

    # ---- servers -------------------------------------------------------------------------------

    async def serve(self, number: int) -> str:
        async def serving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            late = b""
            try:
                while True:
                    if self.connection_faults:
                        return self.end(writer, self.connection_faults.pop())
                    head = await reader.readuntil(b"\r\n\r\n")
                    late = await self.answer(head, reader, writer, late)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serving, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    @staticmethod
    def end(writer: asyncio.StreamWriter, fault: str) -> None:
        if fault == "reset":
            writer.transport.abort()
        writer.close()

    async def answer(
        self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, late: bytes
    ) -> bytes:
        """Serve one request by its plan; returns bytes to send before the next request's answer."""
        name = calls.field(head, "Millfront-Attempt-Id")
        record = self.attempts[name]
        point, fault = self.plans.pop(name, ("", ""))
        self.reached[name].set()

        def foreign(more: str = calls.SEAL) -> bytes:
            return calls.answer(head, b"another's", more=more, own=b"f0f0")

        async def inject(fault: str) -> None:
            if fault in ("reset", "close"):
                self.end(writer, fault)
                raise ConnectionError
            if fault == "silence":
                while await reader.read(65536):
                    pass
                raise ConnectionError
            if fault == "turned":
                record.rejections += 1
                writer.write(calls.answer(head, status="503 Full", more="Millfront-Not-Executed: 1\r\n"))
            elif fault == "foreign":
                writer.write(foreign())

        if point == "asked":
            await inject(fault)
        body = await body_of(head, reader)
        if point == "asked":  # answered already
            return late
        if fault == "leaves":
            await self.left[name].wait()
        if point == "office":
            self.service.proxy.server.set_closing(True)
        if point == "run" and fault in ("turned", "misdirected"):
            record.rejections += 1
            how = (
                {"status": "421 Not me"}
                if fault == "misdirected"
                else {"status": "503 Full", "more": "Millfront-Not-Executed: 1\r\n"}
            )
            writer.write(late + calls.answer(head, **how))  # type: ignore[arg-type]
            return b""
        record.ran.append(body)
        size = 100_000 if point == "long" else 40
        page = (b"page %d of %s " % (len(record.ran), name)) * size
        page = page[:size]
        whole = calls.answer(head, page, more=calls.SEAL)
        ahead = whole.index(b"\r\n\r\n") + 4
        if point == "interim":
            writer.write(late + b"HTTP/1.1 103 Early Hints\r\n\r\n")
            await inject(fault)
        if point in ("answer", "body", "long"):
            writer.write(
                late + whole[: {"answer": ahead // 2, "body": ahead + 7}.get(point, len(whole) // 2)]
            )
            await writer.drain()
            await inject(fault)
            return b""
        if point == "run":
            await inject(fault)
            other = {
                "nameless": whole.replace(b"Millfront-Attempt-Id", b"X-Nothing"),
                "unsealed": calls.answer(head, page),
                "busy": calls.answer(head, status="503 Not now"),
                "error": calls.answer(head, status="500 Oh"),
            }
            writer.write(late + other.get(fault, b""))
            return b""
        record.answers.append(page)
        writer.write(late + whole)
        if point == "after":
            if fault == "second":
                writer.write(foreign())
            await writer.drain()
            await inject(fault)
            return foreign() if fault == "late" else b""
        return b""

    # ---- clients -------------------------------------------------------------------------------

    def open(self, kind: str, plan: tuple[str, str] | None = None) -> bytes:
        self.number += 1
        name = b"%08x" % self.number
        self.attempts[name] = AttemptRecord(kind)
        if plan is not None:
            if plan[0] == "accepted":
                self.connection_faults.append(plan[1])
            self.plans[name] = plan
        return name

    async def client(self, names: list[bytes], random: random.Random) -> None:
        """One client: sends these requests one after another, on one connection as long as it lasts."""
        host, _, port = self.plain.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        asked_on = False
        for name in names:
            if writer.is_closing() or reader.at_eof():
                if asked_on:  # already sent with the previous request, but not answered
                    return
                reader, writer = await asyncio.open_connection(host, int(port))
            record, data = self.attempts[name], self.request(name, random)
            _, fault = self.plans.get(name, ("", ""))
            try:
                async with asyncio.timeout(6):
                    if fault.startswith("leaves"):
                        writer.write(data if fault == "leaves" else data[: len(data) // 2])
                        if fault == "leaves" or len(data) > 150_000:
                            await self.reached[name].wait()
                        writer.transport.abort()
                        self.left[name].set()
                        continue
                    if fault == "stalls midway":
                        data = data[: len(data) // 2]
                    if fault == "asks on":
                        asked_on = True
                        data += b"".join(self.request(other, random) for other in names[1:])
                    if name == names[0] or not asked_on:
                        writer.write(data)
                    head = await reader.readuntil(b"\r\n\r\n")
                    record.received = int(head.split()[1]), head, await body_of(head, reader)
                    if calls.field(head, "Connection") == b"close":
                        writer.close()
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
        writer.close()

    def request(self, name: bytes, random: random.Random) -> bytes:
        kind = self.attempts[name].kind
        fields = f"Host: a.example\r\nMillfront-Attempt-Id: {name.decode()}\r\n{calls.KEY}"
        fields += "Millfront-Deadline-Ms: 400\r\n"
        body = KINDS[kind]
        if kind.endswith("-long") or (body and random.random() < 0.5):
            fields += "Transfer-Encoding: chunked\r\n"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        elif body:
            fields += f"Content-Length: {len(body)}\r\n"
        return f"{'POST' if body else 'GET'} /{kind}/x HTTP/1.1\r\n{fields}\r\n".encode() + body

    # ---- checks --------------------------------------------------------------------------------

    def faults(self) -> set[str]:
        found = set()
        for name, record in self.attempts.items():
            once = not record.kind.startswith("idempotent")
            if once and (len(record.ran) > 1 or len(set(record.written)) - record.rejections > 1):
                found.add("sent twice")
            if any(body != KINDS[record.kind] for body in record.ran):
                found.add("changed on its way")
            if record.received is None:
                continue
            status, head, body = record.received
            if 200 <= status < 300 and (
                body not in record.answers or calls.field(head, "Millfront-Attempt-Id") != name
            ):
                found.add("another's answer")
            if once and status in PROMISES and (record.ran or len(set(record.written)) > record.rejections):
                found.add("a promise that does not hold")
        return found


async def body_of(head: bytes, reader: asyncio.StreamReader) -> bytes:
    if not calls.field(head, "Transfer-Encoding"):
        return await reader.readexactly(int(calls.field(head, "Content-Length") or 0))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten timeouts that otherwise take seconds."""
    for name in ("MIN_UPTIME_S", "SETTLE_S"):
        monkeypatch.setattr(bootstrap, name, 0.0)
    monkeypatch.setattr(load_balancer, "FULL_PAUSE_S", 0.0)
    monkeypatch.setattr(send, "STALL_CHECK_INTERVAL_S", 0.05)
    monkeypatch.setattr(send, "BODY_STALL_TIMEOUT_US", 100_000)
    monkeypatch.setattr(send, "PARTIAL_DELIVERY_S", 0.01)


class UnlimitedBudget:
    """A retry budget that allows every attempt; the budget is not under test here."""

    def record_request(self, *_: Any) -> None: ...
    def spend(self, *_: Any) -> bool:
        return True


def instrument(made: History, monkeypatch: pytest.MonkeyPatch) -> Proxy:
    proxy = made.service.proxy
    proxy.send.completion_timeout_s, proxy.server.request_read_timeout_us = 0.1, 100_000
    monkeypatch.setattr(proxy, "retry_budget", lambda _: UnlimitedBudget())
    for word in ("record_failure", "record_misdirected"):  # servers are never ejected
        monkeypatch.setattr(proxy.load_balancer, word, lambda *_: None)
    asked = MemberConnection.request
    whole = Link.send
    reset_links: set[int] = set()

    def request(self: MemberConnection, start: Any, fields: Any, *more: Any) -> None:
        name = next(value for key, value in fields if key == b"Millfront-Attempt-Id")
        point, fault = made.plans.get(name, ("", ""))
        made.covered.add((point, fault, made.attempts[name].kind, self.idle_us > 0))
        asked(self, start, fields, *more)

    def sending(self: Link, data: bytes | bytearray) -> int:
        if not isinstance(self.owner, MemberConnection):
            return whole(self, data)
        if id(self) in reset_links:
            raise ConnectionResetError
        found = re.search(rb"\r\nMillfront-Attempt-Id: ([0-9a-f]+)\r\n", data[:2000])
        record = made.attempts.get(found[1]) if found is not None else None
        if found is None or record is None:
            return whole(self, data)
        if made.plans.get(found[1], ("",))[0] == "kernel":
            _, fault = made.plans.pop(found[1])
            reset_links.add(id(self))
            if fault == "none":
                raise ConnectionResetError
            data = data[: len(data) // 2 if fault == "part" else len(data) - 1]
        sent = whole(self, data)
        record.written.append(id(self))
        keep.append(self)
        return sent

    keep: list[Link] = []  # keeps links alive so that no id() is reused
    monkeypatch.setattr(MemberConnection, "request", request)
    monkeypatch.setattr(Link, "send", sending)
    return proxy


def reset_servers(proxy: Proxy) -> None:
    """Reset what the proxy has learned about servers."""
    proxy.load_balancer.service_times["shop"] = 0.004
    proxy.members.idle_reuse = IdleReuseStats()
    for seen in proxy.load_balancer.server_states.values():
        seen.failures, seen.state, seen.paused_until, seen.slowness, seen.slots = (
            0,
            State.HEALTHY,
            0.0,
            1.0,
            50,
        )
        seen.server.warm_up = WarmUp()


def routes() -> str:
    configuration = json.loads(document(2, {"t": ["key-1"]}))
    route = configuration["resources"].pop(0)
    for kind in KINDS:
        variant = kind.partition("-")[0]
        spec = route["spec"] | {"path_prefix": f"/{kind}/", "variant_tag": variant, "target_time": "20ms"}
        configuration["resources"].append(
            {"variant": "routes", "meta": {"name": kind}, "spec": spec | {"max_tries": 3}}
        )
    configuration["resources"][0]["spec"]["max_conns"] = 500
    return json.dumps(configuration)


async def run_cases(
    tmp_path: Path, patch: pytest.MonkeyPatch, seed: int, cases: list[tuple[str, str]]
) -> History:
    """Run these cases for all kinds of requests, on new and reused connections: six clients at once, each
    with two requests, the first of which meets the fault."""
    chance = random.Random(seed)
    made = History()
    async with calls.running_gatekeeper(tmp_path, [], servers=3, system=made):
        assert await made.put(routes()) == 200
        proxy = instrument(made, patch)
        todo = list(product(cases, KINDS, (False, True)))
        chance.shuffle(todo)
        todo.sort(key=lambda each: (each[2], each[0][0] == "accepted"))
        while todo:
            batch = [todo.pop() for _ in range(min(6, len(todo)))]
            reset_servers(proxy)
            if batch[0][2]:
                warm = [made.open("idempotent") for _ in batch]
                await asyncio.gather(*(made.client([name], chance) for name in warm))
                reset_servers(proxy)
            else:
                for member in list(proxy.members._by_id.values()):
                    proxy.members.close_idle(member)
            pairs = [
                [made.open(kind, case), made.open(chance.choice(list(KINDS)))] for case, kind, _ in batch
            ]
            await asyncio.gather(*(made.client(names, chance) for names in pairs))
            made.connection_faults.clear()
            proxy.server.set_closing(False)
    return made


def run_cases_sync(
    tmp_path: Path, patch: pytest.MonkeyPatch, seed: int, cases: list[tuple[str, str]]
) -> History:
    return asyncio.run(run_cases(tmp_path, patch, seed, cases))


@pytest.mark.parametrize("point", POINTS)
def test_a_request_is_sent_once_and_its_answer_reaches_the_client_that_sent_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, point: str
) -> None:
    cases = [case for case in CASES if case[0] == point]
    made = run_cases_sync(tmp_path, monkeypatch, 7, cases)
    assert made.faults() == set()
    kinds = {(fault, kind) for _, fault, kind, _ in made.covered if fault}
    short = set(product(("leaves midway", "stalls midway"), ("idempotent", "effectful")))  # never sent
    assert kinds | short == set(product(POINTS[point], KINDS)) | short  # every case was covered
    assert point == "accepted" or {kept for _, fault, _, kept in made.covered if fault} == {False, True}


# ---- the checks find planted faults --------------------------------------------------------------------


def resent_after_partial_write(patch: pytest.MonkeyPatch) -> None:
    """Another connection is tried although the kernel had accepted bytes of the request."""
    whole = send.ServerSideFlow.on_broken

    def broken(self: send.ServerSideFlow, ended: Any) -> None:
        ended.partially_sent = False
        whole(self, ended)

    patch.setattr(send.ServerSideFlow, "on_broken", broken)


def rerun_after_possible_execution(patch: pytest.MonkeyPatch) -> None:
    """A request that may have run is sent to another server."""
    patch.setattr(RequestProgress, "may_retry", lambda self: self.arrivals + self.in_flight < self.max_tries)


def ids_not_compared(patch: pytest.MonkeyPatch) -> None:
    whole = Proxy.classify_response

    def judge(self: Proxy, flow: Any, answer: Message) -> Ending:
        fields = [(b"millfront-attempt-id", flow.open_request.attempt_id)]
        fields += [(name, value) for name, value in answer.fields if name != b"millfront-attempt-id"]
        return whole(self, flow, Message(answer.start, fields, answer.raw_fields, answer.body))

    patch.setattr(Proxy, "classify_response", judge)


def always_promised(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RequestProgress, "known_not_run", lambda self: True)


def promises_passed_on(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("millfront.dataplane.proxy.promises_not_run", lambda answer: False)


def long_bodies_hedged(patch: pytest.MonkeyPatch) -> None:
    whole = Proxy._hedge

    def copy(self: Proxy, request: ClientRequest) -> None:
        if (
            request.arrival.message.upload is not None
            and not request.finished
            and request.progress.in_flight == 1
        ):
            request.timer = None
            self.dispatch(request)
        else:
            whole(self, request)

    patch.setattr(Proxy, "_hedge", copy)


def streams_not_separated(patch: pytest.MonkeyPatch) -> None:
    """An answer that is being streamed to the client does not keep another one from it."""
    whole = Proxy.attempt_ended

    def book(self: Proxy, flow: Any, ending: Ending, answer: Message | None) -> None:
        if ending is Ending.SERVED and flow.open_request.streaming_flow >= 0:
            flow.open_request.streaming_flow = flow.number
        whole(self, flow, ending, answer)

    patch.setattr(Proxy, "attempt_ended", book)


@pytest.mark.parametrize(
    ("plant", "case", "found"),
    [
        (resent_after_partial_write, ("kernel", "part"), "sent twice"),
        (rerun_after_possible_execution, ("run", "reset"), "sent twice"),
        (ids_not_compared, ("run", "foreign"), "another's answer"),
        (always_promised, ("answer", "close"), "a promise that does not hold"),
        (always_promised, ("client", "stalls midway"), "a promise that does not hold"),
        (promises_passed_on, ("run", "busy"), "a promise that does not hold"),
        (long_bodies_hedged, ("run", "silence"), "changed on its way"),
    ],
)
def test_a_planted_fault_is_found(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    plant: Callable[[pytest.MonkeyPatch], None],
    case: tuple[str, str],
    found: str,
) -> None:
    plant(monkeypatch)
    assert found in run_cases_sync(tmp_path, monkeypatch, 3, [case]).faults()


def race_two_servers(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> bool:
    """Two servers have the same request. The first starts streaming a long answer to the client, then the
    second answers too. Returns whether the client gets the first answer, and the next request its own."""

    async def scenario() -> bool:
        begun, over = asyncio.Event(), asyncio.Event()
        page = bytes(range(256)) * 800

        async def first(head: bytes, writer: asyncio.StreamWriter, _: int) -> None:
            whole = calls.answer(head, page, more=calls.SEAL)
            await made.until(lambda: len(made.seen) == 2)
            writer.write(whole[:-50_000])
            await over.wait()
            writer.write(whole[-50_000:])

        async def second(head: bytes, writer: asyncio.StreamWriter, _: int) -> None:
            await begun.wait()
            writer.write(calls.answer(head, b"short", more=calls.SEAL))

        made = calls.RunningGatekeeper()
        async with calls.running_gatekeeper(tmp_path, [first, second, calls.serves], system=made):
            assert await made.put(routes()) == 200
            proxy = made.service.proxy
            monkeypatch.setattr(proxy, "retry_budget", lambda _: UnlimitedBudget())
            proxy.load_balancer.service_times["shop"] = 0.004
            host, _, port = made.plain.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            ask = f"GET /idempotent/x HTTP/1.1\r\nHost: a.example\r\n{calls.KEY}Millfront-Attempt-Id: "
            writer.write(f"{ask}1\r\n\r\n".encode())
            async with asyncio.timeout(5):
                head = await reader.readuntil(b"\r\n\r\n")
                got = await reader.readexactly(1000)
                begun.set()
                seen = proxy.load_balancer.server_states.values()
                await made.until(lambda: sum(len(server.in_flight) for server in seen) == 1)
                writer.write(f"{ask}2\r\n\r\n".encode())
                for _ in range(3):  # other requests, to give the second server time
                    assert (await made.ask("GET", "/idempotent/b7", more=calls.KEY))[0] == 200
                over.set()
                got += await reader.readexactly(len(page) - 1000)
                if got != page:
                    return False
                head = await reader.readuntil(b"\r\n\r\n")
                return calls.field(head, "Millfront-Attempt-Id") == b"2"

    return asyncio.run(scenario())


def test_a_second_answer_does_not_end_a_streaming_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert race_two_servers(tmp_path, monkeypatch)


def test_mixed_answers_are_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    streams_not_separated(monkeypatch)
    assert not race_two_servers(tmp_path, monkeypatch)
