"""Exit codes, the same for every command (docs/cli.md), and helpers for output."""

import json
import sys
from typing import Any, NoReturn

import click

DONE = 0
DIFFERS = 1  # the command ran, but what it examined is not as expected
UNUSABLE = 2  # an argument, a file or a document is invalid
CONFLICT = 3  # another client changed the document meanwhile
UNREACHABLE = 4  # a gatekeeper, a receiver or a disk failed or did not answer


def fail(code: int, *lines: object) -> NoReturn:
    """Print each line on standard error and exit with `code`."""
    for line in lines:
        click.echo(f"millfront: {line}", err=True)
    sys.exit(code)


def show(as_json: bool, value: Any, text: str) -> None:
    """Print the value as JSON for programs, or the text for people."""
    click.echo(json.dumps(value, default=str) if as_json else text)


json_option = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")
