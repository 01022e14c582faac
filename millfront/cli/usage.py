"""`millfront usage`: inspect, verify, reconcile and export a ledger, and run a receiver for trials."""

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


class LedgerTarget:
    """A ledger's folder, and its options where the operators' file is given."""

    def __init__(self, operator: str | None, folder: str | None) -> None:
        self.usage: document.Usage | None = None
        if operator is not None:
            try:
                self.usage = document.parse(Path(operator).read_bytes()).usage
            except InvalidDocument as error:
                fail(UNUSABLE, *error.faults)
        path = folder or (self.usage.folder if self.usage else None)
        if path is None:
            raise click.UsageError("expected --folder, or --operator with usage")
        self.folder = Path(path)

    @property
    def period_s(self) -> int:
        return self.usage.period_s if self.usage else 60

    def contents(self) -> audit.LedgerContents:
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
    """Recorded usage, and its export for billing."""
    if ctx.invoked_subcommand != "receive":
        ctx.obj = LedgerTarget(operator, folder)


@group.command("show")
@json_option
@click.pass_obj
def show_ledger(told: LedgerTarget, as_json: bool) -> None:
    """Show the ledger's content: exported, waiting, in flight (out), and what could not be recorded."""
    contents = told.contents()
    summary: dict[str, Any] = {
        "source": contents.source,
        "ledger": contents.ledger,
        "exported": {
            "batches": len(contents.receipts),
            "tries": sum(r.tries for r in contents.receipts),
            "units": round(sum(r.units for r in contents.receipts), 6),
        },
        "waiting": {"segments": len(contents.segments), "units": round(contents.waiting_units, 6)}
        | dict(contents.waiting),
        "out": len(contents.open),
        "unrecorded": {"tries": contents.unrecorded_tries, "units": round(contents.unrecorded_units, 6)},
        "faults": contents.faults,
    }
    lines = []
    for name, value in summary.items():
        text = ", ".join(f"{n} {v}" for n, v in value.items()) if isinstance(value, dict) else value
        lines.append(f"{name}: {text if text else 'none'}")
    show(as_json, summary, "\n".join(lines))


@group.command()
@json_option
@click.pass_obj
def verify(told: LedgerTarget, as_json: bool) -> None:
    """Read every record. Exits with 1 if anything is damaged, lost or out of order."""
    contents = told.contents()
    summary = {
        "records": contents.records,
        "segments": len(contents.segments),
        "receipts": len(contents.receipts),
    }
    text = (
        f"{contents.records} records in {len(contents.segments)} segments, {len(contents.receipts)} receipts"
    )
    show(
        as_json,
        summary | {"faults": contents.faults, "notes": contents.notes},
        "\n".join([text, *contents.notes]),
    )
    if contents.faults:
        fail(DIFFERS, *([] if as_json else contents.faults))


@group.command()
@click.option("--receiver", help="HOST:PORT of a receiver; default: that of the operators' file.")
@click.option("--path", default="/v1", show_default=True, help="Path prefix at the receiver.")
@click.option("--spool", type=click.Path(file_okay=False), help="Compare with a spool folder instead.")
@json_option
@click.pass_obj
def reconcile(told: LedgerTarget, receiver: str | None, path: str, spool: str | None, as_json: bool) -> None:
    """Compare ledger and receipts with the other side's account, line by line. Exits with 1 on any
    difference."""
    export = told.usage.export if told.usage else None
    if receiver is None and spool is None and export is not None:
        spool = export.spool
        if export.receiver is not None:
            receiver, path = export.receiver.address, export.receiver.path
    if (receiver is None) == (spool is None):
        raise click.UsageError("expected exactly one of --receiver and --spool")
    contents = told.contents()
    faults = list(contents.faults)
    if spool is not None:
        other, spool_faults = audit.from_spool(Path(spool), contents.ledger)
        faults += spool_faults
    else:
        assert receiver is not None
        batches = _fetch_json(receiver, f"{path}/batches")["batches"]
        lines = _fetch_json(receiver, f"{path}/sources/{contents.source}.{contents.ledger}/tally")["lines"]
        other = audit.from_receiver(batches, lines, contents.ledger)
    faults += audit.compare(told.folder, contents, other, told.period_s)
    summary = {"batches": len(contents.receipts), "differences": faults}
    show(as_json, summary, f"{len(contents.receipts)} receipts, {len(faults)} differences")
    if faults:
        fail(DIFFERS, *([] if as_json else faults))


def _fetch_json(receiver: str, path: str) -> Any:
    connection = http.client.HTTPConnection(receiver, timeout=30.0)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        if answer.status != 200:
            fail(UNREACHABLE, f"{receiver}{path}: expected status 200, got {answer.status}")
        return json.loads(answer.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        fail(UNREACHABLE, f"{receiver}{path}: {error}")
    finally:
        connection.close()


@group.command()
@click.option("--for", "seconds", default=60.0, show_default=True, help="Time limit in seconds.")
@json_option
@click.pass_obj
def export(told: LedgerTarget, seconds: float, as_json: bool) -> None:
    """Export the sealed segments of a gatekeeper that does not run. Exits with 4 if any are left."""
    if told.usage is None or told.usage.export is None:
        raise click.UsageError("expected --operator with usage.export")
    contents = told.contents()
    usage = told.usage
    ledger = Ledger(told.folder, contents.source or "export", usage, lambda: time.time_ns() // 1000)
    try:
        ledger.open()
    except (OSError, UnsupportedFormat) as error:
        fail(UNREACHABLE, error)

    async def exported() -> Exporter:
        exporter = Exporter(ledger, usage, create_sink(usage), random.Random())
        with anyio.move_on_after(seconds):
            await exporter.run(until_idle=True)
        await exporter.sink.close()
        return exporter

    exporter = anyio.run(exported)
    left = len(ledger.sealed)
    ledger.close()
    summary = {"batches": exporter.batches, "lines": exporter.lines, "left": left}
    show(as_json, summary, f"{exporter.batches} batches with {exporter.lines} lines exported, {left} left")
    if left:
        fail(UNREACHABLE, exporter.state.last_error or f"time limit of {seconds:g} s reached")


@group.command()
@click.option("--listen", default="127.0.0.1:9090", show_default=True, help="HOST:PORT on loopback.")
@click.option(
    "--folder", type=click.Path(file_okay=False), help="Folder for received batches; default: in memory."
)
@click.option("--quiet", is_flag=True, help="Do not print what is received.")
def receive(listen: str, folder: str | None, quiet: bool) -> None:
    """Run a receiver for trials that accepts batches and prints them."""
    host, _, port = listen.rpartition(":")
    if not host.startswith("127.") or not port.isdigit():
        raise click.UsageError(f"--listen: expected HOST:PORT on loopback, got {listen!r}")

    store = Path(folder) if folder else None
    receiver = BatchReceiver(store) if quiet else PrintingReceiver(click.echo, store)
    http_server = create_server(receiver, host, int(port))
    click.echo(f"receiver at {host}:{http_server.server_port}")
    try:
        http_server.serve_forever()
    except KeyboardInterrupt:
        http_server.server_close()
