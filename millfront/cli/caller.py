"""Calls to a gatekeeper's admin API, over a Unix socket or a loopback address."""

import http.client
import json
import socket
from dataclasses import dataclass
from typing import Any

from millfront.cli.exits import UNREACHABLE, fail

TIMEOUT_S = 30.0


class UnixConnection(http.client.HTTPConnection):
    """HTTP over a Unix socket."""

    def __init__(self, path: str) -> None:
        super().__init__("localhost", timeout=TIMEOUT_S)
        self.path = path

    def connect(self) -> None:
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(TIMEOUT_S)
        self.sock.connect(self.path)


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    fields: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


def call(admin: str, method: str, path: str, body: bytes = b"", **fields: str) -> Answer:
    """Send one request; exits with 4 if there is no answer."""
    is_unix = admin.startswith("unix:")
    connection = (
        UnixConnection(admin.removeprefix("unix:"))
        if is_unix
        else http.client.HTTPConnection(admin, timeout=TIMEOUT_S)
    )
    try:
        connection.request(method, path, body or None, {k.replace("_", "-"): v for k, v in fields.items()})
        response = connection.getresponse()
        return Answer(response.status, {k.lower(): v for k, v in response.getheaders()}, response.read())
    except (OSError, http.client.HTTPException) as error:
        fail(UNREACHABLE, f"no answer from {admin}: {error}")
    finally:
        connection.close()
