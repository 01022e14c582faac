"""Our documents by their kind: checked, and their schemas."""

import json
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from millfront.node import config
from millfront.operators import document
from millfront.operators.faults import Fault, InvalidDocument
from millfront.plans import book as books


def check(path: Path, kind: str | None) -> tuple[str, list[Fault]]:
    """The kind of a file, told by its fields where it is not given, and its faults."""
    try:
        text = path.read_bytes()
    except OSError as wrong:
        return kind or "unknown", [Fault("$", f"can't be read: {wrong.strerror}")]
    if kind == "settings" or (kind is None and path.suffix == ".toml"):
        return "settings", _system(text, "settings")
    try:
        held = json.loads(text)
    except ValueError as wrong:
        return kind or "unknown", [Fault("$", f"is not JSON: {wrong}")]
    if not isinstance(held, dict):
        return kind or "unknown", [Fault("$", "is not an object")]
    kind = kind or kind_of(held)
    if kind == "configuration":
        return kind, _system(text, kind)
    try:
        if kind == "operators":
            document.parse(text)
        elif kind == "plans":
            book = books.decode(text)
            # without the settings and the operators' file: what the book says by itself
            named = {entry.plan for entry in book.assignments}
            return kind, books.check(book, named, float("inf"))
        else:
            config.from_json(held)
    except InvalidDocument as wrong:
        return kind, wrong.faults
    except config.ConfigError as wrong:
        path_in, _, why = str(wrong).partition(": ")
        return kind, [Fault(f"$.{path_in}", why)]
    return kind, []


def _system(text: bytes, kind: str) -> list[Fault]:
    """Of the whole system's documents the first fault is named."""
    from result import Err

    from millfront import environment
    from millfront.control import configuration

    try:
        if kind == "configuration":
            read: Any = configuration.checked(text.decode())
        else:
            read = environment.read(tomllib.loads(text.decode()))
    except ValueError as wrong:
        return [Fault("$", f"is not TOML: {wrong}")]
    return [Fault("$", str(read.err_value))] if isinstance(read, Err) else []


def kind_of(held: dict[str, Any]) -> str:
    if "resources" in held:
        return "configuration"
    if "settings" in held or "discovery" in held:
        return "config"
    return "plans" if "version" in held or "assignments" in held else "operators"


def schema(name: str) -> str:
    """The published JSON schema (2020-12)."""
    kind = document.Operators if name == "operators" else books.Book
    made = msgspec.json.schema(kind)
    head = {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": f"millfront {name}"}
    return json.dumps(head | made, indent=1, sort_keys=True) + "\n"
