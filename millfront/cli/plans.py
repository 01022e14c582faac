"""`millfront plans`: show and change the plan book, in its file or through a gatekeeper's admin API."""

import datetime
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import msgspec

from millfront.cli import caller
from millfront.cli.exits import CONFLICT, DIFFERS, UNREACHABLE, UNUSABLE, fail, json_option, show
from millfront.operators import document
from millfront.operators.faults import Fault, InvalidDocument
from millfront.plans import book as books
from millfront.plans.book import Assignment, Book, Reservation
from millfront.plans.store import BookStore, Conflict

Change = Callable[[Book], Book]


@dataclass(frozen=True, slots=True)
class Target:
    """Where the book is stored: a file, or a gatekeeper."""

    store: BookStore | None
    admin: str | None
    max_reserved: float
    known: tuple[str, ...]

    def read(self) -> tuple[bytes, str]:
        if self.store is not None:
            return self.store.read()
        assert self.admin is not None
        answer = caller.call(self.admin, "GET", "/v1/plans")
        if answer.status == 404:
            return b"", ""
        if answer.status != 200:
            fail(UNREACHABLE, f"{self.admin}: {answer.body.decode(errors='replace').strip()}")
        return answer.body, answer.fields["etag"]

    def book(self) -> tuple[Book | None, str]:
        text, tag = self.read()
        try:
            return (books.decode(text) if tag else None), tag
        except InvalidDocument as error:
            fail(UNUSABLE, *error.faults)

    def write(self, book: Book, tag: str) -> None:
        text = books.encode(book)
        if self.store is not None:
            self._validate(book)
            try:
                self.store.write(text, book.version, tag)
            except Conflict as error:
                fail(CONFLICT, error)
            except OSError as error:
                fail(UNREACHABLE, f"{error.filename or self.store.file}: {error.strerror}")
            return
        assert self.admin is not None
        conditions = {"If_Match": tag} if tag else {"If_None_Match": "*"}
        answer = caller.call(self.admin, "PUT", "/v1/plans", text, **conditions)
        if answer.status == 200:
            return
        reply = answer.json()
        if answer.status == 412:
            fail(CONFLICT, reply["error"])
        fail(UNUSABLE if answer.status == 422 else UNREACHABLE, *reply.get("faults", [reply["error"]]))

    def _validate(self, book: Book) -> None:
        plan_names = self.known or {entry.plan for entry in book.assignments}
        if faults := books.check(book, plan_names, self.max_reserved):
            fail(UNUSABLE, *faults)


@click.group()
@click.option("--file", type=click.Path(dir_okay=False), help="The book's file.")
@click.option("--admin", envvar="MILLFRONT_ADMIN", help="A gatekeeper's admin API: unix:/PATH or HOST:PORT.")
@click.option(
    "--operator", envvar="MILLFRONT_OPERATOR", type=click.Path(dir_okay=False), help="The operators' file."
)
@click.option(
    "--plan", "known", multiple=True, help="A plan of the settings; by default any name is accepted."
)
@click.pass_context
def group(
    ctx: click.Context, file: str | None, admin: str | None, operator: str | None, known: tuple[str, ...]
) -> None:
    """Which customer has which plan when, and what is reserved."""
    max_reserved = float("inf")
    if operator is not None and (options := _plans_options(operator)) is not None:
        file = file or (None if admin else options.file)
        max_reserved = options.fleet_units_per_s * options.most_reserved_share
    if (file is None) == (admin is None):
        raise click.UsageError("one of --file and --admin is wanted, or --operator with plans")
    ctx.obj = Target(BookStore(file) if file else None, admin, max_reserved, known)


def _plans_options(operator: str) -> document.Plans | None:
    try:
        return document.parse(Path(operator).read_bytes()).plans
    except InvalidDocument as error:
        fail(UNUSABLE, *error.faults)


@group.command("show")
@click.option("--customer", help="Only this customer.")
@click.option("--at", help="Show what applies at this instant (RFC 3339); default: now.")
@json_option
@click.pass_obj
def show_book(target: Target, customer: str | None, at: str | None, as_json: bool) -> None:
    """Show the book, or its entries for one customer."""
    book, tag = target.book()
    if book is None:
        fail(DIFFERS, "there is no plan book yet")
    when = _parse_instant(at) if at else datetime.datetime.now(datetime.UTC)
    if customer is not None:
        _show_customer(book, _parse_customer(customer), when, as_json)
        return
    summary = {"version": book.version, "tag": tag, "by": book.by, "note": book.note}
    summary |= {"plans": len(book.plans), "assignments": len(book.assignments)}
    summary |= {"reservations": len(book.reservations)}
    lines = [f"{name}: {value}" for name, value in summary.items()]
    for entry in book.plans:
        lines.append(f"plan {entry.name}: {entry.rate:g} units/s, {entry.burst:g} at once{_validity(entry)}")
    for reservation in book.reservations:
        details = f"{_amount(reservation)} for {reservation.customer}"
        lines.append(f"reserved {reservation.name}: {details}{_validity(reservation)}")
    show(as_json, summary, "\n".join(lines))


