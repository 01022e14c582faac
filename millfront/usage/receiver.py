"""A receiver of usage batches: the server side of docs/export-protocol.md, for rehearsals and trials.

BatchReceiver keeps received batches by name, in a folder or in memory; create_server() serves it over HTTP.
"""

import hashlib
import json
import re
import threading
from collections import Counter
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import msgspec
import zstandard

from millfront.operators.files import write_atomically
from millfront.usage.batches import line_key, parse_batch
from millfront.usage.sinks import compress, decompress

NAME = re.compile(
    r"(?P<ledger>[A-Za-z0-9._-]+\.[0-9a-f]{16})\.(?P<first>[0-9a-f]{16})-(?P<last>[0-9a-f]{16})"
)
Response = tuple[int, dict[str, Any]]


class BatchReceiver:
    """Idempotent by name: a repeated batch gets the same answer, another one under its name is refused."""

    def __init__(self, folder: Path | None = None) -> None:
        self.folder = folder
        self.digests: dict[str, tuple[str, int]] = {}
        self.marks: dict[str, int] = {}
        self.totals: dict[str, Counter[tuple[str, ...]]] = {}  # by ledger and line key: units, in millionths
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            for path in sorted(folder.glob("*.jsonl.zst")):
                self._add(path.name.removesuffix(".jsonl.zst"), decompress(path.read_bytes()))

    def put(self, name: str, digest: str, data: bytes) -> Response:
        match = NAME.fullmatch(name)
        if match is None:
            return 400, {"error": "not a batch name: expected SOURCE.LEDGER.FIRST-LAST"}
        if name in self.digests:
            known, lines = self.digests[name]
            if known != digest:
                return 409, {"error": "another batch has this name", "digest": known}
            return 200, {"digest": known, "lines": lines, "next": self.marks[match["ledger"]]}
        if int(match["first"], 16) < self.marks.get(match["ledger"], 0):
            return 409, {"error": "part of its range was received under another name"}
        try:
            text = decompress(data)
            head, lines_of = parse_batch(text)
        except (zstandard.ZstdError, msgspec.MsgspecError, ValueError) as error:
            return 400, {"error": f"can't be read: {error}"}

        if hashlib.sha256(text).hexdigest() != digest or head.lines != len(lines_of) or head.batch != name:
            return 400, {"error": "does not match its digest, its name or its head line"}
        if self.folder is not None:
            write_atomically(self.folder / f"{name}.jsonl.zst", compress(text))
        self._add(name, text)
        return 201, {"digest": digest, "lines": head.lines, "next": self.marks[match["ledger"]]}

    def _add(self, name: str, text: bytes) -> None:

        head, lines = parse_batch(text)
        match = NAME.fullmatch(name)
        assert match is not None
        self.digests[name] = (hashlib.sha256(text).hexdigest(), head.lines)
        self.marks[match["ledger"]] = max(self.marks.get(match["ledger"], 0), int(match["last"], 16) + 1)
        for line in lines:
            key = line_key(line)
            self.totals.setdefault(match["ledger"], Counter())[key] += round(line.units * 1e6)

    def mark(self, ledger: str) -> Response:
        if ledger not in self.marks:
            return 404, {"error": "nothing received of this ledger yet"}
        return 200, {"next": self.marks[ledger]}

    def tally(self, ledger: str) -> list[dict[str, Any]]:
        """The receiver's account of a ledger, line by line."""
        names = ("period", "customer", "plan", "plan_version", "class", "standing", "figure", "gatekeeper")
        return [
            dict(zip(names, key, strict=True)) | {"units": units / 1e6}
            for key, units in sorted(self.totals.get(ledger, Counter()).items())
        ]

    def batches(self) -> list[dict[str, Any]]:
        return [
            {"batch": name, "digest": digest, "lines": lines}
            for name, (digest, lines) in sorted(self.digests.items())
        ]


class PrintingReceiver(BatchReceiver):
    """Prints the lines of each new batch."""

    def __init__(self, echo: Callable[[str], None], folder: Path | None = None) -> None:
        super().__init__(folder)
        self.echo = echo

    def put(self, name: str, digest: str, data: bytes) -> Response:
        status, content = super().put(name, digest, data)
        if status == 201:
            for line in parse_batch(decompress(data))[1]:
                subject = f"{line.customer} {line.plan} {line.cls} {line.standing}"
                self.echo(f"usage: {subject}: {line.tries} tries, {line.units:g} units {line.figure}")
        return status, content


FaultInjector = Callable[[str, str], str]  # (method, path) to "", "before", "after" or "half"


def create_server(
    receiving: BatchReceiver, host: str, port: int, fault: FaultInjector | None = None
) -> ThreadingHTTPServer:
    """Creates an HTTP server in front of a receiver.

    :param fault: names the fault of each call: "before" answers 500 and ignores the batch, "after" takes it
        and closes the connection, "error" takes it and answers 500, "half" takes it and acknowledges half of
        the lines, "busy" answers 503 with Retry-After
    """
    lock = threading.Lock()

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_PUT(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            kind = fault("PUT", self.path) if fault else ""
            if kind in ("before", "busy"):
                self._respond(500 if kind == "before" else 503, {"error": "not now"}, kind == "busy")
                return
            name = self.path.rpartition("/")[2]
            with lock:
                status, content = receiving.put(name, self.headers.get("Millfront-Digest", ""), body)
            if kind == "after":
                self.close_connection = True
                return
            if kind == "half" and "lines" in content:
                content = content | {"lines": content["lines"] // 2}
            self._respond(500 if kind == "error" else status, content)

        def do_GET(self) -> None:
            if fault and fault("GET", self.path) == "before":
                self._respond(500, {"error": "not now"})
                return
            parts = self.path.strip("/").split("/")
            with lock:
                if parts[-1] == "mark" and len(parts) >= 2:
                    self._respond(*receiving.mark(parts[-2]))
                elif parts[-1] == "tally" and len(parts) >= 2:
                    self._respond(200, {"lines": receiving.tally(parts[-2])})
                elif parts[-1] == "batches":
                    self._respond(200, {"batches": receiving.batches()})
                else:
                    self._respond(404, {"error": "no such resource"})

        def _respond(self, status: int, content: dict[str, Any], later: bool = False) -> None:
            body = json.dumps(content).encode() + b"\n"
            self.send_response(status)
            if later:
                self.send_header("Retry-After", "1")
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, format: str, *args: object) -> None:
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True

        def handle_error(self, request: object, client_address: object) -> None:
            """Ignores callers that disconnect early."""

    return Server((host, port), Handler)
