"""The usage ledger of a running gatekeeper: records attempts, syncs the ledger, exports sealed segments."""

import random
from dataclasses import dataclass

import anyio
import anyio.to_thread

from millfront import interface as api
from millfront.logs import Log
from millfront.node.host import OpenRequest
from millfront.node.service import Node
from millfront.operators.document import Usage
from millfront.operators.slices import run_in_slices
from millfront.usage import batches
from millfront.usage.batches import Batch
from millfront.usage.ledger import Ledger, Segment, UnsupportedFormat
from millfront.usage.records import STANDINGS, Opened, Result
from millfront.usage.sending import ExportState, PendingBatch, StepKind
from millfront.usage.sinks import HttpSink, Sink, SpoolSink, compress

log = Log(__name__)

TICK_S = 0.2
REOPEN_INTERVAL_S = 0.5  # between tries to open a ledger that could not be opened
SYNC_ALWAYS_S = 0.01
SLICE_PAUSE_S = 0.001  # between slices of building a batch
FINAL_EXPORT_TIMEOUT_S = 2.0  # at a planned shutdown; the rest is exported after the next start


@dataclass(slots=True)
class Mark:
    """What the ledger needs to know of an attempt when it ends."""

    seq: int
    entry: Opened


class UsagePart:
    name = "usage"

    def __init__(self, node: Node, options: Usage) -> None:
        self.node = node
        self.options = options
        config = node.config
        self.ledger = Ledger(options.folder, config.name, options, node.clock.now)
        self._ready = False
        self._scope = anyio.CancelScope()
        self._stopped = anyio.Event()
        self._open_error = ""
        self.exporter: Exporter | None = None
        if options.export is not None:
            self.exporter = Exporter(self.ledger, options, create_sink(options), random.Random(config.seed))

    # ---- node part ---------------------------------------------------------------------------

    async def start(self) -> None:
        """The gatekeeper also serves if the ledger can't be opened: attempts are counted meanwhile."""
        self.node.host.usage_recorder = self
        self._open()

    def _open(self) -> None:
        try:
            found = self.ledger.open()
        except (OSError, UnsupportedFormat) as error:
            if str(error) != self._open_error:
                log.error("the usage ledger can't be opened", folder=self.options.folder, why=error)
            self._open_error = str(error)
            return
        self._ready, self._open_error = True, ""
        fields = {"segments": found.segments, "abandoned": found.abandoned, "next": self.ledger.next_seq}
        if found.missing or found.torn_bytes:
            log.warning("the usage ledger is open", missing=found.missing, torn=found.torn_bytes, **fields)
        else:
            log.info("the usage ledger is open", **fields)

    async def run(self) -> None:
        self._scope = anyio.CancelScope()
        while not self._ready:
            await anyio.sleep(REOPEN_INTERVAL_S)
            self._open()
        with self._scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._run_ticks)
                tasks.start_soon(self._run_syncs)
                if self.exporter is not None:
                    tasks.start_soon(self.exporter.run)
        self._stopped.set()

    async def _run_ticks(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            self.ledger.tick()

    async def _run_syncs(self) -> None:
        """Calls fsync in a thread, so that the event loop never waits for the disk."""
        policy = self.options.fsync
        pause = SYNC_ALWAYS_S if policy == "always" else self.options.fsync_s
        while True:
            await anyio.sleep(pause)
            pending = list(self.ledger.unsynced)
            if policy == "never" and not pending:
                continue
            try:
                await anyio.to_thread.run_sync(self.ledger.sync)
            except OSError as error:
                log.error("the usage ledger could not be synced", why=error.strerror)
                continue
            self.ledger.mark_synced(pending)
            if pending and self.exporter is not None:
                self.exporter.wake()

    async def stop(self) -> None:
        if not self._ready:
            return
        self._scope.cancel()
        with anyio.move_on_after(FINAL_EXPORT_TIMEOUT_S):
            await self._stopped.wait()
        await anyio.to_thread.run_sync(self.ledger.finish)
        if self.exporter is not None:
            with anyio.move_on_after(FINAL_EXPORT_TIMEOUT_S):
                await self.exporter.run(until_idle=True)
            await self.exporter.sink.close()
        self.ledger.close()

    def reload(self) -> None:
        pass

    # ---- calls from the host -----------------------------------------------------------------

    def request_sent(self, opened: OpenRequest, standing: api.Standing) -> None:
        """Records an attempt before it is sent. A fault here must never affect the request."""
        try:
            arrival = opened.arrival
            entry = Opened(
                self.node.clock.now(),
                arrival.request_id.decode("latin-1"),
                arrival.customer,
                arrival.plan_name or self.node.active_settings.plan_names[arrival.plan],
                arrival.plan_version,
                self.node.active_settings.class_names[arrival.cls],
                STANDINGS[standing],
                arrival.units,
            )
            opened.usage_mark = Mark(self.ledger.record_opened(entry), entry)
        except Exception:
            log.exception("the start of an attempt could not be recorded")

    def request_settled(self, opened: OpenRequest) -> None:
        mark: Mark = opened.usage_mark
        try:
            if not opened.may_have_run:
                self.ledger.record_settled(mark.seq, mark.entry, Result.NEVER, 0.0)
            elif opened.true_units > 0.0:
                self.ledger.record_settled(mark.seq, mark.entry, Result.TOLD, opened.true_units)
            else:
                self.ledger.record_settled(mark.seq, mark.entry, Result.GUESSED, mark.entry.guess)
        except Exception:
            log.exception("the end of an attempt could not be recorded")

    def status(self) -> dict[str, object]:
        report: dict[str, object] = {"ready": self._ready, "why": self._open_error} | self.ledger.status()
        return report | (self.exporter.status() if self.exporter is not None else {})


def create_sink(options: Usage) -> Sink:
    assert options.export is not None
    if options.export.receiver is not None:
        return HttpSink(options.export.receiver)
    return SpoolSink(options.export.spool or "")


class Exporter:
    """Exports one batch at a time, as ExportState decides."""

    def __init__(self, ledger: Ledger, options: Usage, sink: Sink, rng: random.Random) -> None:
        self.ledger = ledger
        self.options = options
        self.sink = sink
        receiver = options.export.receiver if options.export is not None else None
        first, max_wait_s = (receiver.first_wait_s, receiver.most_wait_s) if receiver else (0.5, 60.0)
        self.state = ExportState(first, max_wait_s, rng)
        self.batches = self.lines = 0
        self._wake = anyio.Event()
        self._current: tuple[Segment, Batch, bytes] | None = None
        self._logged_error = ""

    def wake(self) -> None:
        self._wake.set()

    async def run(self, until_idle: bool = False) -> None:
        """Exports forever, or until no sealed segment is left."""
        while True:
            now = self.ledger.now_us()
            step = self.state.next_step(now, self.ledger.oldest_sealed() is not None)
            if step.kind is StepKind.ASK_MARK:
                answer = await self.sink.mark(self.ledger.source, self.ledger.id)
                self.state.handle_mark(self.ledger.now_us(), answer)
                self._log_state()
            elif step.kind is StepKind.SEND:
                try:
                    await self._send()
                except OSError as error:  # of the local disk; the receiver recognises repeats by name
                    log.error("usage is not exported: local disk fault", why=error.strerror)
                    await anyio.sleep(1.0)
            elif step.kind is StepKind.IDLE and until_idle:
                return
            else:
                wait_s = (step.until_us - now) / 1e6 if step.kind is StepKind.WAIT else 1.0
                with anyio.move_on_after(max(wait_s, 0.001)):
                    await self._wake.wait()
                self._wake = anyio.Event()

    async def _send(self) -> None:
        segment = self.ledger.oldest_sealed()
        assert segment is not None
        batch, data = await self._build_batch(segment)
        if self.state.acknowledged >= batch.last:  # the receiver has it; its answer was lost
            self._complete(batch)
            return
        answer = await self.sink.put(batch, data)
        pending = PendingBatch(batch.name, batch.last, batch.digest, batch.lines)
        if self.state.handle_answer(self.ledger.now_us(), pending, answer):
            self._complete(batch)
        self._log_state()

    def _complete(self, batch: Batch) -> None:
        self.ledger.record_receipt(batch)
        self._current = None
        self.batches += 1
        self.lines += batch.lines

    async def _build_batch(self, segment: Segment) -> tuple[Batch, bytes]:
        """Builds a segment's batch, once for all sends until a restart; returns it also compressed."""
        if self._current is None or self._current[0] is not segment:
            data = await anyio.to_thread.run_sync(segment.path.read_bytes)
            steps = batches.build_in_slices(data, segment.first, segment.next_seq, self.options.period_s)
            batch = await run_in_slices(steps, SLICE_PAUSE_S)
            if batch.head.missing:
                log.error("the usage ledger has lost records", batch=batch.name, missing=batch.head.missing)
            text = await anyio.to_thread.run_sync(compress, batch.text)
            try:
                await anyio.to_thread.run_sync(self.ledger.keep_sent, batch, text)
            except OSError as error:  # exporting frees a full disk, waiting does not
                log.warning(
                    "the local copy of an exported batch could not be kept",
                    batch=batch.name,
                    why=error.strerror,
                )
            self._current = (segment, batch, text)
        return self._current[1], self._current[2]

    def _log_state(self) -> None:
        """Logs changes only, so that a receiver that is down for hours is logged once."""
        if self.state.last_error != self._logged_error:
            self._logged_error = self.state.last_error
            if self._logged_error:
                log.warning("usage is not exported", why=self._logged_error, due=len(self.ledger.sealed))
            else:
                log.info("usage is exported again", due=len(self.ledger.sealed))

    def status(self) -> dict[str, object]:
        return {
            "exported_batches": self.batches,
            "exported_lines": self.lines,
            "export_trouble": self.state.last_error,
            "partial_answers": self.state.partial_answers,
            "conflicts": self.state.conflicts,
        }
