"""A TCP connection driven by the event loop's readiness callbacks: no task, no stream object, no read-ahead.

The loop's own transports read whatever arrives, asked for or not: a second response or stray bytes behind the
first would lie unseen in a buffer and be taken for the next request's response. So the socket is read here
directly, and can be checked before a write (nothing_to_read()). Writes go out at once; what the kernel does
not take waits in a bounded buffer.
"""

import asyncio
import errno
import fcntl
import os
import socket
import sys
import termios
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from millfront.logs import Log

log = Log(__name__)

READ_SIZE = 64 * 1024
INTERNAL_ERROR = "internal error"  # why a connection has ended of which a callback raised an exception
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class Owner(Protocol):
    """The protocol side of a connection. No callback follows ended()."""

    def received(self, data: bytes) -> None: ...
    def ended(self, why: str) -> None:
        """The peer has finished sending (`why` is empty) or the connection has broken: `INTERNAL_ERROR`
        if a callback of this owner raised an exception."""

    def drained(self) -> None:
        """The kernel has taken all that was written."""


class Link:
    """One connected socket and its owner."""

    __slots__ = ("_fd", "_loop", "_paused", "_sock", "_unsent", "closed", "owner")

    def __init__(self, sock: socket.socket, owner: Owner, loop: asyncio.AbstractEventLoop) -> None:
        self._sock = sock
        self._fd = sock.fileno()
        self._loop = loop
        self._unsent = bytearray()
        self._paused = False
        self.closed = False
        self.owner = owner
        loop.add_reader(self._fd, self._readable)

    def _readable(self) -> None:
        try:
            data = self._sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._notify_ended(repr(error))
            return
        if not data:
            self._notify_ended("")
            return
        try:
            self.owner.received(data)
        except Exception:
            self._contain_fault()

    def _contain_fault(self) -> None:
        """A callback has raised an exception: it ends this connection and affects no other."""
        log.exception("connection handler failed; connection closed", peer=self.peer)
        self.close()
        self._notify_ended(INTERNAL_ERROR)

    def _notify_ended(self, why: str) -> None:
        """Stop reading, then tell the owner: the loop would keep calling for a socket that has ended."""
        if not self.closed:
            self._loop.remove_reader(self._fd)
            self._paused = True
        try:
            self.owner.ended(why)
        except Exception:
            log.exception("connection end handler failed; connection closed")
            self.close()

    def pause(self) -> None:
        """Stop reading until resume(): bounds memory against a peer that never stops sending."""
        if not self._paused and not self.closed:
            self._paused = True
            self._loop.remove_reader(self._fd)

    def resume(self) -> None:
        if self._paused and not self.closed:
            self._paused = False
            self._loop.add_reader(self._fd, self._readable)

    @property
    def paused(self) -> bool:
        return self._paused

    @property
    def sock(self) -> socket.socket:
        return self._sock

    @property
    def peer(self) -> str:
        """The peer's address, for a log line; empty if the connection has ended."""
        try:
            return str(self._sock.getpeername())
        except OSError:
            return ""

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not taken yet."""
        return len(self._unsent)

    def unacknowledged(self) -> int:
        """Bytes in the kernel's send queue that the peer has not acknowledged. They can be megabytes; they
        tell a slow reader from one that reads nothing long before the kernel takes more."""
        try:
            return int.from_bytes(fcntl.ioctl(self._fd, termios.TIOCOUTQ, b"\0\0\0\0"), sys.byteorder)
        except OSError:
            return 0

    def write(self, data: bytes) -> None:
        """Send what the kernel takes at once, and buffer the rest.

        :raises OSError: the connection has broken; how much of earlier writes arrived is unknown
        """
        if self._unsent:
            self._unsent += data
            return
        try:
            sent = self.send(data)
        except (BlockingIOError, InterruptedError):
            sent = 0
        if sent < len(data):
            self._unsent += data[sent:] if sent else data
            self._loop.add_writer(self._fd, self._writable)

    def send(self, data: bytes | bytearray) -> int:
        return self._sock.send(data)

    def _writable(self) -> None:
        try:
            sent = self.send(self._unsent)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._loop.remove_writer(self._fd)
            self._notify_ended(repr(error))
            return
        del self._unsent[:sent]
        if not self._unsent:
            self._loop.remove_writer(self._fd)
            try:
                self.owner.drained()
            except Exception:
                self._contain_fault()

    def nothing_to_read(self) -> bool:
        """Whether the connection is up and has no unread bytes."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def shutdown_write(self) -> None:
        """Send FIN; reading goes on."""
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close at once; unsent data is dropped and nothing more is reported."""
        if self.closed:
            return
        self.closed = True
        self._loop.remove_reader(self._fd)
        if self._unsent:
            self._loop.remove_writer(self._fd)
        self._sock.close()


def create_listener(host: str, port: int, backlog: int) -> socket.socket:
    """A listening socket at that address, which a successor process may share; raises OSError."""
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if port:  # a port that the kernel chooses is this process's alone
            with suppress(OSError):  # without it only a start of a successor beside this process fails
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind((host, port))
        sock.listen(backlog)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


def accept(listener: socket.socket) -> socket.socket:
    sock = listener.accept()[0]
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def open_socket(host: str) -> socket.socket:
    """A socket for that address; raises OSError when out of descriptors."""
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class ConnectAttempt:
    """A connection being set up. Calls `done` once, with the socket or with the error; never if cancelled."""

    __slots__ = ("_done", "_loop", "_sock", "_timer")

    def __init__(
        self,
        host: str,
        port: int,
        timeout_s: float,
        loop: asyncio.AbstractEventLoop,
        done: Callable[[socket.socket | None, OSError | None], None],
    ) -> None:
        """:raises OSError: connecting failed at once; `done` is not called"""
        self._loop = loop
        self._done = done
        self._sock: socket.socket | None = open_socket(host)
        self._timer: asyncio.TimerHandle | None = None
        try:
            self._sock.connect((host, port))
        except BlockingIOError:
            pass
        except BaseException:
            self._sock.close()
            raise
        loop.add_writer(self._sock.fileno(), self._on_writable)
        if timeout_s > 0:
            self._timer = loop.call_later(timeout_s, self._on_timeout)

    def _on_writable(self) -> None:
        sock = self._release()
        if sock is None:
            return
        if number := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            sock.close()
            self._done(None, OSError(number, os.strerror(number)))
        else:
            self._done(sock, None)

    def _on_timeout(self) -> None:
        if (sock := self._release()) is not None:
            sock.close()
            self._done(None, TimeoutError(errno.ETIMEDOUT, "connect timed out"))

    def _release(self) -> socket.socket | None:
        sock, self._sock = self._sock, None
        if sock is not None:
            self._loop.remove_writer(sock.fileno())
        if self._timer is not None:
            self._timer.cancel()
        return sock

    def cancel(self) -> None:
        if (sock := self._release()) is not None:
            sock.close()
