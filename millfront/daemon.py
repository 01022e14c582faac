"""One gatekeeper as a process: from its configuration to its planned end."""

import gc
import os
import signal
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING

import anyio

from millfront import logs
from millfront.node import config
from millfront.node.service import Node

if TYPE_CHECKING:
    from millfront.operators.document import Operators

log = logs.Log("millfront")

OPERATORS = "MILLFRONT_OPERATOR"


async def serve(settings: config.Config, operators: "Operators | None") -> None:
    node = Node(settings)
    if operators is not None:
        from millfront.operators import parts

        parts.add_parts(node, operators)
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
        node.retune(config.load_anew(os.environ, node.config))
    except Exception as wrong:
        log.error("SIGHUP: the configuration stays as it was", why=wrong)
    node.parts.reload()


def unusable(wrong: BaseException) -> int:
    while isinstance(wrong, BaseExceptionGroup):
        wrong = wrong.exceptions[0]
    print(f"millfront: {wrong}", file=sys.stderr)
    return 2


def run(environment: Mapping[str, str]) -> int:
    """Serve until SIGTERM or SIGINT.

    :returns: the exit code: 0 after a planned end, 2 where a configuration can't be used
    """
    logs.start()
    operators: Operators | None = None
    try:
        if environment.get(OPERATORS):
            from millfront.operators import document

            operators = document.load(environment[OPERATORS])
            logs.structured(operators.logs.format, operators.logs.level)
        settings = config.load(environment)
    except config.ConfigError as wrong:
        return unusable(wrong)
    gc.collect()
    gc.freeze()  # what the imports made stays: walking it again would stop the loop for 4 ms each time
    ended = 0
    try:
        anyio.run(serve, settings, operators, backend_options={"use_uvloop": True})
    except* config.ConfigError as group:  # seen only on starting: an address that can't be listened on
        ended = unusable(group)
    return ended
