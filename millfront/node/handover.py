"""From one process of a gatekeeper to its successor: a Unix socket in $TMPDIR, one question, one answer.

The connection stays up as long as both processes run: its end tells either of them that the other has ended.
Where there is no such folder, or no Unix sockets, a successor starts as after a restart.
"""

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import anyio
from anyio.abc import SocketStream

from millfront.logs import Log

log = Log(__name__)

ASK = b"millfront 1\n"
MOST_TOLD = 16 * 1024 * 1024
WAIT_S = 1.5  # for the whole answer: a plain start is better than a late one
MOST_PATH = 100  # bytes that the system takes as such a socket's name


class Handover:
    """One end or the other, and both in turn: a successor becomes a predecessor when it is alone."""

    def __init__(
        self,
        folder: str,
        name: str,
        tell: Callable[[], bytes],
        alone: Callable[[], None],
    ) -> None:
        """:param tell: divides what this process holds, and words the other half
        :param alone: told when the other process has ended
        """
        plain = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:40]
        self.path = Path(folder) / f"millfront-{plain}.sock"
        self.tell = tell
        self.alone = alone
        self._before: SocketStream | None = None
        self._running = anyio.CancelScope()

    def leave(self) -> None:
        """This process takes no more: the other one is alone from now on."""
        self._running.cancel()

    async def ask(self) -> bytes | None:
        """What a predecessor tells; None: there is none that can be understood."""
        if len(str(self.path).encode()) > MOST_PATH or not self.path.exists():
            return None
        try:
            with anyio.fail_after(WAIT_S):
                stream = await anyio.connect_unix(self.path)
                try:
                    await stream.send(ASK)
                    text = await _line(stream)
                except BaseException:
                    await anyio.aclose_forcefully(stream)
                    raise
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.EndOfStream) as wrong:
            log.info("no predecessor answers", why=repr(wrong))
            return None
        self._before = stream
        return text

    async def run(self) -> None:
        """Until left: wait for the predecessor's end, then for successors, one at a time."""
        with self._running:
            await self._run()

    async def _run(self) -> None:
        if (before := self._before) is not None:
            await _its_end(before)
            self._before = None
            log.info("the predecessor has ended")
            self.alone()
        if len(str(self.path).encode()) > MOST_PATH:
            return
        try:
            self.path.unlink(missing_ok=True)
            listener = await anyio.create_unix_listener(self.path, mode=0o600, backlog=1)
        except OSError as wrong:
            log.info("no successor can be told anything", why=wrong.strerror)
            return
        async with listener:
            while True:
                stream = await listener.accept()
                with suppress(OSError, TimeoutError, anyio.BrokenResourceError, anyio.EndOfStream):
                    await self._hand_over(stream)
                await anyio.aclose_forcefully(stream)

    async def _hand_over(self, stream: SocketStream) -> None:
        with anyio.fail_after(WAIT_S):
            if await _line(stream) != ASK.strip():
                return  # another version: it starts as after a restart
        log.info("a successor has come up")
        try:
            with anyio.fail_after(WAIT_S):
                await stream.send(self.tell() + b"\n")
            await _its_end(stream)
        finally:
            log.info("the successor has ended")
            self.alone()


async def _line(stream: SocketStream) -> bytes:
    data = bytearray()
    while not data.endswith(b"\n"):
        data += await stream.receive()
        if len(data) > MOST_TOLD:
            raise TimeoutError("too long")
    return bytes(data[:-1])


async def _its_end(stream: SocketStream) -> None:
    with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
        while True:
            await stream.receive()
    await anyio.aclose_forcefully(stream)
