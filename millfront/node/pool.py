"""The pool: the list of page servers from discovery, initially from the configuration, then kept current."""

import itertools
import json
from typing import Any

import anyio
import h11

from millfront import interface as api
from millfront.logs import Log
from millfront.node.config import Address, ConfigError
from millfront.node.endings import Ending, ExchangeError
from millfront.node.host import Host
from millfront.node.http import HttpConnection, dial
from millfront.node.members import Members
from millfront.settings import NodeSettings

log = Log(__name__)

STATES = {
    "Ready": api.BackendState.READY,
    "Terminating": api.BackendState.DRAINING,
    "Gone": api.BackendState.GONE,
}
MIN_RETRY_S, MAX_RETRY_S = 0.05, 1.0
WATCH_TIMEOUT_S = 5.0  # a watch sends a line every 2 s; without one it may be silently cut off
STOPPED_RETENTION_US = 60_000_000  # successors have new names; the table must not grow
MAX_LINE_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT_US = 1_000_000


class Pool:
    def __init__(self, host: Host, members: Members, node: NodeSettings, discovery: Address) -> None:
        self.host = host
        self.members = members
        self.discovery = discovery
        self._needs_full_list = False  # the list is from another discovery, whose seq means nothing here
        self._follow_scope = anyio.CancelScope()
        self.connect_timeout_us = node.connect_timeout_us or CONNECT_TIMEOUT_US
        self.seq = 0
        self._next_id = itertools.count(1)
        self._ids: dict[str, int] = {}  # host names to the decision module's numbers
        self._zones = dict(node.zones)
        self._kinds = dict(node.kinds)

    def apply_list(self, message: Any, cached: bool = False) -> None:
        """Applies a list or a change from discovery: to the members first, which enforce the drain rule.

        :raises ExchangeError: MALFORMED; the members are unchanged
        """
        try:
            full, seq = bool(message["whole"]), int(message["seq"])
            entries = [(self._entry(row), row["host"], self._address_of(row)) for row in message["hosts"]]
        except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
            raise ExchangeError(Ending.MALFORMED, f"invalid server list: {error!r}") from None
        if full:
            listed = {entry.backend for entry, _, _ in entries}
            for backend in self._ids.values():
                if backend not in listed:
                    self.members.set_stopped(backend)
        for entry, name, address in entries:
            if entry.state is api.BackendState.READY:
                self.members.set_ready(entry.backend, name, address)
            else:
                self.members.set_stopped(entry.backend)
        self.seq = seq
        self.members.forget(self.host.clock.now() - STOPPED_RETENTION_US)
        self._ids = {name: backend for name, backend in self._ids.items() if self.members.get(backend)}
        kind = api.ListKind.CACHED if cached else api.ListKind.FULL if full else api.ListKind.DELTA
        self.host.post_event(api.BackendList(kind, tuple(entry for entry, _, _ in entries)))

    def _entry(self, row: dict[str, Any]) -> api.BackendEntry:
        return api.BackendEntry(
            backend=self._id_of(row["host"]),
            zone=self._zones.setdefault(str(row.get("site")), len(self._zones)),
            kind=self._kinds.setdefault(str(row.get("class")), len(self._kinds)),
            cell=int(row.get("block", 0)),
            state=STATES[row["health"]],
            weight=float(row.get("share", 1.0)),
            started_us=int(row.get("born_ms", 0)) * 1000,
        )

    def backend_ids(self) -> dict[str, int]:
        """The decision module's number of each member, by name."""
        return dict(self._ids)

    def _id_of(self, name: str) -> int:
        if name not in self._ids:
            self._ids[name] = next(self._next_id)
        return self._ids[name]

    def _address_of(self, row: dict[str, Any]) -> Address:
        if row["health"] == "Gone":
            return Address("", 0)  # nothing is sent to it any more
        return Address.parse(row["dial"], "dial")

    def set_discovery(self, discovery: Address) -> None:
        """Switches to another discovery; whatever the old one still sends is ignored."""
        self.discovery, self._needs_full_list = discovery, True
        self._follow_scope.cancel()

    async def watch(self) -> None:
        """Follows the changes until cancelled."""
        while True:
            with anyio.CancelScope() as self._follow_scope:
                await self._follow(self.discovery)

    async def _follow(self, discovery: Address) -> None:
        """Repeats a watch that has ended, after a delay that grows while nothing arrives."""
        wait_s, last_error = MIN_RETRY_S, ""
        while True:
            before = self.seq
            try:
                if self._needs_full_list:
                    await self._fetch_list(discovery)
                await self._watch_once(discovery)
            except ExchangeError as error:
                if str(error) != last_error:  # log a discovery that is down for hours only once
                    log.warning("watch of discovery failed", why=error)
                last_error = str(error)
            wait_s = MIN_RETRY_S if self.seq != before else min(wait_s * 2, MAX_RETRY_S)
            await anyio.sleep(wait_s)

    async def _fetch_list(self, discovery: Address) -> None:
        connection = await self._send_request(discovery, "/v1/servers")
        try:
            with anyio.fail_after(WATCH_TIMEOUT_S):
                response = await connection.read_response()
        except TimeoutError:
            raise ExchangeError(Ending.TIMED_OUT) from None
        finally:
            await connection.close()
        if response.start != 200:
            raise ExchangeError(Ending.ERRORED, f"status {response.start}")
        if discovery == self.discovery:
            self._apply_json(response.body)
            self._needs_full_list = False

    async def _send_request(self, discovery: Address, target: str) -> HttpConnection:
        connection = HttpConnection(await dial(discovery, self.connect_timeout_us), h11.CLIENT)
        try:
            request = h11.Request(method="GET", target=target, headers=[("Host", str(discovery))])
            await connection.write(request, h11.EndOfMessage())
        except BaseException:
            await connection.close()
            raise
        return connection

    async def _watch_once(self, discovery: Address) -> None:
        connection = await self._send_request(discovery, f"/v1/servers?watch=1&after={self.seq}")
        try:
            buffer = bytearray()
            while True:
                with anyio.move_on_after(WATCH_TIMEOUT_S):
                    event = await connection.next_event()
                    if discovery != self.discovery:
                        return  # a line may arrive after the switch
                    self._handle_event(event, buffer)
                    if isinstance(event, h11.EndOfMessage):
                        return
                    continue
                raise ExchangeError(Ending.TIMED_OUT)
        finally:
            await connection.close()

    def _handle_event(self, event: h11.Event, buffer: bytearray) -> None:
        if isinstance(event, h11.Response) and event.status_code != 200:
            raise ExchangeError(Ending.ERRORED, f"status {event.status_code}")
        if not isinstance(event, h11.Data):
            return
        buffer += event.data
        if len(buffer) > MAX_LINE_BYTES:
            raise ExchangeError(Ending.MALFORMED, f"line of more than {MAX_LINE_BYTES} bytes")
        *lines, rest = bytes(buffer).split(b"\n")
        buffer[:] = rest
        for text in lines:
            if text.strip():
                self._apply_json(text)

    def _apply_json(self, text: bytes) -> None:
        try:
            message = json.loads(text)
        except ValueError as error:
            raise ExchangeError(Ending.MALFORMED, str(error)) from None
        self.apply_list(message)
