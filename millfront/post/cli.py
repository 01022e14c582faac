"""The system's commands: roles are subcommands."""

import os
import sys

import click


@click.group()
def post() -> None:
    """millfront as a whole system."""


@post.command()
def office() -> None:
    """Serve as one process of the system; MILLFRONT_CONFIG names the settings file."""
    from millfront.post import service

    sys.exit(service.run(os.environ))


def main() -> int:
    post()
    return 0
