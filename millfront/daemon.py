"""One gatekeeper process: reads its configuration, handles signals, serves until it is stopped."""

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
    """Reads and checks the whole file before it changes anything: an invalid file must not harm a running
    gatekeeper."""
    try:
        node.apply_config(config.reload(os.environ, node.config))
    except Exception as error:
        log.error("SIGHUP: configuration unchanged", why=error)
    node.parts.reload()


def report_unusable(error: BaseException) -> int:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    print(f"millfront: {error}", file=sys.stderr)
    return 2


def run(environment: Mapping[str, str]) -> int:
    """Serve until SIGTERM or SIGINT.

    :returns: the exit code: 0 after a planned stop, 2 if the configuration is invalid
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
    gc.freeze()  # objects of the imports: each later walk over them would stop the event loop for 4 ms
    exit_code = 0
    try:
        anyio.run(serve, settings, operators, backend_options={"use_uvloop": True})
    except* config.ConfigError as group:  # only at start: can't listen at an address
        exit_code = report_unusable(group)
    return exit_code
