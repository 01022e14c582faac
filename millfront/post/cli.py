"""The system's commands: roles are subcommands."""

import os
import sys
import tomllib
from pathlib import Path

import click
from result import Err, Ok


@click.group("post")
def group() -> None:
    """millfront as a whole system."""


@group.command()
def office() -> None:
    """Serve as one process of the system; MILLFRONT_CONFIG names the settings file."""
    from millfront.post import service

    sys.exit(service.run(os.environ))


@group.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Read a settings file (TOML) or a configuration (JSON), and say what is wrong with it."""
    from millfront.post import orders, settings

    if file.suffix == ".json":
        match orders.checked(file.read_text()):
            case Err(fault):
                raise SystemExit(_wrong(f"{file}: {fault}"))
            case Ok(made):
                routes = sum(len(found) for found in made.routes.values())
                click.echo(f"version {made.version:08x}: {routes} routes, {len(made.services)} services")
        return
    try:
        document = tomllib.loads(file.read_text())
    except ValueError as wrong:
        raise SystemExit(_wrong(f"{file} is not TOML: {wrong}")) from None
    match settings.read(document):
        case Err(unusable):
            raise SystemExit(_wrong(f"{file}: {unusable}"))
        case Ok(told):
            click.echo(f"{told.name} in {told.zone}: serves {', '.join(told.serves)}")


def _wrong(text: str) -> int:
    click.echo(text, err=True)
    return 2
