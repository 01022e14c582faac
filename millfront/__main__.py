"""The run command: one gatekeeper, configured by NODE_*, until SIGTERM or SIGINT."""

import gc
import logging
import os
import signal
import sys

import anyio

from millfront.node import config
from millfront.node.service import Node

log = logging.getLogger("millfront")


class Seldom(logging.Filter):
    """One warning of a kind a second: guards the log against a line a request while a peer misbehaves."""

    EVERY_S = 1.0

    def __init__(self) -> None:
        super().__init__()
        self._last: dict[tuple[str, str], float] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        kind = (record.name, str(record.msg))
        if record.levelno < logging.WARNING or record.created - self._last.get(kind, 0.0) >= self.EVERY_S:
            self._last[kind] = record.created
            return True
        return False


async def serve(settings: config.Config) -> None:
    node = Node(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals, node)
        await node.run()
        tasks.cancel_scope.cancel()


async def watch_signals(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                reload(node)
            else:
                node.stop()


def reload(node: Node) -> None:
    """Read whole before anything moves: guards a gatekeeper that serves against a file that can't be used."""
    try:
        told = config.load_anew(os.environ)
        node.move(told.discovery, told.counter)
    except Exception as wrong:
        log.error("SIGHUP: the configuration stays as it was: %s", wrong)


def unusable(wrong: BaseException) -> int:
    while isinstance(wrong, BaseExceptionGroup):
        wrong = wrong.exceptions[0]
    print(f"millfront: {wrong}", file=sys.stderr)
    return 2


def main() -> int:
    handler = logging.StreamHandler()
    handler.addFilter(Seldom())
    form = "%(asctime)s %(levelname)s %(name)s: %(message)s"
    logging.basicConfig(level=logging.INFO, format=form, handlers=[handler])
    try:
        settings = config.load(os.environ)
    except config.ConfigError as wrong:
        return unusable(wrong)
    gc.collect()
    gc.freeze()  # what the imports made stays: walking it again would stop the loop for 4 ms each time
    ended = 0
    try:
        anyio.run(serve, settings, backend_options={"use_uvloop": True})
    except* config.ConfigError as group:  # seen only on starting: an address that can't be listened on
        ended = unusable(group)
    return ended


if __name__ == "__main__":
    sys.exit(main())
