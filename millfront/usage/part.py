"""The usage ledger of a running gatekeeper: tells it of tries, keeps it lasting, exports what is sealed."""

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
from millfront.usage.ledger import Foreign, Ledger, Segment
from millfront.usage.records import STANDINGS, Opened, Result
from millfront.usage.sending import Offer, Sending, What
from millfront.usage.sinks import HttpSink, Sink, SpoolSink, packed

log = Log(__name__)

TICK_S = 0.2
AGAIN_S = 0.5  # before a ledger that could not be opened is tried again
SYNC_ALWAYS_S = 0.01
PAUSE_S = 0.001  # between slices of making a batch
LAST_EXPORT_S = 2.0  # for what is sealed at a planned end; what is left goes out in the next life


@dataclass(slots=True)
class Mark:
    """What a try carries from its first send to its end."""

    seq: int
    entry: Opened


class UsagePart:
    name = "usage"

    def __init__(self, node: Node, told: Usage) -> None:
        self.node = node
        self.told = told
        config = node.config
        self.ledger = Ledger(told.folder, config.name, told, node.clock.now)
        self._ready = False
        self._running = anyio.CancelScope()
        self._ended = anyio.Event()
        self._why = ""
        self.exporter: Exporter | None = None
        if told.export is not None:
            self.exporter = Exporter(self.ledger, told, sink_of(told), random.Random(config.seed))

    # ---- as a part ---------------------------------------------------------------------------

    async def start(self) -> None:
        """A ledger that can't be opened keeps no gatekeeper from serving: its tries are counted meanwhile."""
        self.node.host.tally = self
        self._open()

    def _open(self) -> None:
        try:
            found = self.ledger.open()
        except (OSError, Foreign) as wrong:
            if str(wrong) != self._why:
                log.error("the ledger can't be opened", folder=self.told.folder, why=wrong)
            self._why = str(wrong)
            return
        self._ready, self._why = True, ""
        fields = {"segments": found.segments, "abandoned": found.abandoned, "next": self.ledger.next_seq}
        if found.missing or found.torn_bytes:
            log.warning("the ledger is open", missing=found.missing, torn=found.torn_bytes, **fields)
        else:
            log.info("the ledger is open", **fields)

    async def run(self) -> None:
        self._running = anyio.CancelScope()
        while not self._ready:
            await anyio.sleep(AGAIN_S)
            self._open()
        with self._running:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._ticks)
                tasks.start_soon(self._syncs)
                if self.exporter is not None:
                    tasks.start_soon(self.exporter.run)
        self._ended.set()

    async def _ticks(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            self.ledger.tick()

    async def _syncs(self) -> None:
        """fsync in a thread: the loop never waits for the disk."""
        policy = self.told.fsync
        pause = SYNC_ALWAYS_S if policy == "always" else self.told.fsync_s
        while True:
            await anyio.sleep(pause)
            pending = list(self.ledger.unsynced)
            if policy == "never" and not pending:
                continue
            try:
                await anyio.to_thread.run_sync(self.ledger.sync)
            except OSError as wrong:
                log.error("the ledger could not be synced", why=wrong.strerror)
                continue
            self.ledger.synced(pending)
            if pending and self.exporter is not None:
                self.exporter.wake()

    async def stop(self) -> None:
        if not self._ready:
            return
        self._running.cancel()
        with anyio.move_on_after(LAST_EXPORT_S):
            await self._ended.wait()
        await anyio.to_thread.run_sync(self.ledger.finish)
        if self.exporter is not None:
            with anyio.move_on_after(LAST_EXPORT_S):
                await self.exporter.run(until_idle=True)
            await self.exporter.sink.close()
        self.ledger.close()

    def reload(self) -> None:
        pass

    # ---- what the host tells -----------------------------------------------------------------

    def sending(self, opened: OpenRequest, standing: api.Standing) -> None:
        """Written down before the try goes out: a fault here must never reach the request."""
        try:
            arrival = opened.arrival
            entry = Opened(
                self.node.clock.now(),
                arrival.name.decode("latin-1"),
                arrival.customer,
                arrival.plan_name or self.node.tuning.plan_names[arrival.plan],
                arrival.plan_version,
                self.node.tuning.class_names[arrival.cls],
                STANDINGS[standing],
                arrival.units,
            )
            opened.tallied = Mark(self.ledger.opened(entry), entry)
        except Exception:
            log.exception("a try could not be recorded")

    def settled(self, opened: OpenRequest) -> None:
        mark: Mark = opened.tallied
        try:
            if not opened.ran:
                self.ledger.settled(mark.seq, mark.entry, Result.NEVER, 0.0)
            elif opened.units > 0.0:
                self.ledger.settled(mark.seq, mark.entry, Result.TOLD, opened.units)
            else:
                self.ledger.settled(mark.seq, mark.entry, Result.GUESSED, mark.entry.guess)
        except Exception:
            log.exception("a try's end could not be recorded")

    def status(self) -> dict[str, object]:
        told: dict[str, object] = {"ready": self._ready, "why": self._why} | self.ledger.status()
        return told | (self.exporter.status() if self.exporter is not None else {})


def sink_of(told: Usage) -> Sink:
    assert told.export is not None
    if told.export.receiver is not None:
        return HttpSink(told.export.receiver)
    return SpoolSink(told.export.spool or "")


class Exporter:
    """Carries out what Sending decides, one batch at a time."""

    def __init__(self, ledger: Ledger, told: Usage, sink: Sink, draws: random.Random) -> None:
        self.ledger = ledger
        self.told = told
        self.sink = sink
        receiver = told.export.receiver if told.export is not None else None
        first, most = (receiver.first_wait_s, receiver.most_wait_s) if receiver else (0.5, 60.0)
        self.sending = Sending(first, most, draws)
        self.batches = self.lines = 0
        self._wake = anyio.Event()
        self._made: tuple[Segment, Batch, bytes] | None = None
        self._said = ""

    def wake(self) -> None:
        self._wake.set()

    async def run(self, until_idle: bool = False) -> None:
        """Export for ever, or until there is nothing left that is sealed."""
        while True:
            now = self.ledger.now_us()
            step = self.sending.next(now, self.ledger.due() is not None)
            if step.what is What.ASK_MARK:
                told = await self.sink.mark(self.ledger.source, self.ledger.id)
                self.sending.mark(self.ledger.now_us(), told)
                self._say()
            elif step.what is What.SEND:
                try:
                    await self._send()
                except OSError as wrong:  # the local disk: the receiver's side knows names twice seen
                    log.error("usage is not exported", why=wrong.strerror)
                    await anyio.sleep(1.0)
            elif step.what is What.IDLE and until_idle:
                return
            else:
                wait_s = (step.until_us - now) / 1e6 if step.what is What.WAIT else 1.0
                with anyio.move_on_after(max(wait_s, 0.001)):
                    await self._wake.wait()
                self._wake = anyio.Event()

    async def _send(self) -> None:
        segment = self.ledger.due()
        assert segment is not None
        batch, data = await self._batch(segment)
        if self.sending.acknowledged >= batch.last:  # the receiver has it: only its answer was lost
            self._done(batch)
            return
        told = await self.sink.put(batch, data)
        offer = Offer(batch.name, batch.last, batch.digest, batch.lines)
        if self.sending.sent(self.ledger.now_us(), offer, told):
            self._done(batch)
        self._say()

    def _done(self, batch: Batch) -> None:
        self.ledger.receipt(batch)
        self._made = None
        self.batches += 1
        self.lines += batch.lines

    async def _batch(self, segment: Segment) -> tuple[Batch, bytes]:
        """Made once, and again only after a restart."""
        if self._made is None or self._made[0] is not segment:
            data = await anyio.to_thread.run_sync(segment.path.read_bytes)
            steps = batches.making(data, segment.first, segment.next_seq, self.told.period_s)
            batch = await run_in_slices(steps, PAUSE_S)
            if batch.head.missing:
                log.error("the ledger lost records", batch=batch.name, missing=batch.head.missing)
            text = await anyio.to_thread.run_sync(packed, batch.text)
            try:
                await anyio.to_thread.run_sync(self.ledger.keep, batch, text)
            except OSError as wrong:  # a full disk is relieved by exporting, not by waiting
                log.warning("an exported batch is not kept", batch=batch.name, why=wrong.strerror)
            self._made = (segment, batch, text)
        return self._made[1], self._made[2]

    def _say(self) -> None:
        """At changes only: a receiver that is down for hours is said once."""
        if self.sending.trouble != self._said:
            self._said = self.sending.trouble
            if self._said:
                log.warning("usage is not exported", why=self._said, due=len(self.ledger.sealed))
            else:
                log.info("usage is exported again", due=len(self.ledger.sealed))

    def status(self) -> dict[str, object]:
        return {
            "exported_batches": self.batches,
            "exported_lines": self.lines,
            "export_trouble": self.sending.trouble,
            "partial_answers": self.sending.partial,
            "conflicts": self.sending.conflicts,
        }
