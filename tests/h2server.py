"""A scripted pool member that speaks HTTP/2, for tests of a node."""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import h2.config
import h2.connection
import h2.events
import h2.exceptions
from anyio.abc import SocketStream
from hyperframe.frame import GoAwayFrame

from tests.peers import Peer

Step = Callable[["PeerConnection", int], Awaitable[None]]


class PeerConnection:
    """One connection of a node to the scripted member."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        )
        self.open: dict[int, dict[str, str]] = {}
        self.writing = anyio.Lock()

    async def flush(self) -> None:
        await self.send(self.h2.data_to_send())

    async def send(self, data: bytes) -> None:
        async with self.writing:
            await self.stream.send(data)

    async def answer(self, stream_id: int, status: int = 200, body: bytes = b"page", **fields: str) -> None:
        headers = [(":status", str(status)), *((n.replace("_", "-").lower(), v) for n, v in fields.items())]
        self.h2.send_headers(stream_id, headers)
        self.h2.send_data(stream_id, body, end_stream=True)
        await self.flush()

    async def reset(self, stream_id: int, code: int) -> None:
        self.h2.reset_stream(stream_id, code)
        await self.flush()

    async def goaway(self, last: int) -> None:
        await self.send(GoAwayFrame(0, last_stream_id=last).serialize())


async def page(connection: PeerConnection, stream_id: int) -> None:
    await connection.answer(stream_id)


async def never_answer(connection: PeerConnection, stream_id: int) -> None:
    """Leaves the stream open."""


class H2Peer(Peer):
    """Runs one step of its script for each request; keeps the fields of each, with the body under `body`."""

    def __init__(self, *steps: Step, streams: int | None = None, fallback: Step = page) -> None:
        super().__init__()
        self.steps = deque(steps)
        self.fallback = fallback
        self.requests: list[dict[str, str]] = []
        self.resets: list[int] = []
        self.peer_connections: list[PeerConnection] = []
        self.streams = streams
        self.silent = False

    async def serve(self, stream: SocketStream) -> None:
        self.connections += 1
        connection = PeerConnection(stream)
        self.peer_connections.append(connection)
        if self.streams is not None:
            connection.h2.update_settings({h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: self.streams})
        connection.h2.initiate_connection()
        async with stream, anyio.create_task_group() as tasks:
            try:
                await connection.flush()
                while True:
                    data = await stream.receive()
                    if self.silent:
                        continue
                    for event in connection.h2.receive_data(data):
                        await self.handle_event(connection, event)
                    await connection.flush()
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.closed += 1
                self.notify()
            except h2.exceptions.ProtocolError:
                self.closed += 1
                self.notify()
            tasks.cancel_scope.cancel()

    async def handle_event(self, connection: PeerConnection, event: Any) -> None:
        match event:
            case h2.events.RequestReceived():
                connection.open[event.stream_id] = {str(n): str(v) for n, v in event.headers} | {"body": ""}
            case h2.events.DataReceived():
                connection.open[event.stream_id]["body"] += event.data.decode()
                connection.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            case h2.events.StreamEnded():
                self.requests.append(connection.open[event.stream_id])
                step = self.steps.popleft() if self.steps else self.fallback
                self.notify()
                await step(connection, event.stream_id)
            case h2.events.StreamReset():
                self.resets.append(event.stream_id)
                self.notify()
