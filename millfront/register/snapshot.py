"""Snapshots of the register: a document with all that operators have put, checked by its hash. No I/O."""

import hashlib
import json
from typing import Any

from result import Err, Ok, Result

from millfront.control import configuration
from millfront.register.values import CONFIG, CORE, INCARNATION_PREFIX, Value, is_internal

FORMAT = 1


class SnapshotError(Exception):
    """A file that is no snapshot of a register; the text says why."""


def dump(values: dict[str, Value]) -> str:
    """A document with all that operators have put; who keeps it and lives of disks are the core's own."""
    kept = {key: value.to_wire() for key, value in sorted(values.items()) if not _is_core_internal(key)}
    return json.dumps({"format": FORMAT, "hash": _hash(kept), "values": kept}, indent=1)


def load(text: str) -> Result[dict[str, Value], SnapshotError]:
    """What a snapshot holds, checked: its hash, and that its configuration can be in force.

    >>> load(dump({"evacuation/z": Value(3, "n", "1")})).unwrap()["evacuation/z"].version
    3
    >>> str(load(dump({}).replace('{}', '{"a": [1, "", ""]}')).unwrap_err())
    'its hash is not that of its values'
    """
    try:
        told = json.loads(text)
        if told["format"] != FORMAT:
            return Err(SnapshotError(f"format {told['format']!r} is not {FORMAT}"))
        if told["hash"] != _hash(told["values"]):
            return Err(SnapshotError("its hash is not that of its values"))
        values = {
            str(key): Value.from_wire(wire)
            for key, wire in told["values"].items()
            if not _is_core_internal(key)
        }
    except (ValueError, KeyError, TypeError, AttributeError) as wrong:
        return Err(SnapshotError(f"is no snapshot: {wrong!r}"))
    if CONFIG in values:
        match configuration.checked(values[CONFIG].data):
            case Err(fault):
                return Err(SnapshotError(f"its configuration: {fault}"))
            case Ok(made):
                if made.version != values[CONFIG].version:
                    return Err(SnapshotError("its configuration is of another version than its value"))
    return Ok(values)


def _is_core_internal(key: str) -> bool:
    return key == CORE or key.startswith(INCARNATION_PREFIX) or is_internal(key)


def _hash(values: Any) -> str:
    return hashlib.blake2b(json.dumps(values, sort_keys=True).encode(), digest_size=16).hexdigest()
