"""`millfront usage`: look at a ledger, export it by hand, verify and reconcile it, and a receiver to try
with."""

import http.client
import json
import random
import time
from pathlib import Path
from typing import Any

import anyio
import click

from millfront.cli.exits import DIFFERS, UNREACHABLE, UNUSABLE, fail, json_option, show
from millfront.operators import document
from millfront.operators.faults import InvalidDocument
from millfront.usage import audit
from millfront.usage.ledger import Ledger, UnsupportedFormat
from millfront.usage.part import Exporter, create_sink
from millfront.usage.receiver import BatchReceiver, PrintingReceiver, create_server


class Told:
    """Which ledger, and how it is exported."""

    def __init__(self, operator: str | None, folder: str | None) -> None:
        self.usage: document.Usage | None = None
        if operator is not None:
            try:
                self.usage = document.parse(Path(operator).read_bytes()).usage
            except InvalidDocument as wrong:
                fail(UNUSABLE, *wrong.faults)
        found = folder or (self.usage.folder if self.usage else None)
        if found is None:
            raise click.UsageError("--folder is wanted, or --operator with usage")
        self.folder = Path(found)

    @property
    def period_s(self) -> int:
        return self.usage.period_s if self.usage else 60

    def seen(self) -> audit.LedgerContents:
        if not self.folder.is_dir():
            fail(UNUSABLE, f"{self.folder}: there is no ledger")
        return audit.read_ledger(self.folder)


@click.group()
@click.option(
    "--operator", envvar="MILLFRONT_OPERATOR", type=click.Path(dir_okay=False), help="The operators' file."
)
@click.option("--folder", type=click.Path(file_okay=False), help="The ledger's folder.")
@click.pass_context
def group(ctx: click.Context, operator: str | None, folder: str | None) -> None:
    """What was used, and its export for billing."""
    if ctx.invoked_subcommand != "receive":
        ctx.obj = Told(operator, folder)


@group.command("show")
@json_option
@click.pass_obj
def show_ledger(told: Told, as_json: bool) -> None:
    """What lies in the ledger: exported, waiting, out, and what could not be recorded."""
    seen = told.seen()
    what: dict[str, Any] = {
        "source": seen.source,
        "ledger": seen.ledger,
        "exported": {
            "batches": len(seen.receipts),
            "tries": sum(r.tries for r in seen.receipts),
            "units": round(sum(r.units for r in seen.receipts), 6),
        },
        "waiting": {"segments": len(seen.segments), "units": round(seen.waiting_units, 6)}
        | dict(seen.waiting),
        "out": len(seen.open),
        "unrecorded": {"tries": seen.unrecorded_tries, "units": round(seen.unrecorded_units, 6)},
        "faults": seen.faults,
    }
    lines = []
    for name, value in what.items():
        said = ", ".join(f"{n} {v}" for n, v in value.items()) if isinstance(value, dict) else value
        lines.append(f"{name}: {said if said else 'none'}")
    show(as_json, what, "\n".join(lines))


@group.command()
@json_option
@click.pass_obj
def verify(told: Told, as_json: bool) -> None:
    """Read every record. Exits with 1 where something is damaged, lost, or not in its order."""
    seen = told.seen()
    what = {"records": seen.records, "segments": len(seen.segments), "receipts": len(seen.receipts)}
    text = f"{seen.records} records in {len(seen.segments)} segments, {len(seen.receipts)} receipts"
    show(as_json, what | {"faults": seen.faults, "notes": seen.notes}, "\n".join([text, *seen.notes]))
    if seen.faults:
        fail(DIFFERS, *([] if as_json else seen.faults))


