"""The live plans of a running gatekeeper: follows the book's file, applies what is sound, leases units."""

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
from millfront.plans.book import Book, Compiled, Late
from millfront.plans.carry import carry
from millfront.plans.leases import Ask, Held, Leased, Leases
from millfront.plans.store import BookStore, tag

log = Log(__name__)

BEAT_S = 1.0
PAUSE_S = 0.001  # between two slices of a large book: guards the loop, whatever the book's size


class LivePlans:
    name = "plans"

    def __init__(self, node: Node, told: Plans) -> None:
        self.node = node
        self.told = told
        self.store = BookStore(told.file)
        self.compiled: Compiled | None = None
        self.tag = ""  # of the bytes in force
        self.applied_us = 0
        self.refused: list[str] = []  # faults of the book that is in the file and was not taken
        self._seen: tuple[int, int, int] | None = None  # of the file that was read last
        self._look = anyio.Event()
        self._changing = anyio.Lock()
        self.leases = Leases(node.config.counter is not None and node.config.settings.counter)

    @property
    def settings_plans(self) -> dict[str, api.Plan]:
        tuning = self.node.tuning
        return {name: tuning.settings.plans[place] for name, place in tuning.plans.items()}

    # ---- as a part ---------------------------------------------------------------------------

    async def start(self) -> None:
        """A book that can't be used does not keep a gatekeeper from starting: the last sound one holds."""
        self.node.take_in.live = self._terms
        self.node.host.live_plans(self, carry)
        await self._follow()
        if self.compiled is None and (last := self.store.last_good()) is not None:
            log.warning("the last sound plan book holds", version=last.version)
            await self.apply(last, tag(books.encode(last)))

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._beats)
            while True:
                with anyio.move_on_after(self.told.look_s):
                    await self._look.wait()
                self._look = anyio.Event()
                await self._follow()

    async def stop(self) -> None:
        pass

    def reload(self) -> None:
        self._seen = None
        self._look.set()

    # ---- the book ----------------------------------------------------------------------------

    @property
    def most_reserved(self) -> float:
        return self.told.fleet_units_per_s * self.told.most_reserved_share

    async def _follow(self) -> None:
        """Read the file if it is another one than before. A book that is torn or unsound changes nothing."""
        try:
            found = os.stat(self.store.file)
            seen = (found.st_ino, found.st_mtime_ns, found.st_size)
            if seen == self._seen:
                return
            text = await anyio.to_thread.run_sync(self.store.file.read_bytes)
        except OSError as wrong:
            if self._seen is not None or (self.compiled is None and not self.refused):
                log.warning("no plan book can be read", file=self.store.file, why=wrong.strerror)
                self.refused = [str(wrong.strerror)]
            self._seen = None
            return
        self._seen = seen
        found_tag = await anyio.to_thread.run_sync(tag, text)
        if self.compiled is not None and found_tag == self.tag:
            return
        try:
            book = await self.sound(text)
            await self.apply(book, found_tag)
        except InvalidDocument as wrong:
            self.refused = [str(fault) for fault in wrong.faults]
            held = self.compiled.version if self.compiled else None
            log.error("the plan book is not taken", holds=held, faults=self.refused[:10])

    async def sound(self, text: bytes) -> Book:
        """:raises Unusable: with every fault, of form and of meaning"""
        book = await run_in_slices(books.decoding(text), PAUSE_S)
        faults = await run_in_slices(books.checking(book, self.settings_plans, self.most_reserved), PAUSE_S)
        if faults:
            raise InvalidDocument("plan book", faults)
        return book

    async def apply(self, book: Book, its_tag: str) -> Late:
        """Put a checked book in force, at once for all requests that come from now on.

        :param its_tag: of the bytes that it was read from

        :raises Unusable: its version does not go up
        """
        async with self._changing:
            before = self.compiled
            if before is not None and its_tag == self.tag:
                return Late(0, 0)  # the file was looked at between its writing and this
            if before is not None and book.version <= before.version:
                why = f"{book.version} does not go up; {before.version} is in force"
                raise InvalidDocument("plan book", [Fault("$.version", why)])
            now = self.node.clock.now()
            steps = books.compiling(book, self.settings_plans, before, now)
            compiled, late = await run_in_slices(steps, PAUSE_S)
            self.compiled, self.tag, self.refused, self.applied_us = compiled, its_tag, [], now
            self._carry_out(self.leases.book(now, [_held(r) for r in book.reservations]))
        fields = {"version": book.version, "assignments": len(book.assignments), "by": book.by}
        if late.entries:
            late_s = round(late.most_us / 1e6, 3)
            log.warning("a plan book applied late", late_s=late_s, entries=late.entries, **fields)
        else:
            log.info("a plan book applied", **fields)
        return late

    def _terms(self, customer: int, named: str, now_us: int) -> books.Terms | None:
        return self.compiled.terms(customer, named, now_us) if self.compiled is not None else None

    # ---- reservations ------------------------------------------------------------------------

    def short(self, short: api.Short) -> None:
        now = self.node.clock.now()
        asks = self.leases.short(now, short.customer, short.units, short.held, short.gateways)
        self._carry_out(asks)

    def answered(self, answer: api.CounterAnswered) -> bool:
        now = self.node.clock.now()
        asks = self.leases.answered(now, answer.name, answer.outcome, answer.total)
        self._carry_out(asks or [])
        return asks is not None

    async def _beats(self) -> None:
        while True:
            await anyio.sleep(BEAT_S)
            self._carry_out(self.leases.beat(self.node.clock.now()))

    def _carry_out(self, asks: list[Ask]) -> None:
        for ask in asks:
            if isinstance(ask, Leased):
                self.node.host.tell(api.UnitsLeased(ask.customer, ask.units))
            else:
                self.node.host.start_count(ask)

    # ---- seen --------------------------------------------------------------------------------

    def status(self) -> dict[str, object]:
        held = self.compiled
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(self.applied_us / 1e6))
        return {
            "version": held.version if held else None,
            "tag": self.tag,
            "applied": at if held else None,
            "assignments": len(held.book.assignments) if held else 0,
            "reservations": len(held.book.reservations) if held else 0,
            "refused": self.refused,
        }


def _held(entry: books.Reservation) -> Held:
    start, end = books.micros(entry.from_, 0), books.micros(entry.until, 0)
    return Held(entry.key, int(entry.customer, 16), start, end, entry.rate, entry.units)
