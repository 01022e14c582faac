"""The operators' line (`admin_addr`): a call is one line in, one line out, and a close.

It has nothing to do with the HTTP admin API of operators/admin.py; both ask the node, which owns every act.
"""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from millfront.logs import Log
from millfront.node.config import Address
from millfront.node.link import RESOURCE_ERRNOS, Link, accept, create_listener

log = Log(__name__)

MAX_LINE_BYTES = 256
MAX_CALLERS = 24  # at once; each costs a descriptor of those that the configuration keeps back
CALLER_TIMEOUT_S = 5.0  # a caller that says nothing, or half a call: they may stay 4 s
LINGER_S = 0.5  # for a caller to read its answer: closed at once, a reset could overtake it
ACCEPT_RETRY_S = 0.05

Commands = dict[str, Callable[[], str]]  # a call's name to its act: what it says, or CommandRefused


class CommandRefused(Exception):
    """A call that can't be carried out now, and why."""


class OperatorConnection:
    """One connection of an operator."""

    def __init__(self, line: "OperatorsLine", sock: socket.socket) -> None:
        self.line = line
        self.buffer = b""
        self.answered = False
        self.link = Link(sock, self, line.loop)
        self.timer = line.loop.call_later(CALLER_TIMEOUT_S, self.close)

    def received(self, data: bytes) -> None:
        if self.answered:
            return  # read away, so that the close is no reset
        self.buffer += data
        text, end, _ = self.buffer.partition(b"\n")
        if end or len(self.buffer) > MAX_LINE_BYTES:
            self.answer(self.line.answer(text))

    def answer(self, text: str) -> None:
        self.answered = True
        try:
            self.link.write(text.encode() + b"\n")
        except OSError:
            self.close()
            return
        self.link.shutdown_write()
        self.timer.cancel()
        self.timer = self.line.loop.call_later(LINGER_S, self.close)

    def ended(self, why: str) -> None:
        """It has ended its sending: half a call is no call, and one that leaves before its answer is
        nothing."""
        if self.buffer and not self.answered and not why:
            self.answer("FAILURE the line has no end")
        else:
            self.close()

    def drained(self) -> None:
        pass

    def close(self) -> None:
        self.timer.cancel()
        self.link.close()
        self.line.callers.pop(self, None)


class OperatorsLine:
    def __init__(self, calls: Commands) -> None:
        self.commands = calls
        self.callers: dict[OperatorConnection, None] = {}  # the one that has been there longest first
        self.address: Address | None = None
        self.loop: asyncio.AbstractEventLoop
        self._listener: socket.socket | None = None

    def listen(self, address: Address) -> Address:
        """Answer from now on; returns where. Raises OSError."""
        self.loop = asyncio.get_running_loop()
        self._listener = create_listener(address.host, address.port, MAX_CALLERS)
        self.loop.add_reader(self._listener.fileno(), self._on_acceptable)
        self.address = Address(address.host, self._listener.getsockname()[1])
        return self.address

    def answer(self, line: bytes) -> str:
        """What one line gets, whatever it is; the line's end, CRLF or LF, is off."""
        line = line.removesuffix(b"\r")
        if len(line) >= MAX_LINE_BYTES:
            return f"FAILURE a call has fewer than {MAX_LINE_BYTES} bytes"
        if not line.isascii():
            return "FAILURE a call is in ASCII"
        name = line.decode()
        if name not in self.commands:
            return f"FAILURE {name!r} is not a call; there are {', '.join(self.commands)}"
        try:
            return f"SUCCESS {self.commands[name]()}"
        except CommandRefused as why:
            return f"FAILURE {why}"
        except Exception:  # a call's fault is the call's
            log.exception("a call of the operators failed", call=name)
            return "FAILURE a fault of our own: see the log"

    def _on_acceptable(self) -> None:
        assert self._listener is not None
        for _ in range(MAX_CALLERS):
            if len(self.callers) >= MAX_CALLERS:
                next(
                    iter(self.callers)
                ).close()  # guards the others against callers that stay and say nothing
            try:
                sock = accept(self._listener)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in RESOURCE_ERRNOS and self.callers:
                    next(iter(self.callers)).close()
                    continue
                if error.errno in RESOURCE_ERRNOS:  # the loop would ask again at once, and spin
                    self.loop.remove_reader(self._listener.fileno())
                    self.loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)
                    return
                continue
            self.callers[OperatorConnection(self, sock)] = None

    def _resume_accepting(self) -> None:
        if self._listener is not None:
            self.loop.add_reader(self._listener.fileno(), self._on_acceptable)

    def close(self) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            with suppress(ValueError):
                self.loop.remove_reader(listener.fileno())
            listener.close()
        for caller in list(self.callers):
            caller.close()
