"""A bare HTTP/1.1 relay on the loop's transports: the cost of forwarding a request without any decision.

The baseline of `benchmarks.protocols`: `python -m benchmarks.relay CLIENTS MEMBER` relays complete messages
byte for byte over persistent connections, and parses them only to find their end.
"""

import asyncio
import sys
from collections import deque
from typing import Any

import uvloop

IDLE: deque["Member"] = deque()


def is_complete(data: bytes) -> bool:
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    position = head.lower().find(b"content-length: ")
    return position < 0 or len(body) >= int(head[position + 16 :].split(b"\r\n")[0])


class Member(asyncio.Protocol):
    client: "Client | None" = None
    data = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        if is_complete(self.data) and self.client is not None:
            self.client.transport.write(self.data)
            self.data, self.client = b"", None
            IDLE.append(self)


class Client(asyncio.Protocol):
    data = b""
    address = ("", 0)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        if is_complete(self.data):
            request, self.data = self.data, b""
            if IDLE:
                self.relay(IDLE.pop(), request)
            else:
                self.connecting = asyncio.ensure_future(self.connect(request))

    async def connect(self, request: bytes) -> None:
        _, member = await asyncio.get_running_loop().create_connection(Member, *self.address)
        self.relay(member, request)

    def relay(self, member: Member, request: bytes) -> None:
        member.client = self
        member.transport.write(request)


async def main(listen: str, member: str) -> None:
    host, _, port = member.rpartition(":")
    Client.address = (host, int(port))
    host, _, port = listen.rpartition(":")
    server = await asyncio.get_running_loop().create_server(Client, host, int(port), backlog=1024)
    print(f"serves at {host}:{server.sockets[0].getsockname()[1]}", file=sys.stderr, flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(main(*sys.argv[1:]))
