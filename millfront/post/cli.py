"""The system's commands: roles are subcommands."""

import os
import sys

import click


@click.group("post")
def group() -> None:
    """millfront as a whole system."""


@click.command()
def office() -> None:
    """Serve as one process of the whole system; MILLFRONT_CONFIG names its settings file."""
    from millfront.post import service

    sys.exit(service.run(os.environ))


group.add_command(office)
