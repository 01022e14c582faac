"""Finds every fault of a JSON document, with its path; msgspec's decoder stops at the first one.

Paths are written as `$.usage.export.receiver`, `$.assignments[3].plan`.
"""

import difflib
import types
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec


@dataclass(frozen=True, slots=True)
class Fault:
    path: str
    why: str

    def __str__(self) -> str:
        return f"{self.path}: {self.why}"


class InvalidDocument(Exception):
    """A document with faults; the text lists all of them."""

    def __init__(self, what: str, faults: list[Fault]) -> None:
        super().__init__("; ".join([f"{what}: {fault}" for fault in faults]))
        self.faults = faults


def find_faults(kind: Any, value: object, path: str = "$") -> list[Fault]:
    """Faults that keep a decoded JSON value from being of a type; an empty list means that it is valid.

    :param kind: a msgspec Struct, or any type allowed as a field of one
    """
    return list(_walk(kind, value, path))


def _walk(kind: Any, value: object, path: str) -> Iterator[Fault]:
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Annotated:
        deep, arguments = arguments[0], typing.get_args(arguments[0])
        origin = typing.get_origin(deep)
    if origin in (types.UnionType, typing.Union):
        structs = [a for a in arguments if isinstance(a, type) and issubclass(a, msgspec.Struct)]
        if len(structs) == 1 and isinstance(value, dict):
            yield from _walk(structs[0], value, path)
            return
    elif isinstance(kind, type) and issubclass(kind, msgspec.Struct) and isinstance(value, dict):
        yield from _walk_struct(kind, value, path)
        return
    elif origin in (list, tuple) and isinstance(value, list):
        for position, item in enumerate(value):
            yield from _walk(arguments[0], item, f"{path}[{position}]")
        return
    elif origin is dict and isinstance(value, dict):
        for name, item in value.items():
            yield from _check_value(arguments[0], name, f"{path}.{name}")
            yield from _walk(arguments[1], item, f"{path}.{name}")
        return
    yield from _check_value(kind, value, path)


def _walk_struct(kind: type[msgspec.Struct], value: dict[str, Any], path: str) -> Iterator[Fault]:
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    found = False
    for name in value:
        if name not in fields:
            found = True
            near = difflib.get_close_matches(name, fields, 1)
            yield Fault(f"{path}.{name}", "no such field" + (f"; did you mean {near[0]!r}?" if near else ""))
    for name, field in fields.items():
        if name in value:
            for fault in _walk(field.type, value[name], f"{path}.{name}"):
                found = True
                yield fault
        elif field.required:
            found = True
            yield Fault(f"{path}.{name}", "is missing")
    if not found:  # __post_init__ checks need fields that are valid by themselves
        yield from _check_value(kind, value, path)


def _check_value(kind: Any, value: object, path: str) -> Iterator[Fault]:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        yield Fault(path, str(error).partition(" - at ")[0])
