"""Reads the platform's list of servers over HTTP. Thin I/O.

All pages of one read go over one connection where the platform keeps it open: from another region each
further connection costs a round trip of the time within which all gatekeepers have to know the list.
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
    """The platform's list could not be read."""

    def __init__(self, reason: str, failure: ReadFailure = ReadFailure.UNREACHABLE) -> None:
        super().__init__(reason)
        self.failure = failure


class TooManyCallsError(ValueError):
    """The platform's rate limit is exceeded."""


async def read_list(address: str) -> PlatformList:
    """All entries, read page by page.

    :param address: ``host:port`` of the platform
    :raises PlatformError: no complete and valid list came within `MAX_READ_S`
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
    raise ValueError(f"the platform's list has more than {MAX_PAGES} pages")


class StaleConnectionError(Exception):
    """A connection that had been kept open was closed before a response began."""


class PlatformConnection:
    """A connection to the platform, reopened where it was closed after the last response."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._client = h11.Connection(h11.CLIENT)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def get(self, target: str) -> dict[str, Any]:
        """The JSON object in the response.

        :raises TooManyCallsError: status 429
        :raises ValueError: any other status but 200; or the body is too long, cut short, or no JSON object
        """
        try:
            status, body = await self._call(target)
        except StaleConnectionError:
            status, body = await self._call(target)
        if status == TOO_MANY_REQUESTS:
            raise TooManyCallsError(f"GET {target}: status {status}, rate limit exceeded")
        if status != OK:
            raise ValueError(f"GET {target}: expected status {OK}, got {status}")
        page = json.loads(body)
        if not isinstance(page, dict):
            raise ValueError(f"GET {target}: expected a JSON object, got {type(page).__name__}")
        return page

    def close(self) -> None:
        """Abort the connection, if there is one."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def _call(self, target: str) -> tuple[int, bytearray]:
        """:raises StaleConnectionError: a kept connection gave no response; it is closed now"""
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
        """Whether the connection can be used for another call; otherwise it is closed."""
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
                    raise ValueError(f"response body longer than {MAX_PAGE_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                return status, body
            elif isinstance(event, h11.ConnectionClosed):
                raise ValueError("connection closed before the response was complete")
