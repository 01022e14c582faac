"""Exit codes, the same for every command (docs/cli.md), and how a command says what it found."""

import json
import sys
from typing import Any, NoReturn

import click

DONE = 0
DIFFERS = 1  # the command did its work, and what it looked at is not as it should be
UNUSABLE = 2  # an argument, a file or a document can't be used
CONFLICT = 3  # somebody else changed it meanwhile
UNREACHABLE = 4  # a gatekeeper, a receiver or a disk did not do its part


def fail(code: int, *lines: object) -> NoReturn:
    """Each line on standard error; ends the command."""
    for line in lines:
        click.echo(f"millfront: {line}", err=True)
    sys.exit(code)


def show(as_json: bool, value: Any, text: str) -> None:
    """For programs one JSON object, for people a text."""
    click.echo(json.dumps(value, default=str) if as_json else text)


json_option = click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")
