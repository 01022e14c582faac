"""The HTTP API for operators, for the platform and for clients that look up gatekeepers
(docs/openapi/gatekeeper.json)."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from result import Result

from millfront.control.configuration import Configuration, ConfigurationError
from millfront.gatekeeper import metrics, status
from millfront.gatekeeper.directory import answer_ttl
from millfront.gatekeeper.node import Gatekeeper
from millfront.node.bodies import Upload
from millfront.node.clients import VirtualServer
from millfront.node.config import Address
from millfront.node.host import Caller, Clock
from millfront.node.http import Fields, Message
from millfront.node.stages.take_in import RequestRejected

JSON: Fields = [(b"Content-Type", b"application/json")]
TEXT: Fields = [(b"Content-Type", b"text/plain; version=0.0.4")]  # of the Prometheus format
EVACUATION = "/v1/evacuation/"
METRICS = "/v1/metrics"
MAX_CONNECTIONS = 400
# Longer configurations are parsed in a thread beside the event loop (1 ms for each new route)
MAX_INLINE_CHARS = 16 * 1024
ConfigurationCheck = Callable[[str, Callable[[Result[Configuration, ConfigurationError]], None]], None]


class BodyCollector:
    """Collects a long request body in memory."""

    def __init__(self, first: bytes, done: Callable[[bytes], None]) -> None:
        self.data, self.on_complete = bytearray(first), done

    def write_body(self, data: bytes, last: bool) -> bool:
        """Append the next bytes of the body. Always returns True: more may follow at once."""
        self.data += data
        if last:
            self.on_complete(bytes(self.data))
        return True


class Call:
    """One API call, open until it is answered."""

    def __init__(self, message: Message, caller: Caller) -> None:
        self.message, self.caller, self.finished = message, caller, False

    def answer(self, status: int, text: str = "", kind: Fields = JSON) -> None:
        """Send the answer; later ones are dropped. The text of an error is wrapped in ``{"error": ...}``."""
        if not self.finished:
            self.finished = True
            body = text.encode()
            if status >= 400 and text:
                body = json.dumps({"error": text}).encode()
            fields = list(kind) if body else []
            if status == 503:
                fields.append((b"Retry-After", b"0.3"))
            self.caller.send_response(Message(status, fields, fields, body))  # type: ignore[attr-defined]


class ControlApi:
    """One listening address and the calls that it serves."""

    def __init__(
        self,
        gatekeeper: Gatekeeper,
        now: Callable[[], float],
        serves: frozenset[str],
        check: ConfigurationCheck,
    ) -> None:
        """:param serves: names of the bindings at this address
        :param check: parses and checks a long configuration in a thread beside the event loop"""
        self.gatekeeper, self.now, self.serves, self.check_configuration = gatekeeper, now, serves, check
        self.clock = Clock()
        self.server = VirtualServer(
            self.clock, self, lambda message, _: message, self.handle_request, None, MAX_CONNECTIONS
        )
        self.server.request_read_timeout_us = 5_000_000

    def listen(self, address: str) -> None:
        """Listen at ``HOST:PORT``.

        :raises OSError: the address is not available"""
        self.server.listen(Address.parse(address, "bindings"))

    def body_complete(self, call: Call) -> None:
        """Part of the virtual server's interface; does nothing, as `BodyCollector` collects bodies."""
        pass

    def client_left(self, call: Call) -> None:
        """The caller has closed its connection: a later answer is dropped."""
        call.finished = True

    def handle_request(self, message: Message, caller: Caller) -> Call | None:
        """Answer a call at once, or return it open while the register works on it.

        :raises RequestRejected: unknown path, method or zone, or a call that this address does not serve
        """
        assert isinstance(message.start, tuple)
        method, target = message.start[0].decode(), message.start[1].decode("latin-1")
        path, _, query = target.partition("?")
        call = Call(message, caller)
        gatekeeper, now = self.gatekeeper, self.now()
        if path == "/v1/readiness" and "readiness" in self.serves and method == "GET":
            call.answer(200 if gatekeeper.ready(now) else 503)
        elif path == "/v1/resolve" and "lookup" in self.serves and method == "GET":
            self._resolve(call, now, parse_qs(query))
        elif path == "/v1/config" and "ctl" in self.serves and method == "PUT":
            self._read_body(message, lambda body: self._put_configuration(call, body))
        elif path == "/v1/config" and "ctl" in self.serves and method == "GET":
            gatekeeper.read(now, call.answer)
        elif path == METRICS and {"ctl", "metrics"} & self.serves and method == "GET":
            call.answer(200, metrics.render(gatekeeper, now), TEXT)
        elif path == "/v1/gatekeeper" and "ctl" in self.serves and method == "GET":
            call.answer(200, json.dumps(status.report(gatekeeper, now)))
        elif path == "/v1/gatekeeper/events" and "ctl" in self.serves and method == "GET":
            part = parse_qs(query).get("part", [""])[0]
            call.answer(200, json.dumps({"pages": gatekeeper.event_log.entries(now, part)}))
        elif path == "/v1/gatekeeper/tenants" and "ctl" in self.serves and method == "GET":
            call.answer(200, json.dumps(status.tenants(gatekeeper)))
        elif path == "/v1/register" and "ctl" in self.serves and method == "GET":
            gatekeeper.read_all(now, call.answer)
        elif path == "/v1/register" and "ctl" in self.serves and method == "PUT":
            self._read_body(message, lambda body: self._restore_register(call, body))
        elif path.startswith(EVACUATION) and "ctl" in self.serves and method in ("POST", "DELETE"):
            zone = path.removeprefix(EVACUATION)
            if zone not in gatekeeper.settings.zones:
                raise RequestRejected(404, f"unknown zone {zone!r}")
            gatekeeper.evacuate(now, zone, method == "POST", call.answer, lambda: not call.finished)
        else:
            raise RequestRejected(404, "no such call at this address")
        return None if call.finished else call

    def _put_configuration(self, call: Call, body: bytes) -> None:
        try:
            text = body.decode()
        except UnicodeDecodeError:
            call.answer(400, "the configuration is not UTF-8")
            return
        if len(text) < MAX_INLINE_CHARS:
            self.gatekeeper.put(self.now(), text, call.answer)
        else:
            self.check_configuration(
                text, lambda result: self.gatekeeper.put_checked(self.now(), result, call.answer)
            )

    def _resolve(self, call: Call, now: float, query: dict[str, list[str]]) -> None:
        region = query.get("region", [""])[0]
        if addresses := self.gatekeeper.resolve(now, region):
            ttl = answer_ttl(self.gatekeeper.settings.bounds)
            call.answer(200, json.dumps({"addresses": addresses, "valid": f"{ttl:g}s"}))
        else:
            call.answer(503, "no ready gatekeeper is known")

    def _restore_register(self, call: Call, body: bytes) -> None:
        self.gatekeeper.restore(self.now(), body, call.answer, lambda: not call.finished)

    @staticmethod
    def _read_body(message: Message, done: Callable[[bytes], None]) -> None:
        upload: Upload | None = message.upload
        if upload is None:
            done(message.body)
        else:
            upload.attach(BodyCollector(message.body, done))


def create_apis(
    gatekeeper: Gatekeeper, now: Callable[[], float], bindings: Any, check: ConfigurationCheck
) -> list[ControlApi]:
    """Create and start an API for each address among the bindings; several names may share an address.

    :raises OSError: an address is not available
    """
    by_address: dict[str, set[str]] = {}
    for name in ("readiness", "ctl", "lookup", "metrics"):
        if name in bindings:
            by_address.setdefault(bindings[name], set()).add(name)
    apis = []
    for address, serves in by_address.items():
        control_api = ControlApi(gatekeeper, now, frozenset(serves), check)
        control_api.listen(address)
        apis.append(control_api)
    return apis
