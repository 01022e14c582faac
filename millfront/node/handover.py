"""State transfer from one process of a gatekeeper to its successor: one request and one answer over a Unix
socket in $TMPDIR.

The connection stays open while both processes run; its end tells each that the other has ended. Without the
folder, or without Unix sockets, a successor starts as after a restart.
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
TIMEOUT_S = 1.5  # for the whole answer: a start without state is better than a late one
MAX_PATH_BYTES = 100  # limit of the system for a Unix socket's path


class Handover:
    """Both ends: a successor becomes a predecessor once it is the only process."""

    def __init__(
        self,
        folder: str,
        name: str,
        dump_state: Callable[[], bytes],
        on_peer_exit: Callable[[], None],
    ) -> None:
        """:param dump_state: halves what this process holds, and serialises the other half
        :param on_peer_exit: called when the other process has ended
        """
        safe_name = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:40]
        self.path = Path(folder) / f"millfront-{safe_name}.sock"
        self.dump_state = dump_state
        self.on_peer_exit = on_peer_exit
        self._predecessor: SocketStream | None = None
        self._scope = anyio.CancelScope()

    def stop(self) -> None:
        """Ends the handover: this process stops, the other one remains alone."""
        self._scope.cancel()

    async def fetch_state(self) -> bytes | None:
        """A predecessor's state; None if there is no predecessor that answers."""
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
            log.info("no answer from a predecessor", why=repr(error))
            return None
        self._predecessor = stream
        return text

    async def run(self) -> None:
        """Until stop(): waits for the predecessor's end, then serves successors, one at a time."""
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
            log.info("can't listen for successors", why=error.strerror)
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
                return  # another protocol version: it starts as after a restart
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
            raise TimeoutError(f"line of more than {MAX_STATE_BYTES} bytes")
    return bytes(data[:-1])


async def _wait_closed(stream: SocketStream) -> None:
    with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
        while True:
            await stream.receive()
    await anyio.aclose_forcefully(stream)
