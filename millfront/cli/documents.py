"""Validation of the documents that operators write, and their published schemas."""

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
    """The kind of a file, detected from its fields unless given, and its faults."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return kind or "unknown", [Fault("$", f"can't be read: {error.strerror}")]
    if kind == "settings" or (kind is None and path.suffix == ".toml"):
        return "settings", _check_system_document(text, "settings")
    try:
        parsed = json.loads(text)
    except ValueError as error:
        return kind or "unknown", [Fault("$", f"is not JSON: {error}")]
    if not isinstance(parsed, dict):
        return kind or "unknown", [Fault("$", "is not an object")]
    kind = kind or kind_of(parsed)
    if kind == "configuration":
        return kind, _check_system_document(text, kind)
    try:
        if kind == "operators":
            document.parse(text)
        elif kind == "plans":
            book = books.decode(text)
            # settings and operators' file are not at hand: check the book by itself
            plan_names = {entry.plan for entry in book.assignments}
            return kind, books.check(book, plan_names, float("inf"))
        else:
            config.from_json(parsed)
    except InvalidDocument as error:
        return kind, error.faults
    except config.ConfigError as error:
        field_path, _, reason = str(error).partition(": ")
        return kind, [Fault(f"$.{field_path}", reason)]
    return kind, []


def _check_system_document(text: bytes, kind: str) -> list[Fault]:
    """Check a document of the whole system; reports only the first fault."""
    from result import Err

    from millfront import environment
    from millfront.control import configuration

    try:
        if kind == "configuration":
            outcome: Any = configuration.checked(text.decode())
        else:
            outcome = environment.read(tomllib.loads(text.decode()))
    except ValueError as error:
        return [Fault("$", f"is not TOML: {error}")]
    return [Fault("$", str(outcome.err_value))] if isinstance(outcome, Err) else []


def kind_of(parsed: dict[str, Any]) -> str:
    if "resources" in parsed:
        return "configuration"
    if "settings" in parsed or "discovery" in parsed:
        return "config"
    return "plans" if "version" in parsed or "assignments" in parsed else "operators"


def schema(name: str) -> str:
    """The published JSON schema (2020-12)."""
    kind = document.Operators if name == "operators" else books.Book
    definition = msgspec.json.schema(kind)
    head = {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": f"millfront {name}"}
    return json.dumps(head | definition, indent=1, sort_keys=True) + "\n"
