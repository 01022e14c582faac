"""Where batches go: a receiver over HTTP (docs/export-protocol.md), or a spool folder. Thin I/O.

Both answer the same two questions: which sequence number is wanted next of a ledger, and what came of a
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
from millfront.usage.sending import Told

LEVEL = 3
MOST_UNPACKED = 64 * 1024 * 1024


def packed(text: bytes) -> bytes:
    return zstandard.ZstdCompressor(level=LEVEL).compress(text)


def unpacked(data: bytes) -> bytes:
    """:raises zstandard.ZstdError: it is not packed, or is longer than any batch is"""
    return zstandard.ZstdDecompressor().decompress(data, max_output_size=MOST_UNPACKED)


class Sink(Protocol):
    async def mark(self, source: str, ledger: str) -> Told: ...
    async def put(self, batch: Batch, data: bytes) -> Told: ...
    async def close(self) -> None: ...


class HttpSink:
    """One connection, kept while it serves; a batch is one PUT."""

    def __init__(self, told: document.Receiver) -> None:
        self.told = told
        self.address = Address.parse(told.address, "usage.export.receiver.address")
        self._wire: HttpConnection | None = None

    async def mark(self, source: str, ledger: str) -> Told:
        return await self._call(b"GET", f"{self.told.path}/sources/{source}.{ledger}/mark", b"", [])

    async def put(self, batch: Batch, data: bytes) -> Told:
        fields = [
            (b"Content-Type", b"application/x-ndjson"),
            (b"Content-Encoding", b"zstd"),
            (b"Millfront-Digest", batch.digest.encode()),
            (b"Content-Length", b"%d" % len(data)),
        ]
        return await self._call(b"PUT", f"{self.told.path}/batches/{batch.name}", data, fields)

    async def _call(self, method: bytes, target: str, body: bytes, fields: list[tuple[bytes, bytes]]) -> Told:
        """Whatever happens is an answer; after no answer the connection is not used again."""
        answer, why = None, ""
        with anyio.move_on_after(self.told.timeout_s):
            try:
                answer = await self._exchange(method, target, body, fields)
            except ExchangeError as ended:
                why = str(ended)
            except BaseException:  # given up in the middle: its answer must not be taken for the next one's
                await self.close()
                raise
        if answer is None:
            await self.close()
            return Told(0, why=why)
        return told_of(answer)

    async def _exchange(
        self, method: bytes, target: str, body: bytes, fields: list[tuple[bytes, bytes]]
    ) -> Message:
        if self._wire is None:
            stream = await dial(self.address, int(self.told.timeout_s * 1e6))
            self._wire = HttpConnection(stream, h11.CLIENT)
        head = h11.Request(
            method=method, target=target.encode(), headers=[(b"Host", str(self.address).encode()), *fields]
        )
        events: list[h11.Event] = [head, *([h11.Data(data=body)] if body else []), h11.EndOfMessage()]
        await self._wire.write(*events)
        answer = await self._wire.read_response()
        if not self._wire.reusable():
            await self.close()
        return answer

    async def close(self) -> None:
        if self._wire is not None:
            wire, self._wire = self._wire, None
            await wire.close()


def told_of(answer: Message) -> Told:
    """A receiver's answer; what can't be read in it counts as not said."""
    assert isinstance(answer.start, int)
    try:
        said: Any = json.loads(answer.body)
    except ValueError:
        said = {}
    said = said if isinstance(said, dict) else {}
    lines, mark = said.get("lines"), said.get("next")
    return Told(
        answer.start,
        digest=str(said.get("digest", "")),
        lines=lines if isinstance(lines, int) else -1,
        next_seq=mark if isinstance(mark, int) else -1,
        retry_after_s=_seconds(answer.field(b"retry-after") or b""),
    )


def _seconds(text: bytes) -> float:
    """Retry-After (RFC 9110, 10.2.3): seconds, or a date."""
    if text.isdigit():
        return float(text)
    try:
        at = email.utils.parsedate_to_datetime(text.decode("latin-1"))
        return max(0.0, at.timestamp() - time.time())
    except (TypeError, ValueError):
        return 0.0


class SpoolEntry(msgspec.Struct, frozen=True):
    """A line of the manifest."""

    batch: str
    digest: str
    lines: int
    next: int
    chain: str  # SHA-256 over the chain before, the name and the digest


class SpoolSink:
    """A folder that somebody else empties: each batch a file, put there whole, and a line in
    `manifest.jsonl`.

    The manifest is the mark: a file without its line is written again and is the same.
    """

    def __init__(self, folder: str | os.PathLike[str]) -> None:
        self.folder = Path(folder)

    async def mark(self, source: str, ledger: str) -> Told:
        return await anyio.to_thread.run_sync(self._mark, f"{source}.{ledger}.")

    async def put(self, batch: Batch, data: bytes) -> Told:
        return await anyio.to_thread.run_sync(self._put, batch, data)

    async def close(self) -> None:
        pass

    def entries(self) -> list[SpoolEntry]:
        """The manifest's sound lines; a torn last one is cut off."""
        path = self.folder / "manifest.jsonl"
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            return []
        found, sound = [], 0
        for line in data.splitlines(keepends=True):
            try:
                entry = msgspec.json.decode(line, type=SpoolEntry)
            except msgspec.MsgspecError:
                break
            if not line.endswith(b"\n"):
                break
            found.append(entry)
            sound += len(line)
        if sound < len(data):
            os.truncate(path, sound)
        return found

    def _mark(self, prefix: str) -> Told:
        try:
            marks = [entry.next for entry in self.entries() if entry.batch.startswith(prefix)]
        except OSError as wrong:
            return Told(0, why=str(wrong))
        return Told(200, next_seq=max(marks)) if marks else Told(404)

    def _put(self, batch: Batch, data: bytes) -> Told:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            entries = self.entries()
            if not any(entry.batch == batch.name for entry in entries):
                self._place(batch, data, entries[-1].chain if entries else "")
        except OSError as wrong:
            return Told(0, why=str(wrong))
        return Told(201, batch.digest, batch.lines)

    def _place(self, batch: Batch, data: bytes, chain: str) -> None:
        write_atomically(self.folder / f"{batch.name}.jsonl.zst", data, 0o644)
        link = linked(chain, batch.name, batch.digest)
        entry = SpoolEntry(batch.name, batch.digest, batch.lines, batch.last + 1, link)
        with open(self.folder / "manifest.jsonl", "ab", buffering=0) as manifest:
            manifest.write(msgspec.json.encode(entry) + b"\n")
            os.fsync(manifest.fileno())
        fsync_path(self.folder)


def linked(before: str, name: str, digest: str) -> str:
    return hashlib.sha256(f"{before} {name} {digest}".encode()).hexdigest()
