"""`millfront rehearse`: check and run scenarios (docs/rehearsal.md)."""

import asyncio
from pathlib import Path

import click

from millfront.cli.exits import DIFFERS, UNREACHABLE, UNUSABLE, fail, json_option, show


@click.group()
def group() -> None:
    """Rehearsals: real gatekeepers between simulated peers, with faults injected between them."""


def _load(path: str) -> object:
    from millfront.operators.faults import InvalidDocument
    from millfront.rehearsal import scenario

    try:
        return scenario.load(path)
    except InvalidDocument as error:
        fail(UNUSABLE, *[f"{path}: {fault}" for fault in error.faults])


@group.command()
@click.argument("file", type=click.Path(dir_okay=False))
@json_option
def check(file: str, as_json: bool) -> None:
    """Validate a scenario; exits with 2 and names the invalid fields."""
    from millfront.rehearsal.scenario import Scenario

    scenario = _load(file)
    assert isinstance(scenario, Scenario)
    summary = {"scenario": scenario.name, "gatekeepers": scenario.gatekeepers, "faults": len(scenario.faults)}
    show(
        as_json,
        summary,
        f"{scenario.name}: {scenario.gatekeepers} gatekeepers, {len(scenario.faults)} faults",
    )


@group.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--out", type=click.Path(file_okay=False), required=True, help="Folder for verdict.json and logs."
)
@click.option("--seed", type=int, help="Used instead of the scenario's seed.")
@json_option
def run(file: str, out: str, seed: int | None, as_json: bool) -> None:
    """Run a scenario; exits with 1 if a rule was broken, 4 if a gatekeeper did not start."""
    import msgspec

    from millfront.rehearsal.fleet import StartFailed
    from millfront.rehearsal.play import run_scenario
    from millfront.rehearsal.scenario import Scenario

    scenario = _load(file)
    assert isinstance(scenario, Scenario)
    if seed is not None:
        scenario = msgspec.structs.replace(scenario, seed=seed)
    try:
        verdict = asyncio.run(run_scenario(scenario, Path(out), lambda line: click.echo(line, err=True)))
    except StartFailed as error:
        fail(UNREACHABLE, error)
    broken = [name for name, rule in verdict["rules"].items() if not rule["held"]]
    lines = [
        f"{name}: {'held' if rule['held'] else 'BROKEN'}: {rule['detail']}"
        for name, rule in verdict["rules"].items()
    ]
    lines += [f"{name} = {value}" for name, value in verdict["figures"].items()]
    show(as_json, verdict, "\n".join([f"{scenario.name}: {'passed' if not broken else 'failed'}", *lines]))
    if broken:
        raise SystemExit(DIFFERS)
