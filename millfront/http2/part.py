"""HTTP/2 as a part of a node: on a listener of its own, or on the shared port, recognised by its preface."""

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

CHECK_INTERVAL_S = 0.1  # between checks of the connections to members


class Http2Part:
    name = "http2"

    def __init__(self, node: Node, settings: Http2) -> None:
        self.node = node
        self.settings = settings
        self.server: VirtualServer | None = None
        self.members: Http2Members | None = None

    async def start(self) -> None:
        if self.settings.shared:
            self.node.server.preface = PREFACE
            self.node.server.on_preface = self._upgrade
        if self.settings.members:
            from millfront.http2.members import Http2Members

            settings = self.settings
            self.members = Http2Members(
                self.node.members, settings.member_streams, settings.member_connections
            )
            self.node.members.shared = self.members
        if self.settings.listen is None:
            return
        main = self.node.server
        if self.settings.connections >= main.max_connections:
            why = f"expected fewer than {main.max_connections} (all clients), got {self.settings.connections}"
            raise ConfigError(f"http2.connections: {why}")
        main.max_connections -= self.settings.connections  # one limit of descriptors for both listeners
        self.server = VirtualServer(
            main.clock,
            main.host,
            main.take_in,
            main.admit,
            main.ready,
            self.settings.connections,
            self._make_connection,
        )
        self.server.listen(Address.parse(self.settings.listen, "http2.listen"))
        self.node.servers.append(self.server)
        log.info("HTTP/2 listens", address=self.server.address)

    def _make_connection(self, server: VirtualServer, sock: socket.socket) -> Http2Connection:
        return Http2Connection(server, sock, self.settings.streams)

    def _upgrade(self, connection: ClientConnection, data: bytes) -> None:
        """A connection on the shared port began with the preface: it goes on as HTTP/2."""
        server = connection.server
        upgraded = Http2Connection(server, connection.link.sock, self.settings.streams, connection.link)
        server.replace(connection, upgraded)
        upgraded.received(data)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            if self.members is not None:
                tasks.start_soon(self._check_members)
            if self.server is not None:
                await self.server.sweep()

    async def _check_members(self) -> None:
        assert self.members is not None
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.members.check_connections()

    async def stop(self) -> None:
        pass  # the node stops this listener with the others

    def reload(self) -> None:
        pass

    def status(self) -> dict[str, object]:
        return {
            "address": str(self.server.address) if self.server is not None else None,
            "member_connections": sum(map(len, self.members.connections.values())) if self.members else 0,
            "connections": self.server.connection_count() if self.server is not None else 0,
        }
