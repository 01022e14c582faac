"""Starts the gatekeeper with less memory, which counts on every machine.

The system's processes use no TLS and hash with the built-in BLAKE2 only. Without `ssl` and OpenSSL's hashes,
which asyncio and hashlib use only if they are available, a process takes about 5 MB less. SIGHUP is ignored
first: before its handler is installed it would end the process.
"""

import signal
import sys
from collections.abc import Mapping
from typing import Any

OMITTED_MODULES = ("ssl", "_hashlib")
PORT_LIMIT = 65536
EXIT_USAGE = 2  # invalid options on the command line


def run(environment: Mapping[str, str], options: list[str]) -> int:
    """Run the role `gatekeeper`; returns the exit code.

    :param options: command-line options: ``--metrics-port PORT``, or none
    """
    match options:
        case []:
            metrics_port = 0
        case ["--metrics-port", port] if port.isdecimal() and int(port) < PORT_LIMIT:
            metrics_port = int(port)
        case _:
            print(
                f"millfront gatekeeper: expected [--metrics-port PORT], got {' '.join(options)}",
                file=sys.stderr,
            )
            return EXIT_USAGE
    # Until the loop handles SIGHUP it would end the process; the settings are read after this anyway
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    modules: dict[str, Any] = sys.modules
    for name in OMITTED_MODULES:
        modules.setdefault(name, None)
    from millfront.gatekeeper import process

    return process.run(environment, metrics_port)
