"""Simulated peers of a whole system: servers of a service, and the platform that lists them."""

import json
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, ClassVar

SERVICE_TIME_S = 0.05


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, format: str, *args: object) -> None:
        pass

    def answer(self, status: int, body: bytes, fields: dict[str, str]) -> None:
        self.send_response(status)
        for name, value in fields.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class ToyServer(QuietHandler):
    """A server of a service: answers with its seal, and refuses requests meant for another instance (421)."""

    ident = ""

    def do_GET(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        stamp = {"Millfront-Attempt-Id": self.headers.get("Millfront-Attempt-Id", "")}
        if self.headers.get("Millfront-Target-Instance", self.ident) != self.ident:
            self.answer(421, b"", stamp)
            return
        time.sleep(SERVICE_TIME_S)
        tenant = self.headers.get("Millfront-Tenant-Name", "nobody")
        body = f"{self.command} {self.path} for {tenant}, by {self.ident}\n".encode()
        self.answer(200, body, stamp | {"Millfront-Server-Seal": f"{self.ident}.1"})

    do_POST = do_PUT = do_GET


class Platform(QuietHandler):
    """The platform's API that lists the servers."""

    instances: ClassVar[dict[str, Any]] = {}

    def do_GET(self) -> None:
        page = json.dumps({"instances": self.instances, "next_token": None}).encode()
        self.answer(200, page, {"Content-Type": "application/json"})


def toy_server(ident: str) -> ThreadingHTTPServer:
    """Create a server on a free port."""
    return ThreadingHTTPServer(("127.0.0.1", 0), type("ToyServer", (ToyServer,), {"ident": ident}))


def platform(servers: dict[str, tuple[str, str]]) -> ThreadingHTTPServer:
    """Create a platform that lists these servers: ident -> (address, zone)."""
    instances = {
        ident: {"target": "shop", "address": address, "zone": zone, "revision": "v1", "capacity": 3,
                "phase": "ready", "warm_left": "0ms"}
        for ident, (address, zone) in servers.items()
    }  # fmt: skip
    return ThreadingHTTPServer(("127.0.0.1", 0), type("Platform", (Platform,), {"instances": instances}))
