"""Commands of the whole system: running one of its gatekeepers, and querying a running one."""

import json
import os
import sys
from pathlib import Path
from typing import Any

import click

from millfront.cli import caller
from millfront.cli.exits import DIFFERS, UNREACHABLE, UNUSABLE, fail, json_option, show

at_option = click.option(
    "--at",
    "address",
    required=True,
    envvar="MILLFRONT_CTL",
    help="HOST:PORT of a gatekeeper's control API.",
)


@click.group("control")
def group() -> None:
    """Inspect the whole system: what a gatekeeper knows, and why it acted as it did."""


@click.command()
@click.option(
    "--metrics-port", default=0, type=click.IntRange(0, 65535), help="Serve /v1/metrics on this port, too."
)
def gatekeeper(metrics_port: int) -> None:
    """Serve as one process of the whole system; MILLFRONT_CONFIG names its settings file."""
    from millfront.gatekeeper import process

    sys.exit(process.run(os.environ, metrics_port))


group.add_command(gatekeeper)


@group.command("show")
@at_option
@json_option
def show_gatekeeper(address: str, as_json: bool) -> None:
    """Show all members and their versions, the core and its disks, role holders and rounds under way.

    Exits with 1 if versions differ, a member is not up, or the gatekeeper is not ready."""
    state = _call_json(address, "GET", "/v1/gatekeeper")
    show(as_json, state, "\n".join(_status_lines(state)))
    out_of_date = [
        record
        for record in state["roster"]
        if record["version"] != state["version"] or record["liveness"] != "up"
    ]
    sys.exit(DIFFERS if out_of_date or not state["ready"] else 0)


@group.command()
@at_option
@click.option(
    "--part", default="", help="Only events of this part: register, membership, discovery, delivery, admin."
)
@json_option
def why(address: str, part: str, as_json: bool) -> None:
    """Show what a gatekeeper did recently, and on which facts."""
    events = _call_json(address, "GET", f"/v1/gatekeeper/events?part={part}")["pages"]
    lines = [
        f"{event['ago']:9.1f} s ago  {event['part']}: {event['text']}"
        + "".join(f"  {name}={value}" for name, value in event["facts"].items())
        for event in events
    ]
    show(as_json, events, "\n".join(lines))


@group.command()
@at_option
@click.argument("name")
@json_option
def tenant(address: str, name: str, as_json: bool) -> None:
    """Show why a gatekeeper admits or refuses a tenant's requests. Exits with 1 if there is no such
    tenant."""
    state = _call_json(address, "GET", "/v1/gatekeeper/tenants").get(name)
    if state is None:
        fail(DIFFERS, f"no tenant {name} in the configuration in force at {address}")
    lines = [f"{name}: no limit"]
    if state["rate"]:
        lines = [
            f"{name}: {state['rate']:g} a second and {state['burst']:g} at once, over {state['n']} processes"
        ]
    if "price" in state:
        refusals = f"refused {state['refused_level']} at its level"
        refusals += f", {state['refused_exhausted']} with no token left anywhere"
        refusals += f", {state['refused_unreachable']} with nobody who grants tokens in reach"
        lines += [
            f"  sent {state['sent_here']:g} a second here, {state['sent_elsewhere']:g} elsewhere"
            f" (heard of from {state['heard_of']}); asked {state['asked_here']:g} here",
            f"  price {state['price']:g}, level {state['level']:g} a second, share {state['share']:g}",
            f"  bucket {state['bucket']:g}; may grant {state['tokens']:g} tokens (share {state['grants']:g})",
            f"  {refusals}",
        ]
    show(as_json, state, "\n".join(lines))


@group.command("export")
@at_option
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def export_register(address: str, file: Path) -> None:
    """Write a snapshot of the register, read from a majority, to FILE."""
    text = _call(address, "GET", "/v1/register")
    temporary = file.with_name(file.name + ".part")
    temporary.write_text(text)
    temporary.replace(file)
    click.echo(f"{file}: {len(json.loads(text)['values'])} values")


@group.command("import")
@at_option
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def import_register(address: str, file: Path) -> None:
    """Store the snapshot in FILE in the register. A configuration already there at a higher version stays;
    the evacuations of FILE are ordered again."""
    from result import Err

    from millfront.register import snapshot

    text = file.read_text()
    if isinstance(read := snapshot.load(text), Err):
        fail(UNUSABLE, f"{file}: {read.err_value}")
    _call(address, "PUT", "/v1/register", text)
    click.echo(f"{file}: {len(json.loads(text)['values'])} values stored by a majority")


def _call_json(address: str, method: str, path: str) -> Any:
    return json.loads(_call(address, method, path))


def _call(address: str, method: str, path: str, body: str = "") -> str:
    answer = caller.call(address, method, path, body.encode())
    if answer.status != 200:
        fail(UNREACHABLE, f"{path} at {address}: {answer.status} {answer.body.decode(errors='replace')}")
    return answer.body.decode()


def _status_lines(state: dict[str, Any]) -> list[str]:
    """The status as text for people."""
    ready = "ready" if state["ready"] else "not ready, missing " + ", ".join(state["not_ready_for"])
    lines = [
        f"{state['name']} in {state['zone']}: {ready}; version {state['version']}, lease {state['lease_s']} s"
    ]
    if state["evacuated"]:
        lines.append(f"evacuated: {' '.join(state['evacuated'])}")
    if (core := state["core"]) is None:
        lines.append("no core known")
    else:
        lines.append(f"core {core['epoch']}: {' '.join(core['members'])}; change: {core['change']}")
        if "old_members" in core:
            lines.append(f"  replaces the old members: {' '.join(core['old_members'])}")
    if (replica := state["replica"]) is not None:
        held_versions = " ".join(f"{key}@{version}" for key, version in replica["held"].items())
        lines.append(f"replica: {replica['state']}; its disk {replica['disk']} writes; {held_versions}")
    for name, duty in state["duties"].items():
        lines.append(f"role {name}: {duty['holder']}, fence {duty['fence']}")
    for round in state["under_way"]:
        lines.append(
            f"under way: {round['phase']} {' '.join(round['keys'])}, acked by {' '.join(round['had_by'])}"
        )
    for service, phases in state["servers"].items():
        lines.append(
            f"service {service}: " + ", ".join(f"{count} {phase}" for phase, count in phases.items())
        )
    lines.append(f"{'name':24} {'zone':14} {'liveness':9} {'ready':6} {'version':9} {'disk':5} heard")
    for record in state["roster"]:
        ready, disk = "yes" if record["ready"] else "no", "yes" if record["disk"] else ""
        lines.append(
            f"{record['name']:24} {record['zone']:14} {record['liveness']:9} {ready:6} {record['version']:9} "
            f"{disk:5} {record['heard_ago']} s ago"
        )
    return lines
