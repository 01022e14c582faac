"""The admin API: HTTP/1.1 on a Unix socket or a loopback address, for the operators' own tools.

`GET /v1/status` reports the status of each part; parts can add routes of their own. Only a few callers are
served at a time, and a caller delays the gatekeeper's own work by at most the time it takes to build one
answer.
"""

import json
import os
import socket
import stat
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import anyio
import h11
from anyio.abc import SocketListener, SocketStream

from millfront.logs import Log
from millfront.node.config import Address, ConfigError
from millfront.node.endings import Ending, ExchangeError
from millfront.node.http import Fields, HttpConnection, Message
from millfront.node.http1 import REASONS
from millfront.node.service import Node
from millfront.operators import document

log = Log(__name__)

MAX_CALLERS = 4
MAX_BODY_BYTES = 32 * 1024 * 1024  # enough for a plan book of about 300,000 assignments
CALL_TIMEOUT_S = 20.0  # for all calls of a connection; then it is closed


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    body: bytes = b""
    fields: Fields = field(default_factory=list)
    kind: bytes = b"application/json"


def json_reply(status: int, content: object, fields: Fields | None = None) -> Reply:
    return Reply(status, json.dumps(content).encode() + b"\n", fields or [])


Handler = Callable[[Message], Awaitable[Reply]]


class Admin:
    name = "admin"

    def __init__(self, node: Node, options: document.Admin) -> None:
        self.node = node
        self.listen = options.listen
        self.address = ""
        self.routes: dict[bytes, dict[bytes, Handler]] = {b"/v1/status": {b"GET": self._status}}
        self._status_sources: dict[str, Callable[[], dict[str, object]]] = {}
        self._listener: SocketListener | None = None
        self._scope = anyio.CancelScope()
        self._call_slots = anyio.Semaphore(MAX_CALLERS)

    def add_status(self, part: str, status: Callable[[], dict[str, object]]) -> None:
        self._status_sources[part] = status

    async def start(self) -> None:
        if self.listen.startswith("unix:"):
            path = self.listen.removeprefix("unix:")
            _remove_stale(path)
            unix: Any = await anyio.create_unix_listener(path, mode=0o600)
            self._listener, self.address = unix, self.listen
            return
        address = Address.parse(self.listen, "admin.listen")
        listeners = await anyio.create_tcp_listener(local_host=address.host, local_port=address.port)
        (inner,) = listeners.listeners
        assert isinstance(inner, SocketListener)
        self._listener = inner
        self.address = f"{address.host}:{inner.extra(anyio.abc.SocketAttribute.local_port)}"
        log.info("the admin API listens", address=self.address)

    async def run(self) -> None:
        assert self._listener is not None
        with self._scope:
            await self._listener.serve(self._serve)

    async def stop(self) -> None:
        self._scope.cancel()
        if self._listener is not None:
            await self._listener.aclose()
        if self.listen.startswith("unix:"):
            with suppress(OSError):
                os.unlink(self.listen.removeprefix("unix:"))

    def reload(self) -> None:
        pass

    async def _serve(self, stream: SocketStream) -> None:
        connection = HttpConnection(stream, h11.SERVER)
        try:
            async with self._call_slots:
                with anyio.move_on_after(CALL_TIMEOUT_S):
                    while True:
                        await self._respond(connection, await self._read_call(connection))
                        if not connection.reusable():
                            break
        except ExchangeError:
            pass
        except Exception:
            log.exception("an admin call failed")
        finally:
            await connection.close()

    async def _read_call(self, connection: HttpConnection) -> Message:
        head = await connection.next_event()
        if not isinstance(head, h11.Request):
            raise ExchangeError(Ending.MALFORMED, "expected a request head")
        if connection.h11.they_are_waiting_for_100_continue:
            await connection.write(h11.InformationalResponse(status_code=100, headers=[]))
        parts: list[bytes] = []
        size = 0
        while isinstance(event := await connection.next_event(), h11.Data):
            size += len(event.data)
            if size > MAX_BODY_BYTES:
                await self._respond(
                    connection,
                    Message((b"", b""), [], [], b""),
                    json_reply(413, {"error": "request body too long"}),
                )
                raise ExchangeError(Ending.MALFORMED, "request body too long")
            parts.append(bytes(event.data))
        start = (head.method, head.target.partition(b"?")[0])
        return Message(start, list(head.headers), head.headers.raw_items(), b"".join(parts))

    async def _respond(self, connection: HttpConnection, call: Message, reply: Reply | None = None) -> None:
        reply = reply or await self._handle(call)
        fields = [(b"Content-Type", reply.kind), (b"Content-Length", b"%d" % len(reply.body)), *reply.fields]
        head = h11.Response(status_code=reply.status, headers=fields, reason=REASONS.get(reply.status, b""))
        await connection.write(head, h11.Data(data=reply.body), h11.EndOfMessage())

    async def _handle(self, call: Message) -> Reply:
        assert isinstance(call.start, tuple)
        method, path = call.start
        methods = self.routes.get(path)
        if methods is None:
            return json_reply(404, {"error": "no such resource"})
        if method not in methods:
            return json_reply(405, {"error": "method not allowed"}, [(b"Allow", b", ".join(sorted(methods)))])
        try:
            return await methods[method](call)
        except Exception:
            log.exception("an admin call failed")
            return json_reply(500, {"error": "internal error, see the gatekeeper's log"})

    async def _status(self, call: Message) -> Reply:
        report: dict[str, object] = {"name": self.node.config.name, "open": len(self.node.host.open_requests)}
        return json_reply(200, report | {part: status() for part, status in self._status_sources.items()})


def _remove_stale(path: str) -> None:
    """Removes a socket left by a killed gatekeeper; refuses if it is in use or another kind of file."""
    try:
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            raise ConfigError(f"admin.listen: {path} exists and is not a socket")
    except FileNotFoundError:
        return
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        try:
            probe.connect(path)
        except OSError:
            os.unlink(path)
            return
    raise ConfigError(f"admin.listen: {path} is in use by another process")
