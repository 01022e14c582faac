"""Client of the shared counter: calls are pipelined on one connection, answers matched in order."""

import math
import re
from collections import deque
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from millfront import interface as api
from millfront.logs import Log
from millfront.node.config import Address
from millfront.node.endings import COUNT_OUTCOMES, Ending, ExchangeError
from millfront.node.host import Host
from millfront.node.http import dial

log = Log(__name__)

MAX_LINE_BYTES = 256
TOTAL = re.compile(rb"[-+]?[0-9]+(?:\.[0-9]*)?(?:[eE][-+]?[0-9]+)?")  # float() also accepts 1_0 and nan
CONNECTION_LOST_US = 250_000  # an answer overdue by this: this connection may be cut off, a new one not
IDLE_TIMEOUT_US = 3_000_000  # the counter closes after some seconds: a call sent then may be added or not


@dataclass(slots=True, eq=False)
class Call:
    name: int
    line: bytes
    created_us: int
    written: bool = False
    ended: bool = False


class CounterClient:
    def __init__(self, host: Host, address: Address, timeout_us: int, connect_timeout_us: int) -> None:
        self.host = host
        self.address = address
        self.timeout_us = timeout_us
        self.connect_timeout_us = connect_timeout_us
        self._queued: deque[Call] = deque()  # not yet written
        self._written: deque[Call] = deque()  # in the order of their answers, also those that timed out
        self._wakeup = anyio.Event()
        self._last_write_us = 0
        self._retired = False

    def call(self, count: api.Count) -> None:
        ttl_ms = max(1, -(-count.ttl_us // 1000))
        line = f"add {count.name:x} {count.amount:.10g} {ttl_ms}\r\n".encode()
        call = Call(count.name, line, self.host.clock.now())
        self._enqueue(call)
        self.host.timers.after(self.timeout_us, lambda: self._on_timeout(call))

    def retire(self, successor: "CounterClient") -> None:
        """The counter has moved: calls not yet written go to the successor. The others get their answers
        here, and run() returns after the last one."""
        self._retired = True
        while self._queued:
            successor._enqueue(self._queued.popleft())
        self._wakeup.set()

    def _enqueue(self, call: Call) -> None:
        self._queued.append(call)
        self._wakeup.set()

    def _on_timeout(self, call: Call) -> None:
        """Timed out. If written, it may have been added, and its answer is still to be consumed."""
        self._end(call, Ending.TIMED_OUT if call.written else Ending.CONNECT_FAILED)

    def _end(self, call: Call, ending: Ending, total: float = 0.0) -> None:
        if not call.ended:
            call.ended = True
            self.host.counter_answered(api.CounterAnswered(call.name, COUNT_OUTCOMES[ending], total))

    async def run(self) -> None:
        """Connects when there are calls, until retired."""
        while not self._retired:
            await self._wait_for_calls()
            if not self._queued:
                continue
            try:
                stream = await dial(self.address, self.connect_timeout_us)
            except ExchangeError:
                while self._queued:
                    self._end(self._queued.popleft(), Ending.CONNECT_FAILED)
                continue
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._read, stream, tasks.cancel_scope)
                    await self._write(stream)
                    tasks.cancel_scope.cancel()
            finally:
                await anyio.aclose_forcefully(stream)
                while self._written:
                    self._end(self._written.popleft(), Ending.BROKEN)

    async def _wait_for_calls(self) -> None:
        """Waits for calls that have not timed out, or for retire()."""
        while True:
            while self._queued and self._queued[0].ended:  # it timed out waiting for a connection
                self._queued.popleft()
            if self._queued or self._retired:
                return
            self._wakeup = anyio.Event()
            await self._wakeup.wait()

    async def _write(self, stream: SocketStream) -> None:
        self._last_write_us = self.host.clock.now()
        while True:
            with anyio.move_on_after(IDLE_TIMEOUT_US / 1e6):
                await self._wait_for_calls()
            now = self.host.clock.now()
            if self._retired:
                await anyio.sleep(self.timeout_us / 1e6)  # by then each call has its answer or has timed out
                return
            if not self._queued and not self._written and now - self._last_write_us >= IDLE_TIMEOUT_US:
                return  # idle: close before the counter does
            if self._written and now - self._written[0].created_us > self.timeout_us + CONNECTION_LOST_US:
                return
            calls = [call for call in self._queued if not call.ended]
            self._queued.clear()
            for call in calls:
                call.written = True
            self._written.extend(calls)
            if not calls:
                continue
            self._last_write_us = now
            try:
                await stream.send(b"".join(call.line for call in calls))
            except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                for call in calls:  # the last byte was not written: nothing added
                    self._end(call, Ending.CONNECT_FAILED)
                return

    async def _read(self, stream: SocketStream, scope: anyio.CancelScope) -> None:
        remainder = b""
        try:
            while True:
                *lines, remainder = (remainder + await stream.receive()).split(b"\n")
                for line in lines:
                    self._handle_answer(line.strip())
                if len(remainder) > MAX_LINE_BYTES:
                    raise ExchangeError(Ending.MALFORMED, f"line of more than {MAX_LINE_BYTES} bytes")
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass
        except ExchangeError as error:
            log.warning("malformed answer from the counter", why=error)
        scope.cancel()

    def _handle_answer(self, line: bytes) -> None:
        if not self._written:
            raise ExchangeError(Ending.MALFORMED, f"answer without a call: {line[:40]!r}")
        status, _, total = line.partition(b" ")
        ending, value = Ending.NOT_STARTED, 0.0
        if status == b"ok":
            if not TOTAL.fullmatch(total) or not math.isfinite(value := float(total)):
                raise ExchangeError(Ending.MALFORMED, f"expected 'ok' and a number, got {line[:40]!r}")
            ending = Ending.SERVED
        elif status == b"error":
            ending = Ending.ERRORED
        elif status != b"busy":
            raise ExchangeError(Ending.MALFORMED, f"expected ok, error or busy, got {line[:40]!r}")
        self._end(self._written.popleft(), ending, value)
