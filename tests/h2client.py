"""An HTTP/2 client for tests: h2 over a socket; the test makes every step."""

import itertools
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import anyio
import h2.config
import h2.connection
import h2.events
import h2.settings
from anyio.abc import SocketStream
from hyperframe.frame import GoAwayFrame

from tests.peers import IDS, TEST_TIMEOUT_S

METHODS = {"page-fetch": "GET"}


def head(cls: str = "page-fetch", **fields: str) -> list[tuple[str, str]]:
    """The header fields of a request; pseudo-fields are given by their name without the colon."""
    fields_by_name = {
        ":method": METHODS.get(cls, "POST"),
        ":path": f"/{cls}/more/00000000b4d65521?a=%20b",
        ":scheme": "http",
        ":authority": "origin.svc",
        "request-id": f"{next(IDS):016x}",
        "plan": "casual",
        "request-timeout": "3000m",
        "quota-info": "units=2,spread=2,first=1",
    }
    if cls == "issue-buy":
        fields_by_name["idempotency-key"] = "5c0f6e1a2b3d4c59"
    for name, value in fields.items():
        plain_name = name.replace("_", "-").lower()
        fields_by_name[f":{plain_name}" if f":{plain_name}" in fields_by_name else plain_name] = value
    return list(fields_by_name.items())


class Client:
    """One connection. Acknowledges data as it arrives, except on streams in `stalled`."""

    def __init__(self, stream: SocketStream, window: int = 65_535, strict: bool = True) -> None:
        self.stream = stream
        config = h2.config.H2Configuration(
            header_encoding="utf-8", validate_outbound_headers=strict, normalize_outbound_headers=strict
        )
        self.h2 = h2.connection.H2Connection(config)
        local = {h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: window}
        self.h2.local_settings = h2.settings.Settings(client=True, initial_values=local)
        self.events: list[h2.events.Event] = []
        self.statuses: dict[int, int] = {}
        self.bodies: defaultdict[int, bytes] = defaultdict(bytes)
        self.ended: set[int] = set()
        self.resets: dict[int, int] = {}
        self.goaways: list[tuple[int, int]] = []  # error code and last stream id
        self.stalled: set[int] = set()
        self.closed = False
        self._ids = itertools.count(1, 2)
        self.h2._frame_dispatch_table[GoAwayFrame] = self.handle_goaway

    def handle_goaway(self, frame: Any) -> tuple[list[Any], list[Any]]:
        """Bypasses h2, which accepts no frame after a GOAWAY; open streams go on (RFC 9113, 6.8)."""
        self.goaways.append((frame.error_code, frame.last_stream_id))
        return [], []

    async def start(self) -> None:
        self.h2.initiate_connection()
        await self.flush()

    async def flush(self) -> None:
        await self.stream.send(self.h2.data_to_send())

    async def ask(self, fields: list[tuple[str, str]], body: bytes = b"", end: bool = True) -> int:
        stream_id = next(self._ids)
        self.h2.send_headers(stream_id, fields, end_stream=end and not body)
        if body:
            self.h2.send_data(stream_id, body, end_stream=end)
        await self.flush()
        return stream_id

    async def until(self, condition: Callable[["Client"], Any]) -> None:
        with anyio.fail_after(TEST_TIMEOUT_S):
            while not condition(self):
                await self.receive()

    async def receive(self) -> None:
        try:
            data = await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            if self.closed:
                raise
            self.closed = True
            return
        for event in self.h2.receive_data(data):
            self.handle_event(event)
        if outgoing := self.h2.data_to_send():
            await self.stream.send(outgoing)

    def handle_event(self, event: Any) -> None:
        self.events.append(event)
        match event:
            case h2.events.ResponseReceived():
                assert event.stream_id not in self.statuses, "answered twice"
                self.statuses[event.stream_id] = int(dict(event.headers)[":status"])  # type: ignore[index]
            case h2.events.DataReceived():
                self.bodies[event.stream_id] += event.data
                if event.stream_id not in self.stalled and event.flow_controlled_length:
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                elif event.flow_controlled_length:
                    self.h2.increment_flow_control_window(event.flow_controlled_length)
            case h2.events.StreamEnded():
                assert event.stream_id not in self.ended, "ended twice"
                self.ended.add(event.stream_id)
            case h2.events.StreamReset():
                self.resets[event.stream_id] = int(event.error_code)

    async def answer(self, stream_id: int) -> tuple[int, bytes]:
        await self.until(lambda c: stream_id in c.ended or stream_id in c.resets or c.closed)
        return self.statuses[stream_id], self.bodies[stream_id]
