"""The platform's list of servers, asked over HTTP. Thin I/O.

The pages of one read go over one connection where the platform keeps it open: from another region each
connection more is a way there and back of the time in which all have to know the list.
"""

import asyncio
import json
from typing import Any

import h11

from millfront.discovery.polling import MAX_READ_S
from millfront.discovery.server_list import PlatformList, ReadFailure, parse_platform_entries
from millfront.environment import seconds

MAX_PAGES = 40
MAX_PAGE_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024
OK, TOO_MANY_REQUESTS = 200, 429


class PlatformError(Exception):
    """The platform gave no list."""

    def __init__(self, reason: str, failure: ReadFailure = ReadFailure.UNREACHABLE) -> None:
        super().__init__(reason)
        self.failure = failure


class TooManyCallsError(ValueError):
    """The platform has had more calls than it takes."""


async def read_list(address: str) -> PlatformList:
    """All entries, page by page.

    :raises PlatformError: there is no whole answer in time
    """
    connection = PlatformConnection(address)
    try:
        return await asyncio.wait_for(_read_pages(connection), MAX_READ_S)
    except TooManyCallsError as error:
        raise PlatformError(repr(error), ReadFailure.REFUSED) from None
    except (OSError, ValueError, KeyError, TypeError, AttributeError, h11.ProtocolError) as error:
        raise PlatformError(repr(error)) from None
    finally:
        connection.close()


async def _read_pages(connection: "PlatformConnection") -> PlatformList:
    found = PlatformList([], 0)
    token = ""
    for _ in range(MAX_PAGES):
        page = await connection.get("/instances" + (f"?page_token={token}" if token else ""))
        found.calls += 1
        found.entries += parse_platform_entries(page["instances"], seconds)
        token = page.get("next_token") or ""
        if not token:
            return found
    raise ValueError("pages without an end")


class StaleConnectionError(Exception):
    """A connection that had been kept open ended before an answer began."""


class PlatformConnection:
    """A connection to the platform, opened anew where the last answer ended it."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._client = h11.Connection(h11.CLIENT)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def get(self, target: str) -> dict[str, Any]:
        """The object that a call is answered with.

        :raises TooManyCallsError: it is over the platform's bound
        :raises ValueError: the answer is another status, too long, cut short, or no object
        """
        try:
            status, body = await self._call(target)
        except StaleConnectionError:
            status, body = await self._call(target)
        if status == TOO_MANY_REQUESTS:
            raise TooManyCallsError(f"status {status}")
        if status != OK:
            raise ValueError(f"status {status}")
        page = json.loads(body)
        if not isinstance(page, dict):
            raise ValueError("no object")
        return page

    def close(self) -> None:
        """End the connection at once, if there is one."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def _call(self, target: str) -> tuple[int, bytearray]:
        """:raises StaleConnectionError: nothing came, on a connection that had been kept; it is closed"""
        kept = self._reuse()
        reader, writer = self._streams or await self._open()
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        writer.write((self._client.send(request) or b"") + (self._client.send(h11.EndOfMessage()) or b""))
        try:
            first = await reader.read(READ_BYTES)
        except OSError:
            first = b""
        if not first and kept:
            self.close()
            raise StaleConnectionError
        self._client.receive_data(first)
        return await self._read_response(reader)

    def _reuse(self) -> bool:
        """Whether the connection there is can take another call; one that can't is closed."""
        if self._streams is None:
            return False
        if self._client.our_state is h11.DONE and self._client.their_state is h11.DONE:
            self._client.start_next_cycle()
            return True
        self.close()
        return False

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        self._client = h11.Connection(h11.CLIENT)
        host, _, port = self.address.rpartition(":")
        self._streams = await asyncio.open_connection(host, int(port))
        return self._streams

    async def _read_response(self, reader: asyncio.StreamReader) -> tuple[int, bytearray]:
        body, status = bytearray(), 0
        while True:
            event = self._client.next_event()
            if event is h11.NEED_DATA:
                self._client.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_PAGE_BYTES:
                    raise ValueError("a page that is too long")
            elif isinstance(event, h11.EndOfMessage):
                return status, body
            elif isinstance(event, h11.ConnectionClosed):
                raise ValueError("closed before an answer")