@group.command()
@click.option("--receiver", help="HOST:PORT of a receiver; the operators' file's where not told.")
@click.option("--path", default="/v1", show_default=True, help="Under which it answers.")
@click.option("--spool", type=click.Path(file_okay=False), help="A spool folder instead.")
@json_option
@click.pass_obj
def reconcile(told: Told, receiver: str | None, path: str, spool: str | None, as_json: bool) -> None:
    """Compare ledger and receipts with the other side's account, line by line. Exits with 1 on any
    difference."""
    export = told.usage.export if told.usage else None
    if receiver is None and spool is None and export is not None:
        spool = export.spool
        if export.receiver is not None:
            receiver, path = export.receiver.address, export.receiver.path
    if (receiver is None) == (spool is None):
        raise click.UsageError("one of --receiver and --spool is wanted")
    seen = told.seen()
    faults = list(seen.faults)
    if spool is not None:
        other, more = audit.from_spool(Path(spool), seen.ledger)
        faults += more
    else:
        assert receiver is not None
        batches = _ask(receiver, f"{path}/batches")["batches"]
        lines = _ask(receiver, f"{path}/sources/{seen.source}.{seen.ledger}/tally")["lines"]
        other = audit.from_receiver(batches, lines, seen.ledger)
    faults += audit.compare(told.folder, seen, other, told.period_s)
    what = {"batches": len(seen.receipts), "differences": faults}
    show(as_json, what, f"{len(seen.receipts)} receipts, {len(faults)} differences")
    if faults:
        fail(DIFFERS, *([] if as_json else faults))


def _ask(receiver: str, path: str) -> Any:
    connection = http.client.HTTPConnection(receiver, timeout=30.0)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        if answer.status != 200:
            fail(UNREACHABLE, f"{receiver}{path}: status {answer.status}")
        return json.loads(answer.read())
    except (OSError, http.client.HTTPException, ValueError) as wrong:
        fail(UNREACHABLE, f"{receiver}: {wrong}")
    finally:
        connection.close()


@group.command()
@click.option("--for", "seconds", default=60.0, show_default=True, help="Seconds after which it gives up.")
@json_option
@click.pass_obj
def export(told: Told, seconds: float, as_json: bool) -> None:
    """Export what is sealed, of a gatekeeper that does not run. Exits with 4 if something is left."""
    if told.usage is None or told.usage.export is None:
        raise click.UsageError("--operator with usage.export is wanted")
    seen = told.seen()
    usage = told.usage
    ledger = Ledger(told.folder, seen.source or "export", usage, lambda: time.time_ns() // 1000)
    try:
        ledger.open()
    except (OSError, UnsupportedFormat) as wrong:
        fail(UNREACHABLE, wrong)

    async def exported() -> Exporter:
        exporter = Exporter(ledger, usage, create_sink(usage), random.Random())
        with anyio.move_on_after(seconds):
            await exporter.run(until_idle=True)
        await exporter.sink.close()
        return exporter

    exporter = anyio.run(exported)
    left = len(ledger.sealed)
    ledger.close()
    what = {"batches": exporter.batches, "lines": exporter.lines, "left": left}
    show(as_json, what, f"{exporter.batches} batches with {exporter.lines} lines exported, {left} left")
    if left:
        fail(UNREACHABLE, exporter.state.last_error or "time is up")


@group.command()
@click.option("--listen", default="127.0.0.1:9090", show_default=True, help="HOST:PORT on loopback.")
@click.option(
    "--folder", type=click.Path(file_okay=False), help="Where it keeps what came; in memory where not."
)
@click.option("--quiet", is_flag=True, help="Print nothing of what comes.")
def receive(listen: str, folder: str | None, quiet: bool) -> None:
    """A receiver to rehearse with: takes batches and shows them."""
    host, _, port = listen.rpartition(":")
    if not host.startswith("127.") or not port.isdigit():
        raise click.UsageError(f"{listen!r} is no loopback HOST:PORT")

    kept = Path(folder) if folder else None
    receiving = BatchReceiver(kept) if quiet else PrintingReceiver(click.echo, kept)
    made = create_server(receiving, host, int(port))
    click.echo(f"receiver at {host}:{made.server_port}")
    try:
        made.serve_forever()
    except KeyboardInterrupt:
        made.server_close()
