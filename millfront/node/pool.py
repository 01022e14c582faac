"""The pool: discovery's list of page servers, as it was known and as it changes."""

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
FIRST_WAIT_S, MOST_WAIT_S = 0.05, 1.0
SILENT_S = 5.0  # a watch brings a line every 2 s: silent for longer, it may be cut off without a word
FORGET_US = 60_000_000  # after a member stopped: successors come under new names, and the table must not grow
MOST_LINE = 4 * 1024 * 1024
CONNECT_US = 1_000_000


class Pool:
    def __init__(self, host: Host, members: Members, node: NodeSettings, discovery: Address) -> None:
        self.host = host
        self.members = members
        self.discovery = discovery
        self._anew = False  # the list held is another discovery's: its version means nothing to this one
        self._following = anyio.CancelScope()
        self.connect_us = node.connect_timeout_us or CONNECT_US
        self.seq = 0
        self._numbers = itertools.count(1)
        self._ids: dict[str, int] = {}  # hosts are names, the module's backends numbers
        self._zones = dict(node.zones)
        self._kinds = dict(node.kinds)

    def take(self, told: Any, cached: bool = False) -> None:
        """One object of discovery, whole or changes: to the members first, which guard the drain rule."""
        try:
            whole, seq = bool(told["whole"]), int(told["seq"])
            entries = [(self._entry(row), row["host"], self._dial(row)) for row in told["hosts"]]
        except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as wrong:
            raise ExchangeError(Ending.MALFORMED, f"a list that can't be read: {wrong!r}") from None
        if whole:
            listed = {entry.backend for entry, _, _ in entries}
            for backend in self._ids.values():
                if backend not in listed:
                    self.members.stopped(backend)
        for entry, name, address in entries:
            if entry.state is api.BackendState.READY:
                self.members.listed(entry.backend, name, address)
            else:
                self.members.stopped(entry.backend)
        self.seq = seq
        self.members.forget(self.host.clock.now() - FORGET_US)
        self._ids = {name: backend for name, backend in self._ids.items() if self.members.get(backend)}
        kind = api.ListKind.CACHED if cached else api.ListKind.FULL if whole else api.ListKind.DELTA
        self.host.tell(api.BackendList(kind, tuple(entry for entry, _, _ in entries)))

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

    def names(self) -> dict[str, int]:
        """The module's number of each member's name."""
        return dict(self._ids)

    def _id_of(self, name: str) -> int:
        if name not in self._ids:
            self._ids[name] = next(self._numbers)
        return self._ids[name]

    def _dial(self, row: dict[str, Any]) -> Address:
        if row["health"] == "Gone":
            return Address("", 0)  # nothing is sent there any more
        return Address.parse(row["dial"], "dial")

    def move(self, discovery: Address) -> None:
        """Discovery is elsewhere from now on: nothing that the old one still says is believed."""
        self.discovery, self._anew = discovery, True
        self._following.cancel()

    async def watch(self) -> None:
        """Follow the changes for ever."""
        while True:
            with anyio.CancelScope() as self._following:
                await self._follow(self.discovery)

    async def _follow(self, discovery: Address) -> None:
        """A watch that ends is asked for anew, later each time in vain."""
        wait_s, said = FIRST_WAIT_S, ""
        while True:
            before = self.seq
            try:
                if self._anew:
                    await self._whole_list(discovery)
                await self._watch_once(discovery)
            except ExchangeError as ended:
                if str(ended) != said:  # a discovery that is down for hours is said once
                    log.warning("discovery ended", why=ended)
                said = str(ended)
            wait_s = FIRST_WAIT_S if self.seq != before else min(wait_s * 2, MOST_WAIT_S)
            await anyio.sleep(wait_s)

    async def _whole_list(self, discovery: Address) -> None:
        wire = await self._asked(discovery, "/v1/servers")
        try:
            with anyio.fail_after(SILENT_S):
                answer = await wire.read_response()
        except TimeoutError:
            raise ExchangeError(Ending.TIMED_OUT) from None
        finally:
            await wire.close()
        if answer.start != 200:
            raise ExchangeError(Ending.ERRORED, f"status {answer.start}")
        if discovery == self.discovery:
            self._told(answer.body)
            self._anew = False

    async def _asked(self, discovery: Address, target: str) -> HttpConnection:
        wire = HttpConnection(await dial(discovery, self.connect_us), h11.CLIENT)
        try:
            request = h11.Request(method="GET", target=target, headers=[("Host", str(discovery))])
            await wire.write(request, h11.EndOfMessage())
        except BaseException:
            await wire.close()
            raise
        return wire

    async def _watch_once(self, discovery: Address) -> None:
        wire = await self._asked(discovery, f"/v1/servers?watch=1&after={self.seq}")
        try:
            line = bytearray()
            while True:
                with anyio.move_on_after(SILENT_S):
                    event = await wire.next_event()
                    if discovery != self.discovery:
                        return  # a line can cross the move
                    self._event(event, line)
                    if isinstance(event, h11.EndOfMessage):
                        return
                    continue
                raise ExchangeError(Ending.TIMED_OUT)
        finally:
            await wire.close()

    def _event(self, event: h11.Event, line: bytearray) -> None:
        if isinstance(event, h11.Response) and event.status_code != 200:
            raise ExchangeError(Ending.ERRORED, f"status {event.status_code}")
        if not isinstance(event, h11.Data):
            return
        line += event.data
        if len(line) > MOST_LINE:
            raise ExchangeError(Ending.MALFORMED, f"a line of over {MOST_LINE} bytes")
        *whole, rest = bytes(line).split(b"\n")
        line[:] = rest
        for text in whole:
            if text.strip():
                self._told(text)

    def _told(self, text: bytes) -> None:
        try:
            told = json.loads(text)
        except ValueError as wrong:
            raise ExchangeError(Ending.MALFORMED, str(wrong)) from None
        self.take(told)
