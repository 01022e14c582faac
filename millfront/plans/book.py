"""The plan book: which customer is on which plan when, and what is reserved. Types, checks, a compiled form.

No I/O. A book is one JSON document with a version. The whole document is validated, and every fault listed,
before any of it takes effect. Instants are RFC 3339 with a time zone; a span includes `from` and excludes
`until`.
"""

import datetime
import hashlib
from bisect import bisect_right
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Annotated

import msgspec

from millfront import interface as api
from millfront.operators.document import Strict
from millfront.operators.faults import Fault, InvalidDocument, find_faults
from millfront.operators.slices import run_to_end

Instant = Annotated[datetime.datetime, msgspec.Meta(tz=True)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
CustomerId = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{16}$")]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Units = Annotated[float, msgspec.Meta(gt=0, le=1e6)]  # the counter's totals have seven exact digits
NO_END_US = 1 << 62
ENTRIES_PER_SLICE = 1000  # takes a few ms at most; the event loop may run between slices
MAX_CACHED = 4096  # recently looked-up pairs of customer and plan


class PlanEntry(Strict, frozen=True):
    """A plan, in the terms of the settings' Packages: units a second, units at once, attempts out at once."""

    name: Name
    rate: Amount
    burst: Amount
    open_limit: Annotated[int, msgspec.Meta(ge=0)] = 0
    worth_factor: Amount = 1.0
    over_worth: Amount = 0.0
    over_cost: Amount = 0.0
    ceiling_rate: Amount = 0.0
    ceiling_burst: Amount = 0.0
    ceiling_slack: Amount = 0.0
    from_: Instant | None = msgspec.field(default=None, name="from")
    until: Instant | None = None

    def __post_init__(self) -> None:
        if self.rate > 0 and self.burst <= 0:
            raise ValueError("burst: must be above 0 for a plan with a rate")
        if self.ceiling_rate > 0 and self.ceiling_burst <= 0:
            raise ValueError("ceiling_burst: must be above 0 for a plan with a ceiling")
        _check_order(self.from_, self.until)

    def plan(self) -> api.Plan:
        return api.Plan(
            self.rate,
            self.burst,
            self.open_limit,
            self.worth_factor,
            self.over_worth,
            self.over_cost,
            self.ceiling_rate,
            self.ceiling_burst,
            self.ceiling_slack,
        )


class Assignment(Strict, frozen=True, gc=False):
    customer: CustomerId
    plan: Name
    from_: Instant | None = msgspec.field(default=None, name="from")
    until: Instant | None = None

    def __post_init__(self) -> None:
        _check_order(self.from_, self.until)


class Reservation(Strict, frozen=True, gc=False):
    """Units above the customer's plan, over all gatekeepers together: so many a second, or so many in all."""

    name: Name
    customer: CustomerId
    from_: Instant = msgspec.field(name="from")
    until: Instant
    rate: Units | None = None
    units: Units | None = None

    def __post_init__(self) -> None:
        if (self.rate is None) == (self.units is None):
            raise ValueError("exactly one of rate and units is required")
        _check_order(self.from_, self.until)

    @property
    def key(self) -> int:
        """64-bit key, the same at every gatekeeper; counter names are derived from it."""
        return int.from_bytes(
            hashlib.blake2b(f"{self.customer}/{self.name}".encode(), digest_size=8).digest()
        )

    @property
    def mean_rate(self) -> float:
        """Units a second, averaged over the reservation's span."""
        if self.rate is not None:
            return self.rate
        return (self.units or 0.0) / max((self.until - self.from_).total_seconds(), 1.0)


class Book(Strict, frozen=True):
    version: Annotated[int, msgspec.Meta(ge=1)]
    plans: tuple[PlanEntry, ...] = ()
    assignments: tuple[Assignment, ...] = ()
    reservations: tuple[Reservation, ...] = ()
    by: str = ""  # who made this version
    note: str = ""  # what for


class _Raw(Strict, frozen=True):
    """A book whose assignments are not decoded yet."""

    version: Annotated[int, msgspec.Meta(ge=1)]
    plans: tuple[PlanEntry, ...] = ()
    assignments: tuple[msgspec.Raw, ...] = ()
    reservations: tuple[Reservation, ...] = ()
    by: str = ""
    note: str = ""


def _check_order(start: datetime.datetime | None, end: datetime.datetime | None) -> None:
    if start is not None and end is not None and end <= start:
        raise ValueError("until: must be after from")


def to_micros(at: datetime.datetime | None, default: int) -> int:
    """An instant in µs of Unix time, or the default for None."""
    return default if at is None else round(at.timestamp() * 1e6)


def empty() -> Book:
    return Book(version=1)


def encode(book: Book) -> bytes:
    return msgspec.json.format(msgspec.json.encode(book), indent=1) + b"\n"


def decode(text: bytes) -> Book:
    """Decodes a book and validates each entry; check() validates the entries together.

    :raises InvalidDocument: with every fault
    """
    return run_to_end(decode_in_slices(text))


def decode_in_slices(text: bytes) -> Iterator["Book | None"]:
    """Like decode(), in slices: yields None between them, so that the event loop can run; the book last."""
    try:
        raw = msgspec.json.decode(text, type=_Raw)
    except msgspec.ValidationError:
        raise InvalidDocument("plan book", find_faults(Book, msgspec.json.decode(text))) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidDocument("plan book", [Fault("$", f"is not JSON: {error}")]) from None
    yield None
    decoder = msgspec.json.Decoder(Assignment)
    names: dict[str, str] = {}  # plan names, shared by all assignments to save memory
    entries: list[Assignment] = []
    faults: list[Fault] = []
    for position, entry in enumerate(raw.assignments):
        try:
            assignment = decoder.decode(entry)
            msgspec.structs.force_setattr(
                assignment, "plan", names.setdefault(assignment.plan, assignment.plan)
            )
            entries.append(assignment)
        except msgspec.ValidationError:
            faults += find_faults(Assignment, msgspec.json.decode(entry), f"$.assignments[{position}]")
        if position % ENTRIES_PER_SLICE == ENTRIES_PER_SLICE - 1:
            yield None
    if faults:
        raise InvalidDocument("plan book", faults)
    yield Book(raw.version, raw.plans, tuple(entries), raw.reservations, raw.by, raw.note)


def check(book: Book, known_plans: Iterable[str], max_reserved: float) -> list[Fault]:
    """Checks that the entries are consistent with each other and with the settings; returns all faults.

    :param known_plans: names of the settings' plans, valid in addition to the book's own
    :param max_reserved: limit on the sum of reserved rates at any instant, units a second
    """
    return run_to_end(check_in_slices(book, known_plans, max_reserved))


def check_in_slices(
    book: Book, known_plans: Iterable[str], max_reserved: float
) -> Iterator[list[Fault] | None]:
    """Like check(), in slices: yields None between them and the faults last."""
    faults: list[Fault] = []
    plans = {entry.name for entry in book.plans} | set(known_plans)
    for one, other in _defined_twice(book.plans):
        why = f"plan {book.plans[one].name!r} is defined twice at one time, here and in [{other}]"
        faults.append(Fault(f"$.plans[{one}]", why))
    first: dict[str, int] = {}  # each customer's first entry; most customers have only one
    more: dict[str, list[int]] = {}
    for position, entry in enumerate(book.assignments):
        if entry.plan not in plans:
            faults.append(Fault(f"$.assignments[{position}].plan", f"no plan is named {entry.plan!r}"))
        other = first.setdefault(entry.customer, position)
        if other != position:
            others = more.setdefault(entry.customer, [other])
            for one in others:
                if _overlap(entry, book.assignments[one]):
                    why = f"customer {entry.customer} is assigned twice at one time, here and in [{one}]"
                    faults.append(Fault(f"$.assignments[{position}]", why))
            others.append(position)
        if position % ENTRIES_PER_SLICE == ENTRIES_PER_SLICE - 1:
            yield None
    by_name: dict[tuple[str, str], int] = {}
    for position, reservation in enumerate(book.reservations):
        one = by_name.setdefault((reservation.customer, reservation.name), position)
        if one != position:
            why = f"the customer has another reservation {reservation.name!r}, in [{one}]"
            faults.append(Fault(f"$.reservations[{position}].name", why))
    for start_us, rate in _excess_reservations(book.reservations, max_reserved):
        at = datetime.datetime.fromtimestamp(start_us / 1e6, datetime.UTC).isoformat()
        why = f"from {at} on they come to {rate:g} units a second; {max_reserved:g} is the most"
        faults.append(Fault("$.reservations", why))
    yield faults


def _overlap(one: PlanEntry | Assignment, other: PlanEntry | Assignment) -> bool:
    """Whether the spans of two entries overlap."""
    return to_micros(one.from_, 0) < to_micros(other.until, NO_END_US) and to_micros(
        other.from_, 0
    ) < to_micros(one.until, NO_END_US)


def _defined_twice(entries: Sequence[PlanEntry]) -> Iterator[tuple[int, int]]:
    for position, entry in enumerate(entries):
        for other, before in enumerate(entries[:position]):
            if before.name == entry.name and _overlap(entry, before):
                yield position, other


def _excess_reservations(entries: Iterable[Reservation], limit: float) -> Iterator[tuple[int, float]]:
    """The instants (µs) at which the sum of reserved rates exceeds the limit, with that sum in units/s."""
    changes: dict[int, float] = {}
    for entry in entries:
        for at, sign in ((entry.from_, 1.0), (entry.until, -1.0)):
            at_us = to_micros(at, 0)
            changes[at_us] = changes.get(at_us, 0.0) + sign * entry.mean_rate
    rate, over = 0.0, False
    for at_us in sorted(changes):
        rate += changes[at_us]
        over, was = rate > limit * (1.0 + 1e-9), over
        if over and not was:
            yield at_us, rate


# ---- compiled ------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Terms:
    """What the book grants a customer now."""

    plan: api.Plan | None  # None: the request's plan from the settings applies
    name: str
    version: int
    reserves: bool = False


@dataclass(frozen=True, slots=True)
class Lateness:
    """How many new entries of a version had already begun when it was applied, and the longest delay."""

    entries: int
    max_us: int


class CompiledBook:
    """A checked book, indexed by customer and instant. Built in slices by compile_in_slices()."""

    def __init__(self, book: Book, settings_plans: Mapping[str, api.Plan]) -> None:
        self.book = book
        self.version = book.version
        self.settings_plans = settings_plans
        self.defined: dict[str, list[tuple[int, int, api.Plan]]] = {}
        for entry in book.plans:
            span = (to_micros(entry.from_, 0), to_micros(entry.until, NO_END_US), entry.plan())
            self.defined.setdefault(entry.name, []).append(span)
        for spans in self.defined.values():
            spans.sort(key=lambda span: span[0])
        self.assigned: dict[int, Assignment | list[Assignment]] = {}
        self.reserved: dict[int, list[Reservation]] = {}
        for reservation in book.reservations:
            self.reserved.setdefault(int(reservation.customer, 16), []).append(reservation)
        self._cache: dict[tuple[int, str], tuple[int, Terms | None]] = {}

    def add(self, entry: Assignment) -> None:
        key = int(entry.customer, 16)
        before = self.assigned.get(key)
        if before is None:
            self.assigned[key] = entry
        elif isinstance(before, list):
            before.append(entry)
        else:
            self.assigned[key] = [before, entry]

    def terms(self, customer: int, requested: str, now_us: int) -> Terms | None:
        """What the book grants; None if it has no entry, so that the request and the settings decide.

        :param requested: the request's own plan
        :param now_us: Unix time, µs, by this gatekeeper's clock
        """
        cached = self._cache.get((customer, requested))
        if cached is not None and now_us < cached[0]:
            return cached[1]
        ends = [NO_END_US]
        name, assigned = requested, False
        found = self.assigned.get(customer)
        for entry in found if isinstance(found, list) else [found] if found else []:
            start, end = to_micros(entry.from_, 0), to_micros(entry.until, NO_END_US)
            if start <= now_us < end:
                name, assigned = entry.plan, True
            ends += [at for at in (start, end) if at > now_us]
        spans = self.defined.get(name, [])
        plan: api.Plan | None = None
        at = bisect_right(spans, now_us, key=lambda span: span[0]) - 1
        if at >= 0 and now_us < spans[at][1]:
            plan = spans[at][2]
        for start, end, _ in spans:
            ends += [edge for edge in (start, end) if edge > now_us]
        if plan is None and assigned:
            plan = self.settings_plans.get(name)
        reserves = False
        for reservation in self.reserved.get(customer, ()):
            start, end = to_micros(reservation.from_, 0), to_micros(reservation.until, NO_END_US)
            reserves = reserves or start <= now_us < end
            ends += [edge for edge in (start, end) if edge > now_us]
        terms = Terms(plan, name, self.version, reserves) if plan is not None or reserves else None
        if len(self._cache) >= MAX_CACHED:
            self._cache.clear()
        self._cache[(customer, requested)] = (min(ends), terms)
        return terms


def compile_in_slices(
    book: Book, settings_plans: Mapping[str, api.Plan], before: "CompiledBook | None", now_us: int
) -> Iterator[tuple[CompiledBook, Lateness] | None]:
    """Compiles a book in slices: yields None between them, and the compiled book with its lateness last.

    Unchanged plans keep their object identity, so that their customers' allowances are not carried over
    needlessly.
    """
    compiled = CompiledBook(book, settings_plans)
    if before is not None:
        same = {plan: plan for spans in before.defined.values() for _, _, plan in spans}
        for name, spans in compiled.defined.items():
            compiled.defined[name] = [(start, end, same.get(plan, plan)) for start, end, plan in spans]
    late = max_late_us = 0
    for position, entry in enumerate(book.assignments):
        compiled.add(entry)
        if entry.from_ is not None and before is not None:
            start = to_micros(entry.from_, 0)
            if start < now_us and not _was_assigned(before, entry):
                late, max_late_us = late + 1, max(max_late_us, now_us - start)
        if position % ENTRIES_PER_SLICE == ENTRIES_PER_SLICE - 1:
            yield None
    known = set(before.book.reservations) if before is not None else set()
    for reservation in book.reservations if before is not None else ():
        start = to_micros(reservation.from_, 0)
        if start < now_us and reservation not in known:
            late, max_late_us = late + 1, max(max_late_us, now_us - start)
    yield compiled, Lateness(late, max_late_us)


def _was_assigned(before: CompiledBook, entry: Assignment) -> bool:
    found = before.assigned.get(int(entry.customer, 16))
    return entry == found or (isinstance(found, list) and entry in found)


def difference(old: Book, new: Book) -> list[str]:
    """The changes from one book to another, one line each: `+` for added entries, `-` for removed ones."""
    lines = []
    for what in ("plans", "assignments", "reservations"):
        before = [msgspec.json.encode(e).decode() for e in getattr(old, what)]
        after = [msgspec.json.encode(e).decode() for e in getattr(new, what)]
        had, has = set(before), set(after)
        lines += [f"- {what}: {entry}" for entry in before if entry not in has]
        lines += [f"+ {what}: {entry}" for entry in after if entry not in had]
    return lines
