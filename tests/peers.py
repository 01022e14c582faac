"""Scripted peers on loopback sockets, and a node that runs between them."""

import itertools
import json
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream

from millfront.node import config
from millfront.node.service import Node
from millfront.operators import document, parts

TEST_TIMEOUT_S = 5.0  # for a test to wait for an event before it fails
IDS = itertools.count(1)
CLASSES = (("page-fetch", "safe"), ("issue-buy", "keyed"), ("code-redeem", "unsafe"))


def settings(counter: bool = False, **allowed: object) -> dict[str, Any]:
    plan: dict[str, object] = {
        "CapDepth": 0,
        "CeilingRate": 0,
        "CeilingSlack": 0,
        "Concurrency": 0,
        "ExtraWorth": 0,
    }
    plan |= {"MostAtOnce": 500.0, "OverrunCost": 0.6, "Refill": 100.0, "WorthFactor": 1}
    return {
        "Allowed": {
            "Cancel": True,
            "ConnectTimeoutUs": 250_000,
            "KeepaliveUs": 30_000_000,
            "MaxOpen": 100,
            "MaxRetryAfterUs": 2_000_000,
            "MostTries": 4,
            "Probes": False,
            "RetryAfter": True,
            "SecondCopies": False,
        }
        | allowed,
        "Classes": [
            {
                "AimUs": 1_000_000,
                "Group": "all",
                "HardLimitUs": 4_000_000,
                "LateValue": 0.2,
                "Name": name,
                "Repeat": repeat,
                "Stream": False,
                "WindowUs": 8_000_000,
                "Worth": 1.0,
            }
            for name, repeat in CLASSES
        ],
        "Discovery": "pushed",
        "FamilyInfo": {"CountWaitUs": 80_000, "SharedCounter": counter, "UnitsTop": 8},
        "Kinds": ["quad-fast"],
        "Me": 0,
        "MyZone": 0,
        "Packages": [plan | {"Name": "casual"}, plan | {"Name": "spent", "Refill": 0.1, "MostAtOnce": 0.1}],
        "PeersTotal": 2,
        "Rules": {
            "ColdFrom": 0.2,
            "DrainGraceUs": 500_000,
            "FallMultiple": 3,
            "FallUs": 3e6,
            "RampTimeUs": 18e6,
        },
        "Weights": "none",
        "Zones": ["east-wing"],
    }


class Peer:
    """Listens on port 0, runs one step of its script for each message, and keeps all messages in `seen`."""

    def __init__(self, *script: "Step") -> None:
        self.script = deque(script)
        self.seen: list[bytes] = []
        self.connections = 0
        self.closed = 0  # connections closed by the other side
        self.changed = anyio.Event()
        self.address = ""

    def notify(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_until(self, condition: Callable[["Peer"], bool]) -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            while not condition(self):
                await self.changed.wait()

    async def serve(self, stream: SocketStream) -> None:
        self.connections += 1
        async with stream:
            try:
                while True:
                    self.seen.append(await self.read(stream))
                    step = self.script.popleft() if self.script else self.default_step
                    self.notify()
                    await step(stream)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.closed += 1
                self.notify()

    async def read(self, stream: SocketStream) -> bytes:
        return await read_message(stream)

    async def default_step(self, stream: SocketStream) -> None:
        await answer(200, b"page")(stream)


Step = Callable[[SocketStream], Awaitable[None]]


def answer(status: int, body: bytes = b"", *fields: bytes) -> Step:
    async def step(stream: SocketStream) -> None:
        head = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *fields]
        await stream.send(b"\r\n".join(head) + b"\r\n\r\n" + body)

    return step


def sends(data: bytes) -> Step:
    async def step(stream: SocketStream) -> None:
        await stream.send(data)

    return step


async def disconnects(stream: SocketStream) -> None:
    await anyio.aclose_forcefully(stream)
    raise anyio.ClosedResourceError


async def silent(stream: SocketStream) -> None:
    """Answer nothing until the other side disconnects."""
    while True:
        await stream.receive()


class CounterPeer(Peer):
    """A counter service: takes lines in whatever parts they arrive."""

    async def read(self, stream: SocketStream) -> bytes:
        return await stream.receive()

    async def default_step(self, stream: SocketStream) -> None:
        await stream.send(b"ok 7\r\n")


class Discovery(Peer):
    """A discovery service. Every watch stays open; send_line() sends on the newest."""

    stream: SocketStream
    watches = 0
    full_list = b""  # the response to a request for the whole list

    async def default_step(self, stream: SocketStream) -> None:
        if b"watch" not in self.seen[-1].split(b"\r\n")[0]:
            return await answer(200, self.full_list)(stream)
        await stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.stream = stream
        self.watches += 1
        self.notify()
        await stream.receive()

    async def send_line(self, line: bytes) -> None:
        await self.stream.send(b"%x\r\n%s\r\n" % (len(line), line))


