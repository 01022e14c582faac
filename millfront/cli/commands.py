"""The `millfront` command line. Each command imports what it needs when it runs."""

import importlib
import importlib.metadata
import os
import sys
from pathlib import Path
from typing import Any, ClassVar

import click

from millfront.cli.exits import UNUSABLE, fail, json_option, show


class LazyGroup(click.Group):
    """Imports the modules of its subcommands only when they are used."""

    GROUPS: ClassVar[dict[str, str]] = {
        "plans": "millfront.cli.plans",
        "control": "millfront.cli.gatekeeper",
        "rehearse": "millfront.cli.rehearse",
        "usage": "millfront.cli.usage",
    }
    ROLES: ClassVar[dict[str, str]] = {"gatekeeper": "millfront.cli.gatekeeper"}  # of the whole system

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *self.GROUPS, *self.ROLES])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name in self.GROUPS:
            module = importlib.import_module(self.GROUPS[cmd_name])
            loaded_group: click.Command = module.group
            return loaded_group
        if cmd_name in self.ROLES:
            role: click.Command = getattr(importlib.import_module(self.ROLES[cmd_name]), cmd_name)
            return role
        return super().get_command(ctx, cmd_name)


def _version() -> str:
    try:
        return importlib.metadata.version("millfront")
    except importlib.metadata.PackageNotFoundError:  # run from a checkout
        from millfront import VERSION

        return VERSION


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="millfront")
def group() -> None:
    """A gateway that enforces quotas. Without a command it serves, configured by NODE_* alone."""


@group.command()
@click.option("--operator", type=click.Path(dir_okay=False), help="The operators' file (MILLFRONT_OPERATOR).")
@click.option("--config", type=click.Path(dir_okay=False), help="The configuration (NODE_CONFIG).")
def run(operator: str | None, config: str | None) -> None:
    """Serve until SIGTERM or SIGINT."""
    from millfront import daemon

    if operator is not None:
        os.environ[daemon.OPERATORS_VARIABLE] = operator
    if config is not None:
        os.environ["NODE_CONFIG"] = config
    sys.exit(daemon.run(os.environ))


@group.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(dir_okay=False))
@click.option(
    "--kind",
    type=click.Choice(["operators", "plans", "config", "settings", "configuration"]),
    help="Kind of all FILES; detected by default.",
)
@json_option
def check(files: tuple[str, ...], kind: str | None, as_json: bool) -> None:
    """Validate FILES: operators' files, plan books, configurations of a gatekeeper; of the whole system,
    settings (.toml) and configurations. Exits with 2 on any fault."""
    from millfront.cli import documents

    results: list[dict[str, Any]] = []
    for file in files:
        kind_of, faults = documents.check(Path(file), kind)
        results.append({"file": file, "kind": kind_of, "faults": [str(f) for f in faults]})
        if not as_json:
            for fault in faults:
                click.echo(f"{file}: {fault}", err=True)
            if not faults:
                click.echo(f"{file}: sound ({kind_of})")
    has_faults = any(entry["faults"] for entry in results)
    if as_json:
        show(True, {"sound": not has_faults, "files": results}, "")
    sys.exit(UNUSABLE if has_faults else 0)


@group.command()
def version() -> None:
    """Print the version."""
    click.echo(f"millfront {_version()}")


@group.command()
@click.argument("name", type=click.Choice(["operators", "plans"]))
def schema(name: str) -> None:
    """Print the published JSON schema of a document."""
    from millfront.cli import documents

    click.echo(documents.schema(name), nl=False)


@group.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for SHELL."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(group, {}, "millfront", "_MILLFRONT_COMPLETE").source())


@group.command()
@click.option("--admin", required=True, envvar="MILLFRONT_ADMIN", help="unix:/PATH or HOST:PORT.")
@json_option
def status(admin: str, as_json: bool) -> None:
    """Show the status of a running gatekeeper."""
    from millfront.cli import caller

    response = caller.call(admin, "GET", "/v1/status")
    report = response.json()
    lines = []
    for name, value in report.items():
        if isinstance(value, dict):
            lines += [f"{name}.{inner}: {inner_value}" for inner, inner_value in value.items()]
        else:
            lines.append(f"{name}: {value}")
    show(as_json, report, "\n".join(lines))


def main() -> int:
    try:
        result = group.main(prog_name="millfront", standalone_mode=False)
        return result if isinstance(result, int) else 0
    except click.ClickException as error:
        error.show()
        return UNUSABLE
    except click.Abort:
        return 130
    except BrokenPipeError:
        return 0
    except OSError as error:
        fail(UNUSABLE, f"{error.filename or ''}: {error.strerror}")
