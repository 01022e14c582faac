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

REQUEST_LINE = b"millfront 1\n"
MAX_STATE_BYTES = 16 * 1024 * 1024
TIMEOUT_S = 1.5  # for the whole answer: a plain start is better than a late one
MAX_PATH_BYTES = 100  # bytes that the system takes as such a socket's name


class Handover:
    """One end or the other, and both in turn: a successor becomes a predecessor when it is alone."""

    def __init__(
        self,
        folder: str,
        name: str,
        dump_state: Callable[[], bytes],
        on_peer_exit: Callable[[], None],
    ) -> None:
        """:param tell: divides what this process holds, and words the other half
        :param alone: told when the other process has ended
        """
        safe_name = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:40]
        self.path = Path(folder) / f"millfront-{safe_name}.sock"
        self.dump_state = dump_state
        self.on_peer_exit = on_peer_exit
        self._predecessor: SocketStream | None = None
        self._scope = anyio.CancelScope()

    def stop(self) -> None:
        """This process takes no more: the other one is alone from now on."""
        self._scope.cancel()

    async def fetch_state(self) -> bytes | None:
        """What a predecessor tells; None: there is none that can be understood."""
        if len(str(self.path).encode()) > MAX_PATH_BYTES or not self.path.exists():
            return None
        try:
            with anyio.fail_after(TIMEOUT_S):
                stream = await anyio.connect_unix(self.path)
                try:
                    await stream.send(REQUEST_LINE)
                    text = await _read_line(stream)
                except BaseException:
                    await anyio.aclose_forcefully(stream)
                    raise
        except (OSError, TimeoutError, anyio.BrokenResourceError, anyio.EndOfStream) as error:
            log.info("no predecessor answers", why=repr(error))
            return None
        self._predecessor = stream
        return text

    async def run(self) -> None:
        """Until left: wait for the predecessor's end, then for successors, one at a time."""
        with self._scope:
            await self._run()

    async def _run(self) -> None:
        if (predecessor := self._predecessor) is not None:
            await _wait_closed(predecessor)
            self._predecessor = None
            log.info("the predecessor has ended")
            self.on_peer_exit()
        if len(str(self.path).encode()) > MAX_PATH_BYTES:
            return
        try:
            self.path.unlink(missing_ok=True)
            listener = await anyio.create_unix_listener(self.path, mode=0o600, backlog=1)
        except OSError as error:
            log.info("no successor can be told anything", why=error.strerror)
            return
        async with listener:
            while True:
                stream = await listener.accept()
                with suppress(OSError, TimeoutError, anyio.BrokenResourceError, anyio.EndOfStream):
                    await self._hand_over(stream)
                await anyio.aclose_forcefully(stream)

    async def _hand_over(self, stream: SocketStream) -> None:
        with anyio.fail_after(TIMEOUT_S):
            if await _read_line(stream) != REQUEST_LINE.strip():
                return  # another version: it starts as after a restart
        log.info("a successor has come up")
        try:
            with anyio.fail_after(TIMEOUT_S):
                await stream.send(self.dump_state() + b"\n")
            await _wait_closed(stream)
        finally:
            log.info("the successor has ended")
            self.on_peer_exit()


async def _read_line(stream: SocketStream) -> bytes:
    data = bytearray()
    while not data.endswith(b"\n"):
        data += await stream.receive()
        if len(data) > MAX_STATE_BYTES:
            raise TimeoutError("too long")
    return bytes(data[:-1])


async def _wait_closed(stream: SocketStream) -> None:
    with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
        while True:
            await stream.receive()
    await anyio.aclose_forcefully(stream)
