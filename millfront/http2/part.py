"""HTTP/2 as a part of a node: a further listener, or the shared port told by its preface."""

import socket
from typing import TYPE_CHECKING

import anyio

from millfront.http2.clients import PREFACE, Http2Connection
from millfront.logs import Log
from millfront.node.clients import ClientConnection, VirtualServer
from millfront.node.config import Address, ConfigError
from millfront.node.service import Node
from millfront.operators.document import Http2

if TYPE_CHECKING:
    from millfront.http2.members import Http2Members

log = Log(__name__)

LOOK_S = 0.1  # between two looks at the connections to members


class Http2Front:
    name = "http2"

    def __init__(self, node: Node, told: Http2) -> None:
        self.node = node
        self.told = told
        self.server: VirtualServer | None = None
        self.members: Http2Members | None = None

    async def start(self) -> None:
        if self.told.shared:
            self.node.server.preface = PREFACE
            self.node.server.on_preface = self._upgraded
        if self.told.members:
            from millfront.http2.members import Http2Members

            told = self.told
            self.members = Http2Members(self.node.members, told.member_streams, told.member_connections)
            self.node.members.shared = self.members
        if self.told.listen is None:
            return
        main = self.node.server
        if self.told.connections >= main.max_connections:
            why = f"{self.told.connections} are not below the {main.max_connections} that clients may hold"
            raise ConfigError(f"http2.connections: {why}")
        main.max_connections -= self.told.connections  # descriptors are bounded for all together
        self.server = VirtualServer(
            main.clock, main.host, main.take_in, main.admit, main.ready, self.told.connections, self._made
        )
        self.server.listen(Address.parse(self.told.listen, "http2.listen"))
        self.node.servers.append(self.server)
        log.info("HTTP/2 listens", address=self.server.address)

    def _made(self, server: VirtualServer, sock: socket.socket) -> Http2Connection:
        return Http2Connection(server, sock, self.told.streams)

    def _upgraded(self, connection: ClientConnection, data: bytes) -> None:
        """The shared port's connection has begun with the preface: it goes on as HTTP/2."""
        server = connection.server
        made = Http2Connection(server, connection.link.sock, self.told.streams, connection.link)
        server.replace(connection, made)
        made.received(data)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            if self.members is not None:
                tasks.start_soon(self._look)
            if self.server is not None:
                await self.server.sweep()

    async def _look(self) -> None:
        assert self.members is not None
        while True:
            await anyio.sleep(LOOK_S)
            self.members.look()

    async def stop(self) -> None:
        pass  # it ends with the other fronts

    def reload(self) -> None:
        pass

    def status(self) -> dict[str, object]:
        return {
            "address": str(self.server.address) if self.server is not None else None,
            "member_connections": sum(map(len, self.members.connections.values())) if self.members else 0,
            "connections": self.server.connection_count() if self.server is not None else 0,
        }
