"""`millfront rehearse`: scenarios checked and played (docs/rehearsal.md)."""

import asyncio
from pathlib import Path

import click

from millfront.cli.exits import DIFFERS, UNREACHABLE, UNUSABLE, fail, json_option, show


@click.group()
def group() -> None:
    """Rehearsals: real gatekeepers between stand-in peers, with faults between them."""


def _load(path: str) -> object:
    from millfront.operators.faults import InvalidDocument
    from millfront.rehearsal import scenario

    try:
        return scenario.load(path)
    except InvalidDocument as wrong:
        fail(UNUSABLE, *[f"{path}: {fault}" for fault in wrong.faults])


@group.command()
@click.argument("file", type=click.Path(dir_okay=False))
@json_option
def check(file: str, as_json: bool) -> None:
    """Check a scenario whole; exit 2 and the field named where it is wrong."""
    from millfront.rehearsal.scenario import Scenario

    told = _load(file)
    assert isinstance(told, Scenario)
    what = {"scenario": told.name, "gatekeepers": told.gatekeepers, "faults": len(told.faults)}
    show(as_json, what, f"{told.name}: {told.gatekeepers} gatekeepers, {len(told.faults)} faults")


@group.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--out", type=click.Path(file_okay=False), required=True, help="Where verdict.json and logs go."
)
@click.option("--seed", type=int, help="Instead of the scenario's own.")
@json_option
def run(file: str, out: str, seed: int | None, as_json: bool) -> None:
    """Play a scenario; exit 1 when a rule broke, 4 when a gatekeeper did not start."""
    import msgspec

    from millfront.rehearsal.fleet import StartFailed
    from millfront.rehearsal.play import run_scenario
    from millfront.rehearsal.scenario import Scenario

    told = _load(file)
    assert isinstance(told, Scenario)
    if seed is not None:
        told = msgspec.structs.replace(told, seed=seed)
    try:
        verdict = asyncio.run(run_scenario(told, Path(out), lambda line: click.echo(line, err=True)))
    except StartFailed as wrong:
        fail(UNREACHABLE, wrong)
    broken = [name for name, rule in verdict["rules"].items() if not rule["held"]]
    lines = [
        f"{name}: {'held' if rule['held'] else 'BROKEN'}: {rule['detail']}"
        for name, rule in verdict["rules"].items()
    ]
    lines += [f"{name} = {value}" for name, value in verdict["figures"].items()]
    show(as_json, verdict, "\n".join([f"{told.name}: {'passed' if not broken else 'failed'}", *lines]))
    if broken:
        raise SystemExit(DIFFERS)
