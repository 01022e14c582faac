"""Snapshots of the register: a JSON document of the values that operators have stored, and a hash. No I/O."""

import hashlib
import json
from typing import Any

from result import Err, Ok, Result

from millfront.control import configuration
from millfront.register.values import CONFIG, CORE, INCARNATION_PREFIX, Value, is_internal

FORMAT = 1


class SnapshotError(Exception):
    """A file that is not a valid snapshot of a register; the text says why."""


def dump(values: dict[str, Value]) -> str:
    """A document of all values that operators have stored, without the core's own: its members, disk
    incarnations, claims and ballots."""
    stored = {key: value.to_wire() for key, value in sorted(values.items()) if not _is_core_internal(key)}
    return json.dumps({"format": FORMAT, "hash": _hash(stored), "values": stored}, indent=1)


def load(text: str) -> Result[dict[str, Value], SnapshotError]:
    """The values of a snapshot, after a check of its hash and of its configuration.

    >>> load(dump({"evacuation/z": Value(3, "n", "1")})).unwrap()["evacuation/z"].version
    3
    >>> str(load(dump({}).replace('{}', '{"a": [1, "", ""]}')).unwrap_err())
    'hash does not match the values'
    """
    try:
        document = json.loads(text)
        if document["format"] != FORMAT:
            return Err(SnapshotError(f"format: got {document['format']!r}, expected {FORMAT}"))
        if document["hash"] != _hash(document["values"]):
            return Err(SnapshotError("hash does not match the values"))
        values = {
            str(key): Value.from_wire(wire)
            for key, wire in document["values"].items()
            if not _is_core_internal(key)
        }
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(SnapshotError(f"not a snapshot document: {error!r}"))
    if CONFIG in values:
        match configuration.checked(values[CONFIG].data):
            case Err(fault):
                return Err(SnapshotError(f"configuration: {fault}"))
            case Ok(made):
                if made.version != values[CONFIG].version:
                    return Err(
                        SnapshotError(
                            f"configuration: its version is {made.version}, but its value has version "
                            f"{values[CONFIG].version}"
                        )
                    )
    return Ok(values)


def _is_core_internal(key: str) -> bool:
    return key == CORE or key.startswith(INCARNATION_PREFIX) or is_internal(key)


def _hash(values: Any) -> str:
    return hashlib.blake2b(json.dumps(values, sort_keys=True).encode(), digest_size=16).hexdigest()
