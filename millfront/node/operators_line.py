"""The operators' line (`admin_addr`): a call is one line in, one line out, then the connection is closed.

Independent of the HTTP admin API in operators/admin.py; both call the node, which implements every command.
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
MAX_CALLERS = 24  # at once; each takes one of the descriptors that the configuration reserves
CALLER_TIMEOUT_S = 5.0  # without a complete call; callers may take up to 4 s
LINGER_S = 0.5  # to read the answer: after an immediate close a reset could overtake it
ACCEPT_RETRY_S = 0.05

Commands = dict[str, Callable[[], str]]  # by name; each returns its answer or raises CommandRefused


class CommandRefused(Exception):
    """The command can't be executed now; the message says why."""


class OperatorConnection:
    """A connection of an operator."""

    def __init__(self, line: "OperatorsLine", sock: socket.socket) -> None:
        self.line = line
        self.buffer = b""
        self.answered = False
        self.link = Link(sock, self, line.loop)
        self.timer = line.loop.call_later(CALLER_TIMEOUT_S, self.close)

    def received(self, data: bytes) -> None:
        if self.answered:
            return  # drained, so that the close does not become a reset
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
        """The caller has shut down its sending side: an incomplete call is refused. After an error or without
        a call, just closes."""
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
        self.callers: dict[OperatorConnection, None] = {}  # oldest first
        self.address: Address | None = None
        self.loop: asyncio.AbstractEventLoop
        self._listener: socket.socket | None = None

    def listen(self, address: Address) -> Address:
        """Starts to listen; returns the bound address. Raises OSError."""
        self.loop = asyncio.get_running_loop()
        self._listener = create_listener(address.host, address.port, MAX_CALLERS)
        self.loop.add_reader(self._listener.fileno(), self._on_acceptable)
        self.address = Address(address.host, self._listener.getsockname()[1])
        return self.address

    def answer(self, line: bytes) -> str:
        """The answer to one line, without its line end (LF; a CR is removed here)."""
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
        except Exception:  # a fault ends this call only
            log.exception("operators' call failed by an internal error", call=name)
            return "FAILURE a fault of our own: see the log"

    def _on_acceptable(self) -> None:
        assert self._listener is not None
        for _ in range(MAX_CALLERS):
            if len(self.callers) >= MAX_CALLERS:
                # Silent callers must not keep others out: close the oldest
                next(iter(self.callers)).close()
            try:
                sock = accept(self._listener)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in RESOURCE_ERRNOS and self.callers:
                    next(iter(self.callers)).close()
                    continue
                if error.errno in RESOURCE_ERRNOS:  # the event loop would call again at once, and spin
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