def _show_customer(book: Book, customer: str, when: datetime.datetime, as_json: bool) -> None:
    assignments = [e for e in book.assignments if e.customer == customer]
    active = [e.plan for e in assignments if _is_active(e, when)]
    reserved = [r for r in book.reservations if r.customer == customer]
    summary: dict[str, Any] = {
        "customer": customer,
        "plan": active[0] if active else None,
        "version": book.version,
    }
    summary |= {"assignments": [msgspec.to_builtins(e) for e in assignments]}
    summary |= {"reservations": [msgspec.to_builtins(r) for r in reserved]}
    lines = [f"{customer}: {active[0] if active else 'as the request says'} at {when.isoformat()}"]
    lines += [f"  {e.plan}{_validity(e)}" for e in assignments]
    lines += [
        f"  reserved {r.name}: {r.rate or r.units:g}{'/s' if r.rate else ''}{_validity(r)}" for r in reserved
    ]
    show(as_json, summary, "\n".join(lines))


@group.command()
@click.argument("book_file", type=click.Path(dir_okay=False, exists=True))
@json_option
@click.pass_obj
def check(target: Target, book_file: str, as_json: bool) -> None:
    """Validate a book as the gatekeepers do, also against the reserved share. Exits with 2 on any fault."""
    faults = _faults(target, Path(book_file).read_bytes())
    show(as_json, {"sound": not faults, "faults": [str(f) for f in faults]}, "" if faults else "sound")
    if faults:
        fail(UNUSABLE, *([] if as_json else faults))


def _faults(target: Target, text: bytes) -> list[Fault]:
    try:
        book = books.decode(text)
    except InvalidDocument as error:
        return error.faults
    return books.check(book, target.known or {e.plan for e in book.assignments}, target.max_reserved)


@group.command()
@click.argument("book_file", type=click.Path(dir_okay=False, exists=True))
@json_option
@click.pass_obj
def diff(target: Target, book_file: str, as_json: bool) -> None:
    """Show what BOOK_FILE would change. Exits with 1 if it differs."""
    book, _ = target.book()
    try:
        other = books.decode(Path(book_file).read_bytes())
    except InvalidDocument as error:
        fail(UNUSABLE, *error.faults)
    lines = books.difference(book or books.empty(), other)
    show(as_json, {"changes": lines}, "\n".join(lines) or "no difference")
    if lines:
        raise click.exceptions.Exit(DIFFERS)


@group.command()
@click.argument("book_file", type=click.Path(dir_okay=False, exists=True))
@click.option("--if-match", help="Only if the book in force has this tag (`plans show`).")
@json_option
@click.pass_obj
def apply(target: Target, book_file: str, if_match: str | None, as_json: bool) -> None:
    """Put BOOK_FILE in force. Its version must be higher than that in force."""
    try:
        book = books.decode(Path(book_file).read_bytes())
    except InvalidDocument as error:
        fail(UNUSABLE, *error.faults)
    _, tag = target.read()
    if if_match is not None and if_match.strip('"') != tag.strip('"'):
        fail(CONFLICT, f"the book in force has the tag {tag}")
    target.write(book, tag)
    show(as_json, {"version": book.version}, f"version {book.version} is in force")


def _edit(target: Target, by: str, note: str, as_json: bool, change: Change) -> None:
    book, tag = target.book()
    current = book or books.empty()
    changed = change(current)
    version = current.version + 1 if book is not None else 1
    edited = msgspec.structs.replace(changed, version=version, by=by, note=note)
    target.write(edited, tag)
    lines = books.difference(current, edited)
    show(
        as_json, {"version": version, "changes": lines}, "\n".join([*lines, f"version {version} is in force"])
    )


by_option = click.option("--by", default="", help="Who makes the change; kept in the history.")
note_option = click.option("--note", default="", help="Reason for the change; kept in the history.")


@group.command()
@click.argument("customer")
@click.argument("plan", required=False)
@click.option("--from", "start", help="From this instant (RFC 3339); default: at once.")
@click.option("--until", help="Until this instant.")
@click.option("--clear", is_flag=True, help="Remove its assignments: the request's plan applies again.")
@by_option
@note_option
@json_option
@click.pass_obj
def assign(
    target: Target,
    customer: str,
    plan: str | None,
    start: str | None,
    until: str | None,
    clear: bool,
    by: str,
    note: str,
    as_json: bool,
) -> None:
    """Assign PLAN to CUSTOMER, replacing its earlier assignments for the same time."""
    key = _parse_customer(customer)
    if (plan is None) != clear:
        raise click.UsageError("expected either PLAN or --clear")
    begins, ends = _parse_instant(start) if start else None, _parse_instant(until) if until else None

    def change(book: Book) -> Book:
        others = [e for e in book.assignments if e.customer != key]
        kept = [e for e in book.assignments if e.customer == key]
        if plan is None:
            return msgspec.structs.replace(book, assignments=tuple(others))
        trimmed = [part for entry in kept for part in _outside(entry, begins, ends)]
        new_assignment = _new_entry(Assignment, customer=key, plan=plan, from_=begins, until=ends)
        return msgspec.structs.replace(book, assignments=(*others, *trimmed, new_assignment))

    _edit(target, by, note, as_json, change)


