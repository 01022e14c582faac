"""Starts a role with less memory, which is paid for on every machine.

The system's processes speak no TLS and hash with BLAKE2 alone, which is built in. Without `ssl` and OpenSSL's
hashes, which asyncio and hashlib take where they are there and do without where not, a process holds some 5
MB less. The first thing is to be deaf to SIGHUP, which would end a process that does not listen for it yet.
"""

import signal
import sys
from collections.abc import Mapping
from typing import Any

OMITTED_MODULES = ("ssl", "_hashlib")
PORT_LIMIT = 65536
EXIT_USAGE = 2  # exit code


def run(environment: Mapping[str, str], options: list[str]) -> int:
    """The role `gatekeeper`; returns the exit code.

    :param options: of the command line: ``--metrics-port PORT``, or none
    """
    match options:
        case []:
            metrics_port = 0
        case ["--metrics-port", port] if port.isdecimal() and int(port) < PORT_LIMIT:
            metrics_port = int(port)
        case _:
            print(f"millfront gatekeeper: can't use {' '.join(options)}", file=sys.stderr)
            return EXIT_USAGE
    # Until the loop takes it, a SIGHUP would end the process; the settings are read after this anyway
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    modules: dict[str, Any] = sys.modules
    for name in OMITTED_MODULES:
        modules.setdefault(name, None)
    from millfront.gatekeeper import process

    return process.run(environment, metrics_port)
