"""A TCP connection that hides nothing: what has come and was not read yet can be seen before a write.

A stream that reads ahead would keep a second answer or noise out of sight until it passes for the next one.
"""

import os
import socket

import anyio


class Tcp:
    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    @classmethod
    async def connect(cls, host: str, port: int) -> "Tcp":
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                sock.connect((host, port))
            except BlockingIOError:
                await anyio.wait_writable(sock)
                if number := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise OSError(number, os.strerror(number)) from None
        except BaseException:
            sock.close()
            raise
        return cls(sock)

    def quiet(self) -> bool:
        """Still up, and with nothing to read."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    async def receive(self, size: int) -> bytes:
        while True:
            await anyio.wait_readable(self._sock)
            try:
                return self._sock.recv(size)
            except BlockingIOError:
                continue

    async def send(self, data: bytes) -> None:
        """Without a pause as long as the kernel takes it: nothing comes in between a look and the write."""
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[self._sock.send(rest) :]
            except BlockingIOError:
                await anyio.wait_writable(self._sock)

    async def aclose(self) -> None:
        self._sock.close()
