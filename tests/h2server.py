"""A scripted page server that speaks HTTP/2, for stories of a node's other side."""

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

Act = Callable[["Spoken", int], Awaitable[None]]


class Spoken:
    """One connection to it."""

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

    async def answer(self, number: int, status: int = 200, body: bytes = b"page", **fields: str) -> None:
        told = [(":status", str(status)), *((n.replace("_", "-").lower(), v) for n, v in fields.items())]
        self.h2.send_headers(number, told)
        self.h2.send_data(number, body, end_stream=True)
        await self.flush()

    async def reset(self, number: int, code: int) -> None:
        self.h2.reset_stream(number, code)
        await self.flush()

    async def goaway(self, last: int) -> None:
        await self.send(GoAwayFrame(0, last_stream_id=last).serialize())


async def page(spoken: Spoken, number: int) -> None:
    await spoken.answer(number)


async def nothing(spoken: Spoken, number: int) -> None:
    """Until somebody else does something."""


class H2Peer(Peer):
    """Plays an act of its script for each request; keeps what came: fields, with the body under `body`."""

    def __init__(self, *acts: Act, streams: int | None = None, otherwise: Act = page) -> None:
        super().__init__()
        self.acts = deque(acts)
        self.then = otherwise
        self.came: list[dict[str, str]] = []
        self.resets: list[int] = []
        self.spoken: list[Spoken] = []
        self.streams = streams
        self.mute = False

    async def serve(self, stream: SocketStream) -> None:
        self.connections += 1
        spoken = Spoken(stream)
        self.spoken.append(spoken)
        if self.streams is not None:
            spoken.h2.update_settings({h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: self.streams})
        spoken.h2.initiate_connection()
        async with stream, anyio.create_task_group() as tasks:
            try:
                await spoken.flush()
                while True:
                    data = await stream.receive()
                    if self.mute:
                        continue
                    for event in spoken.h2.receive_data(data):
                        await self.take(spoken, event)
                    await spoken.flush()
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.closed += 1
                self.notify()
            except h2.exceptions.ProtocolError:
                self.closed += 1
                self.notify()
            tasks.cancel_scope.cancel()

    async def take(self, spoken: Spoken, event: Any) -> None:
        match event:
            case h2.events.RequestReceived():
                spoken.open[event.stream_id] = {str(n): str(v) for n, v in event.headers} | {"body": ""}
            case h2.events.DataReceived():
                spoken.open[event.stream_id]["body"] += event.data.decode()
                spoken.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            case h2.events.StreamEnded():
                self.came.append(spoken.open[event.stream_id])
                act = self.acts.popleft() if self.acts else self.then
                self.notify()
                await act(spoken, event.stream_id)
            case h2.events.StreamReset():
                self.resets.append(event.stream_id)
                self.notify()