def _outside(
    entry: Assignment, start: datetime.datetime | None, end: datetime.datetime | None
) -> list[Assignment]:
    """The parts of an assignment outside [start, end)."""
    remaining = []
    if start is not None and books.to_micros(entry.from_, 0) < books.to_micros(start, 0):
        until = min(start, entry.until) if entry.until else start
        remaining.append(msgspec.structs.replace(entry, until=until))
    if end is not None and books.to_micros(end, 0) < books.to_micros(entry.until, books.NO_END_US):
        resumes = max(end, entry.from_) if entry.from_ else end
        remaining.append(msgspec.structs.replace(entry, from_=resumes))
    return remaining


@group.command()
@click.argument("name")
@click.argument("customer")
@click.option("--rate", type=float, help="Units per second in addition to the plan.")
@click.option("--units", type=float, help="Total units in addition to the plan.")
@click.option("--from", "start", required=True, help="From this instant (RFC 3339).")
@click.option("--until", required=True, help="Until this instant.")
@by_option
@note_option
@json_option
@click.pass_obj
def reserve(
    target: Target,
    name: str,
    customer: str,
    rate: float | None,
    units: float | None,
    start: str,
    until: str,
    by: str,
    note: str,
    as_json: bool,
) -> None:
    """Reserve units for CUSTOMER under NAME; replaces a reservation of that name."""
    key = _parse_customer(customer)
    reservation = _new_entry(
        Reservation,
        name=name,
        customer=key,
        from_=_parse_instant(start),
        until=_parse_instant(until),
        rate=rate,
        units=units,
    )

    def change(book: Book) -> Book:
        others = [r for r in book.reservations if (r.customer, r.name) != (key, name)]
        return msgspec.structs.replace(book, reservations=(*others, reservation))

    _edit(target, by, note, as_json, change)


@group.command()
@click.argument("name")
@click.argument("customer")
@by_option
@note_option
@json_option
@click.pass_obj
def release(target: Target, name: str, customer: str, by: str, note: str, as_json: bool) -> None:
    """Cancel a reservation; its unused units are released at once."""
    key = _parse_customer(customer)

    def change(book: Book) -> Book:
        remaining = tuple(r for r in book.reservations if (r.customer, r.name) != (key, name))
        if len(remaining) == len(book.reservations):
            fail(DIFFERS, f"{key} has no reservation {name!r}")
        return msgspec.structs.replace(book, reservations=remaining)

    _edit(target, by, note, as_json, change)


@group.command()
@json_option
@click.pass_obj
def history(target: Target, as_json: bool) -> None:
    """List the versions kept beside the book's file."""
    if target.store is None:
        raise click.UsageError("the history is kept beside the book's file: expected --file or --operator")
    versions, lines = [], []
    before = books.empty()
    for number in target.store.versions():
        try:
            book = books.decode(target.store.version(number))
        except InvalidDocument as error:
            lines.append(f"{number}: can't be read: {error}")
            versions.append({"version": number, "faults": [str(f) for f in error.faults]})
            continue
        changes = len(books.difference(before, book))
        versions.append({"version": number, "by": book.by, "note": book.note, "changes": changes})
        lines.append(f"{number}: {changes} changes by {book.by or '-'}: {book.note or '-'}")
        before = book
    show(as_json, {"versions": versions}, "\n".join(lines) or "no versions are kept")


def _new_entry(kind: Any, **fields: Any) -> Any:
    """An entry, validated like one in a document."""
    names = {f.name: f.encode_name for f in msgspec.structs.fields(kind)}
    encoded = {names[name]: value for name, value in fields.items() if value is not None}
    try:
        return msgspec.convert(encoded, kind)
    except msgspec.ValidationError as error:
        raise click.UsageError(str(error)) from None


def _parse_customer(text: str) -> str:
    try:
        return f"{int(text, 16):016x}"
    except ValueError:
        raise click.UsageError(f"customer: expected up to 16 hex digits, got {text!r}") from None


def _parse_instant(text: str) -> datetime.datetime:
    try:
        at = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise click.UsageError(
            f"expected an instant such as 2026-12-02T08:00:00+10:00, got {text!r}"
        ) from None
    if at.tzinfo is None:
        raise click.UsageError(
            f"expected an instant with a zone, as a guessed one could be hours off, got {text!r}"
        )
    return at


def _is_active(entry: Assignment, when: datetime.datetime) -> bool:
    at = books.to_micros(when, 0)
    return books.to_micros(entry.from_, 0) <= at < books.to_micros(entry.until, books.NO_END_US)


def _amount(reservation: Reservation) -> str:
    return f"{reservation.rate:g} units/s" if reservation.rate else f"{reservation.units:g} units"


def _validity(entry: Any) -> str:
    text = f" from {entry.from_.isoformat()}" if entry.from_ else ""
    return text + (f" until {entry.until.isoformat()}" if entry.until else "")
