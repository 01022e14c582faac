"""The platform's list of servers, asked over HTTP. Thin I/O."""

import asyncio
import json
from typing import Any

import h11

from millfront.discovery.server_list import Told, told_by_platform
from millfront.environment import seconds

WHOLE_S = 0.9  # of a call, all its pages
MOST_PAGES = 40
MOST_BYTES = 4 * 1024 * 1024
READ = 64 * 1024


class PlatformError(Exception):
    """The platform gave no list."""


async def listed(address: str) -> list[Told]:
    """All entries, page by page.

    :raises PlatformError: there is no whole answer in time
    """
    try:
        return await asyncio.wait_for(_pages(address), WHOLE_S)
    except (OSError, ValueError, KeyError, TypeError, AttributeError, h11.ProtocolError) as wrong:
        raise PlatformError(repr(wrong)) from None


async def _pages(address: str) -> list[Told]:
    entries: list[Told] = []
    token = ""
    for _ in range(MOST_PAGES):
        page = await _page(address, "/instances" + (f"?page_token={token}" if token else ""))
        entries += told_by_platform(page["instances"], seconds)
        token = page.get("next_token") or ""
        if not token:
            return entries
    raise ValueError("pages without an end")


async def _page(address: str, target: str) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        client = h11.Connection(h11.CLIENT)
        ask = h11.Request(method="GET", target=target, headers=[("Host", address), ("Connection", "close")])
        writer.write((client.send(ask) or b"") + (client.send(h11.EndOfMessage()) or b""))
        body, status = bytearray(), 0
        while True:
            event = client.next_event()
            if event is h11.NEED_DATA:
                client.receive_data(await reader.read(READ))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BYTES:
                    raise ValueError("a page that is too long")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ValueError("closed before an answer")
    finally:
        writer.transport.abort()
    if status != 200:
        raise ValueError(f"status {status}")
    page = json.loads(body)
    if not isinstance(page, dict):
        raise ValueError("no object")
    return page
