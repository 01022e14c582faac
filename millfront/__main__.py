"""The run command: one gatekeeper, configured by NODE_*, until SIGTERM or SIGINT."""

import gc
import logging
import os
import signal
import sys

import anyio

from millfront.node import config
from millfront.node.service import Node


async def serve(settings: config.Config) -> None:
    node = Node(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_signals, node)
        await node.run()
        tasks.cancel_scope.cancel()


async def watch_signals(node: Node) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            node.stop()


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s")
    try:
        settings = config.load(os.environ)
    except config.ConfigError as wrong:
        print(f"millfront: {wrong}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()  # what the imports made stays: walking it again would stop the loop for 4 ms each time
    anyio.run(serve, settings, backend_options={"use_uvloop": True})
    return 0


if __name__ == "__main__":
    sys.exit(main())
