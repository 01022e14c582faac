"""Live plans of a running gatekeeper: watches the book's file, applies valid books, leases reserved units."""

import os
import time

import anyio
import anyio.to_thread

from millfront import interface as api
from millfront.logs import Log
from millfront.node.service import Node
from millfront.operators.document import Plans
from millfront.operators.faults import Fault, InvalidDocument
from millfront.operators.slices import run_in_slices
from millfront.plans import book as books
from millfront.plans.book import Book, CompiledBook, Lateness
from millfront.plans.carry import change_plan
from millfront.plans.leases import LeaseAction, Leased, Leases, ReservationSpec
from millfront.plans.store import BookStore, tag

log = Log(__name__)

TICK_S = 1.0
SLICE_PAUSE_S = 0.001  # between slices of a large book, so that it does not hold up the event loop


class LivePlans:
    name = "plans"

    def __init__(self, node: Node, options: Plans) -> None:
        self.node = node
        self.options = options
        self.store = BookStore(options.file)
        self.compiled: CompiledBook | None = None
        self.tag = ""  # of the book in force
        self.applied_us = 0
        self.refused: list[str] = []  # faults of the file's current book, if it was rejected
        self._file_state: tuple[int, int, int] | None = None  # inode, mtime and size of the file read last
        self._wakeup = anyio.Event()
        self._apply_lock = anyio.Lock()
        self.leases = Leases(node.config.counter is not None and node.config.settings.counter)

    @property
    def settings_plans(self) -> dict[str, api.Plan]:
        tuning = self.node.active_settings
        return {name: tuning.settings.plans[place] for name, place in tuning.plans.items()}

    # ---- node part ---------------------------------------------------------------------------

    async def start(self) -> None:
        """An unusable book does not keep the gatekeeper from starting: the last readable version applies."""
        self.node.request_parser.live_plan = self._terms
        self.node.host.enable_live_plans(self, change_plan)
        await self._reload_if_changed()
        if self.compiled is None and (last := self.store.last_good()) is not None:
            log.warning(
                "no valid plan book in the file; using the newest one in the history", version=last.version
            )
            await self.apply(last, tag(books.encode(last)))

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_ticks)
            while True:
                with anyio.move_on_after(self.options.look_s):
                    await self._wakeup.wait()
                self._wakeup = anyio.Event()
                await self._reload_if_changed()

    async def stop(self) -> None:
        pass

    def reload(self) -> None:
        self._file_state = None
        self._wakeup.set()

    # ---- the book ----------------------------------------------------------------------------

    @property
    def max_reserved(self) -> float:
        return self.options.fleet_units_per_s * self.options.most_reserved_share

    async def _reload_if_changed(self) -> None:
        """Reads the file if it has changed. A damaged or invalid book changes nothing."""
        try:
            found = os.stat(self.store.file)
            file_state = (found.st_ino, found.st_mtime_ns, found.st_size)
            if file_state == self._file_state:
                return
            text = await anyio.to_thread.run_sync(self.store.file.read_bytes)
        except OSError as error:
            if self._file_state is not None or (self.compiled is None and not self.refused):
                log.warning("the plan book's file can't be read", file=self.store.file, why=error.strerror)
                self.refused = [str(error.strerror)]
            self._file_state = None
            return
        self._file_state = file_state
        found_tag = await anyio.to_thread.run_sync(tag, text)
        if self.compiled is not None and found_tag == self.tag:
            return
        try:
            book = await self.validate(text)
            await self.apply(book, found_tag)
        except InvalidDocument as error:
            self.refused = [str(fault) for fault in error.faults]
            version = self.compiled.version if self.compiled else None
            log.error(
                "the plan book is invalid; the one in force stays", holds=version, faults=self.refused[:10]
            )

    async def validate(self, text: bytes) -> Book:
        """Decodes and checks a book.

        :raises InvalidDocument: with every fault
        """
        book = await run_in_slices(books.decode_in_slices(text), SLICE_PAUSE_S)
        faults = await run_in_slices(
            books.check_in_slices(book, self.settings_plans, self.max_reserved), SLICE_PAUSE_S
        )
        if faults:
            raise InvalidDocument("plan book", faults)
        return book

    async def apply(self, book: Book, book_tag: str) -> Lateness:
        """Puts a checked book in force for all requests that arrive from now on.

        :param book_tag: tag of the bytes that the book was read from

        :raises InvalidDocument: its version does not go up
        """
        async with self._apply_lock:
            before = self.compiled
            if before is not None and book_tag == self.tag:
                return Lateness(0, 0)  # the file watcher has applied it already
            if before is not None and book.version <= before.version:
                why = f"{book.version} does not go up; {before.version} is in force"
                raise InvalidDocument("plan book", [Fault("$.version", why)])
            now = self.node.clock.now()
            steps = books.compile_in_slices(book, self.settings_plans, before, now)
            compiled, lateness = await run_in_slices(steps, SLICE_PAUSE_S)
            self.compiled, self.tag, self.refused, self.applied_us = compiled, book_tag, [], now
            self._execute(self.leases.update(now, [_reservation_spec(r) for r in book.reservations]))
        fields = {"version": book.version, "assignments": len(book.assignments), "by": book.by}
        if lateness.entries:
            late_s = round(lateness.max_us / 1e6, 3)
            log.warning("a plan book applied late", late_s=late_s, entries=lateness.entries, **fields)
        else:
            log.info("a plan book applied", **fields)
        return lateness

    def _terms(self, customer: int, requested: str, now_us: int) -> books.Terms | None:
        return self.compiled.terms(customer, requested, now_us) if self.compiled is not None else None

    # ---- reservations ------------------------------------------------------------------------

    def on_short(self, short: api.Short) -> None:
        now = self.node.clock.now()
        actions = self.leases.on_short(now, short.customer, short.units, short.held, short.gateways)
        self._execute(actions)

    def handle_answer(self, answer: api.CounterAnswered) -> bool:
        now = self.node.clock.now()
        actions = self.leases.handle_answer(now, answer.name, answer.outcome, answer.total)
        self._execute(actions or [])
        return actions is not None

    async def _run_ticks(self) -> None:
        while True:
            await anyio.sleep(TICK_S)
            self._execute(self.leases.tick(self.node.clock.now()))

    def _execute(self, actions: list[LeaseAction]) -> None:
        for action in actions:
            if isinstance(action, Leased):
                self.node.host.post_event(api.UnitsLeased(action.customer, action.units))
            else:
                self.node.host.start_count(action)

    # ---- status ------------------------------------------------------------------------------

    def status(self) -> dict[str, object]:
        current = self.compiled
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(self.applied_us / 1e6))
        return {
            "version": current.version if current else None,
            "tag": self.tag,
            "applied": at if current else None,
            "assignments": len(current.book.assignments) if current else 0,
            "reservations": len(current.book.reservations) if current else 0,
            "refused": self.refused,
        }


def _reservation_spec(entry: books.Reservation) -> ReservationSpec:
    start, end = books.to_micros(entry.from_, 0), books.to_micros(entry.until, 0)
    return ReservationSpec(entry.key, int(entry.customer, 16), start, end, entry.rate, entry.units)