async def read_message(stream: SocketStream) -> bytes:
    """A whole message, head and body; raises EndOfStream if it is cut short."""
    data = await stream.receive()
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    length = next((int(v) for k, _, v in fields_of(head) if k == b"content-length"), 0)
    while len(body) < length:
        body += await stream.receive()
    return head + b"\r\n\r\n" + body


def fields_of(head: bytes) -> list[tuple[bytes, bytes, bytes]]:
    parts = [line.partition(b": ") for line in head.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]]
    return [(name.lower(), mark, value) for name, mark, value in parts]


def row(name: str, address: str, health: str = "Ready") -> dict[str, Any]:
    where = {"site": "east-wing", "class": "quad-fast", "block": 1, "share": 1.0, "born_ms": 0}
    return {"host": name, "dial": address, "health": health} | where


def request(cls: str = "page-fetch", **fields: str) -> bytes:
    method = "GET" if cls == "page-fetch" else "POST"
    body = b"" if method == "GET" else b"what is bought"
    head = {
        "Host": "origin.svc",
        "Request-Id": f"{next(IDS):016x}",
        "Plan": "casual",
        "Request-Timeout": "3000m",
        "Quota-Info": "units=2,spread=2,first=1",
    }
    if cls == "issue-buy":
        head["Idempotency-Key"] = "5c0f6e1a2b3d4c59"
    head |= {name.replace("_", "-"): value for name, value in fields.items()}
    if body:
        head.setdefault("Content-Length", str(len(body)))
    lines = [
        f"{method} /{cls}/more/00000000b4d65521?a=%20b HTTP/1.1",
        *(f"{k}: {v}" for k, v in head.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class RunningNode:
    """A node between scripted peers."""

    def __init__(self, node: Node, address: str, discovery: Discovery) -> None:
        self.node = node
        self.address = address
        self.admin_address = ""  # of the operators' line
        self.discovery = discovery
        self.ended = anyio.Event()

    async def client(self) -> SocketStream:
        host, _, port = self.address.rpartition(":")
        return await anyio.connect_tcp(host, int(port))

    async def call_admin(self, command: bytes) -> bytes:
        """Send a command on the operators' line and return what it answers until it closes."""
        host, _, port = self.admin_address.rpartition(":")
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(command)
                return b"".join([data async for data in stream])

    async def ask(self, data: bytes, stream: SocketStream | None = None) -> bytes:
        with anyio.fail_after(TEST_TIMEOUT_S):
            stream = stream or await self.client()
            await stream.send(data)
            return await read_message(stream)


def status(message: bytes) -> int:
    return int(message.split(b" ", 2)[1])


@asynccontextmanager
async def listening(*peers: Peer) -> AsyncIterator[None]:
    async with AsyncExitStack() as stack, anyio.create_task_group() as tasks:
        for peer in peers:
            listener = await stack.enter_async_context(
                await anyio.create_tcp_listener(local_host="127.0.0.1")
            )
            (inner,) = listener.listeners
            assert isinstance(inner, SocketListener)
            peer.address = f"127.0.0.1:{inner.extra(SocketAttribute.local_port)}"
            tasks.start_soon(listener.serve, peer.serve)
        yield
        tasks.cancel_scope.cancel()


def configuration(hosts: list[dict[str, Any]], discovery: str, configured: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "admin_addr": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 41, "whole": True, "hosts": hosts},
        "settings": configured,
    }


@asynccontextmanager
async def running_node(
    *members: Peer,
    gone: str = "",
    counter: CounterPeer | None = None,
    operators: dict[str, Any] | None = None,
    **allowed: object,
) -> AsyncIterator[RunningNode]:
    """Run a node between these members; `gone` is the address of one more, where nobody listens."""
    discovery = Discovery()
    async with listening(discovery, *members, *([counter] if counter else [])):
        hosts = [row(f"s-{i}", member.address) for i, member in enumerate(members)]
        hosts += [row("s-gone", gone)] if gone else []
        configured = configuration(hosts, discovery.address, settings(counter is not None, **allowed))
        node = Node(config.from_json(configured | ({"counter": counter.address} if counter else {})))
        if operators is not None:
            parts.add_parts(node, document.parse(json.dumps(operators).encode()))
        async with anyio.create_task_group() as tasks:
            running = RunningNode(node, "", discovery)

            async def run(*, task_status: Any) -> None:
                await node.run(task_status=task_status)
                running.ended.set()

            running.address = str(await tasks.start(run))
            running.admin_address = str(node.operators_line.address)
            await discovery.wait_until(lambda _: discovery.watches > 0)
            yield running
            tasks.cancel_scope.cancel()
