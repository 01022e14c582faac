"""Export targets: a receiver over HTTP (docs/export-protocol.md), or a spool folder.

Both implement two calls: mark() returns the sequence number expected next of a ledger, put() delivers a
batch.
"""

import email.utils
import hashlib
import json
import os
import time
from pathlib import Path
from typing import Any, Protocol

import anyio
import anyio.to_thread
import h11
import msgspec
import zstandard

from millfront.node.config import Address
from millfront.node.endings import ExchangeError
from millfront.node.http import HttpConnection, Message, dial
from millfront.operators import document
from millfront.operators.files import fsync_path, write_atomically
from millfront.usage.batches import Batch
from millfront.usage.sending import Answer

COMPRESSION_LEVEL = 3
MAX_BATCH_BYTES = 64 * 1024 * 1024


def compress(text: bytes) -> bytes:
    return zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(text)


def decompress(data: bytes) -> bytes:
    """:raises zstandard.ZstdError: not zstd data, or longer than MAX_BATCH_BYTES when decompressed"""
    return zstandard.ZstdDecompressor().decompress(data, max_output_size=MAX_BATCH_BYTES)


class Sink(Protocol):
    async def mark(self, source: str, ledger: str) -> Answer: ...
    async def put(self, batch: Batch, data: bytes) -> Answer: ...
    async def close(self) -> None: ...


class HttpSink:
    """Sends each batch as one PUT over a connection that is kept open."""

    def __init__(self, options: document.Receiver) -> None:
        self.options = options
        self.address = Address.parse(options.address, "usage.export.receiver.address")
        self._connection: HttpConnection | None = None

    async def mark(self, source: str, ledger: str) -> Answer:
        return await self._call(b"GET", f"{self.options.path}/sources/{source}.{ledger}/mark", b"", [])

    async def put(self, batch: Batch, data: bytes) -> Answer:
        fields = [
            (b"Content-Type", b"application/x-ndjson"),
            (b"Content-Encoding", b"zstd"),
            (b"Millfront-Digest", batch.digest.encode()),
            (b"Content-Length", b"%d" % len(data)),
        ]
        return await self._call(b"PUT", f"{self.options.path}/batches/{batch.name}", data, fields)

    async def _call(
        self, method: bytes, target: str, body: bytes, fields: list[tuple[bytes, bytes]]
    ) -> Answer:
        """Returns an Answer whatever happens; without an answer the connection is not used again."""
        response, why = None, ""
        with anyio.move_on_after(self.options.timeout_s):
            try:
                response = await self._exchange(method, target, body, fields)
            except ExchangeError as error:
                why = str(error)
            except BaseException:  # cancelled half-way: the answer must not be taken for the next call's
                await self.close()
                raise
        if response is None:
            await self.close()
            return Answer(0, why=why)
        return parse_answer(response)

    async def _exchange(
        self, method: bytes, target: str, body: bytes, fields: list[tuple[bytes, bytes]]
    ) -> Message:
        if self._connection is None:
            stream = await dial(self.address, int(self.options.timeout_s * 1e6))
            self._connection = HttpConnection(stream, h11.CLIENT)
        head = h11.Request(
            method=method, target=target.encode(), headers=[(b"Host", str(self.address).encode()), *fields]
        )
        events: list[h11.Event] = [head, *([h11.Data(data=body)] if body else []), h11.EndOfMessage()]
        await self._connection.write(*events)
        response = await self._connection.read_response()
        if not self._connection.reusable():
            await self.close()
        return response

    async def close(self) -> None:
        if self._connection is not None:
            connection, self._connection = self._connection, None
            await connection.close()


def parse_answer(response: Message) -> Answer:
    """Parses a receiver's answer; unreadable parts count as absent."""
    assert isinstance(response.start, int)
    try:
        content: Any = json.loads(response.body)
    except ValueError:
        content = {}
    content = content if isinstance(content, dict) else {}
    lines, mark = content.get("lines"), content.get("next")
    return Answer(
        response.start,
        digest=str(content.get("digest", "")),
        lines=lines if isinstance(lines, int) else -1,
        next_seq=mark if isinstance(mark, int) else -1,
        retry_after_s=_seconds(response.field(b"retry-after") or b""),
    )


def _seconds(text: bytes) -> float:
    """Parses Retry-After (RFC 9110, 10.2.3), given as seconds or a date."""
    if text.isdigit():
        return float(text)
    try:
        at = email.utils.parsedate_to_datetime(text.decode("latin-1"))
        return max(0.0, at.timestamp() - time.time())
    except (TypeError, ValueError):
        return 0.0


class SpoolEntry(msgspec.Struct, frozen=True):
    """A line of the spool folder's manifest."""

    batch: str
    digest: str
    lines: int
    next: int
    chain: str  # SHA-256 over the previous chain, the name and the digest


class SpoolSink:
    """A folder that another program empties: each batch is a file, written atomically, and a line in
    `manifest.jsonl`.

    The manifest holds the mark: a file without its line is written again with the same content.
    """

    def __init__(self, folder: str | os.PathLike[str]) -> None:
        self.folder = Path(folder)

    async def mark(self, source: str, ledger: str) -> Answer:
        return await anyio.to_thread.run_sync(self._mark, f"{source}.{ledger}.")

    async def put(self, batch: Batch, data: bytes) -> Answer:
        return await anyio.to_thread.run_sync(self._put, batch, data)

    async def close(self) -> None:
        pass

    def entries(self) -> list[SpoolEntry]:
        """The manifest's valid lines; an incomplete last one is cut off."""
        path = self.folder / "manifest.jsonl"
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            return []
        found, valid_bytes = [], 0
        for line in data.splitlines(keepends=True):
            try:
                entry = msgspec.json.decode(line, type=SpoolEntry)
            except msgspec.MsgspecError:
                break
            if not line.endswith(b"\n"):
                break
            found.append(entry)
            valid_bytes += len(line)
        if valid_bytes < len(data):
            os.truncate(path, valid_bytes)
        return found

    def _mark(self, prefix: str) -> Answer:
        try:
            marks = [entry.next for entry in self.entries() if entry.batch.startswith(prefix)]
        except OSError as error:
            return Answer(0, why=str(error))
        return Answer(200, next_seq=max(marks)) if marks else Answer(404)

    def _put(self, batch: Batch, data: bytes) -> Answer:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            entries = self.entries()
            if not any(entry.batch == batch.name for entry in entries):
                self._add_file(batch, data, entries[-1].chain if entries else "")
        except OSError as error:
            return Answer(0, why=str(error))
        return Answer(201, batch.digest, batch.lines)

    def _add_file(self, batch: Batch, data: bytes, chain: str) -> None:
        write_atomically(self.folder / f"{batch.name}.jsonl.zst", data, 0o644)
        next_chain = manifest_chain(chain, batch.name, batch.digest)
        entry = SpoolEntry(batch.name, batch.digest, batch.lines, batch.last + 1, next_chain)
        with open(self.folder / "manifest.jsonl", "ab", buffering=0) as manifest:
            manifest.write(msgspec.json.encode(entry) + b"\n")
            os.fsync(manifest.fileno())
        fsync_path(self.folder)


def manifest_chain(before: str, name: str, digest: str) -> str:
    return hashlib.sha256(f"{before} {name} {digest}".encode()).hexdigest()
