"""Starts a role with less memory, which is paid for on every machine.

The system's processes speak no TLS and hash with BLAKE2 alone, which is built in. Without `ssl` and OpenSSL's
hashes, which asyncio and hashlib take where they are there and do without where not, a process holds some 5
MB less.
"""

import sys
from collections.abc import Mapping
from typing import Any

SPARED = ("ssl", "_hashlib")


def run(environment: Mapping[str, str]) -> int:
    """The role `gatekeeper`; returns the exit code."""
    modules: dict[str, Any] = sys.modules
    for name in SPARED:
        modules.setdefault(name, None)
    from millfront.gatekeeper import process

    return process.run(environment)
