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

OPERATORS_VARIABLE = "MILLFRONT_OPERATOR"


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
        node.apply_config(config.reload(os.environ, node.config))
    except Exception as error:
        log.error("SIGHUP: the configuration stays as it was", why=error)
    node.parts.reload()


def report_unusable(error: BaseException) -> int:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    print(f"millfront: {error}", file=sys.stderr)
    return 2


def run(environment: Mapping[str, str]) -> int:
    """Serve until SIGTERM or SIGINT.

    :returns: the exit code: 0 after a planned end, 2 where a configuration can't be used
    """
    logs.start()
    operators: Operators | None = None
    try:
        if environment.get(OPERATORS_VARIABLE):
            from millfront.operators import document

            operators = document.load(environment[OPERATORS_VARIABLE])
            logs.use_structlog(operators.logs.format, operators.logs.level)
        settings = config.load(environment)
    except config.ConfigError as error:
        return report_unusable(error)
    gc.collect()
    gc.freeze()  # what the imports made stays: walking it again would stop the loop for 4 ms each time
    exit_code = 0
    try:
        anyio.run(serve, settings, operators, backend_options={"use_uvloop": True})
    except* config.ConfigError as group:  # seen only on starting: an address that can't be listened on
        exit_code = report_unusable(group)
    return exit_code
