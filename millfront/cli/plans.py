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
    """Where the book is: a file, or a gatekeeper."""

    store: BookStore | None
    admin: str | None
    most_reserved: float
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
        except InvalidDocument as wrong:
            fail(UNUSABLE, *wrong.faults)

    def write(self, book: Book, tag: str) -> None:
        text = books.encode(book)
        if self.store is not None:
            self._sound(book)
            try:
                self.store.write(text, book.version, tag)
            except Conflict as wrong:
                fail(CONFLICT, wrong)
            except OSError as wrong:
                fail(UNREACHABLE, f"{wrong.filename or self.store.file}: {wrong.strerror}")
            return
        assert self.admin is not None
        held = {"If_Match": tag} if tag else {"If_None_Match": "*"}
        answer = caller.call(self.admin, "PUT", "/v1/plans", text, **held)
        if answer.status == 200:
            return
        told = answer.json()
        if answer.status == 412:
            fail(CONFLICT, told["error"])
        fail(UNUSABLE if answer.status == 422 else UNREACHABLE, *told.get("faults", [told["error"]]))

    def _sound(self, book: Book) -> None:
        named = self.known or {entry.plan for entry in book.assignments}
        if faults := books.check(book, named, self.most_reserved):
            fail(UNUSABLE, *faults)


@click.group()
@click.option("--file", type=click.Path(dir_okay=False), help="The book's file.")
@click.option("--admin", envvar="MILLFRONT_ADMIN", help="A gatekeeper's admin API: unix:/PATH or HOST:PORT.")
@click.option(
    "--operator", envvar="MILLFRONT_OPERATOR", type=click.Path(dir_okay=False), help="The operators' file."
)
@click.option("--plan", "known", multiple=True, help="A plan of the settings; where not told, any.")
@click.pass_context
def group(
    ctx: click.Context, file: str | None, admin: str | None, operator: str | None, known: tuple[str, ...]
) -> None:
    """Who holds which plan when, and what is reserved."""
    most = float("inf")
    if operator is not None and (told := _told(operator)) is not None:
        file = file or (None if admin else told.file)
        most = told.fleet_units_per_s * told.most_reserved_share
    if (file is None) == (admin is None):
        raise click.UsageError("one of --file and --admin is wanted, or --operator with plans")
    ctx.obj = Target(BookStore(file) if file else None, admin, most, known)


def _told(operator: str) -> document.Plans | None:
    try:
        return document.parse(Path(operator).read_bytes()).plans
    except InvalidDocument as wrong:
        fail(UNUSABLE, *wrong.faults)


@group.command("show")
@click.option("--customer", help="Only this customer.")
@click.option("--at", help="What holds at this instant (RFC 3339); now where not told.")
@json_option
@click.pass_obj
def show_book(target: Target, customer: str | None, at: str | None, as_json: bool) -> None:
    """The book, or what it says of one customer."""
    book, tag = target.book()
    if book is None:
        fail(DIFFERS, "there is no plan book yet")
    when = _instant(at) if at else datetime.datetime.now(datetime.UTC)
    if customer is not None:
        _show_customer(book, _customer(customer), when, as_json)
        return
    told = {"version": book.version, "tag": tag, "by": book.by, "note": book.note}
    told |= {"plans": len(book.plans), "assignments": len(book.assignments)}
    told |= {"reservations": len(book.reservations)}
    lines = [f"{name}: {value}" for name, value in told.items()]
    for entry in book.plans:
        lines.append(f"plan {entry.name}: {entry.rate:g} units/s, {entry.burst:g} at once{_span(entry)}")
    for reservation in book.reservations:
        much = f"{_much(reservation)} for {reservation.customer}"
        lines.append(f"reserved {reservation.name}: {much}{_span(reservation)}")
    show(as_json, told, "\n".join(lines))


def _show_customer(book: Book, customer: str, when: datetime.datetime, as_json: bool) -> None:
    found = [e for e in book.assignments if e.customer == customer]
    now = [e.plan for e in found if _runs(e, when)]
    reserved = [r for r in book.reservations if r.customer == customer]
    told: dict[str, Any] = {"customer": customer, "plan": now[0] if now else None, "version": book.version}
    told |= {"assignments": [msgspec.to_builtins(e) for e in found]}
    told |= {"reservations": [msgspec.to_builtins(r) for r in reserved]}
    lines = [f"{customer}: {now[0] if now else 'as the request says'} at {when.isoformat()}"]
    lines += [f"  {e.plan}{_span(e)}" for e in found]
    lines += [
        f"  reserved {r.name}: {r.rate or r.units:g}{'/s' if r.rate else ''}{_span(r)}" for r in reserved
    ]
    show(as_json, told, "\n".join(lines))


@group.command()
@click.argument("book_file", type=click.Path(dir_okay=False, exists=True))
@json_option
@click.pass_obj
def check(target: Target, book_file: str, as_json: bool) -> None:
    """Check a book as the gatekeepers would, also against the reserved share. Exits with 2 on any fault."""
    faults = _faults(target, Path(book_file).read_bytes())
    show(as_json, {"sound": not faults, "faults": [str(f) for f in faults]}, "" if faults else "sound")
    if faults:
        fail(UNUSABLE, *([] if as_json else faults))


def _faults(target: Target, text: bytes) -> list[Fault]:
    try:
        book = books.decode(text)
    except InvalidDocument as wrong:
        return wrong.faults
    return books.check(book, target.known or {e.plan for e in book.assignments}, target.most_reserved)


@group.command()
@click.argument("book_file", type=click.Path(dir_okay=False, exists=True))
@json_option
@click.pass_obj
def diff(target: Target, book_file: str, as_json: bool) -> None:
    """What BOOK_FILE would change. Exits with 1 where it differs."""
    book, _ = target.book()
    try:
        other = books.decode(Path(book_file).read_bytes())
    except InvalidDocument as wrong:
        fail(UNUSABLE, *wrong.faults)
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
    """Put BOOK_FILE in force. Its version must go up."""
    try:
        book = books.decode(Path(book_file).read_bytes())
    except InvalidDocument as wrong:
        fail(UNUSABLE, *wrong.faults)
    _, tag = target.read()
    if if_match is not None and if_match.strip('"') != tag.strip('"'):
        fail(CONFLICT, f"the book in force has the tag {tag}")
    target.write(book, tag)
    show(as_json, {"version": book.version}, f"version {book.version} is in force")


def _edit(target: Target, by: str, note: str, as_json: bool, change: Change) -> None:
    book, tag = target.book()
    held = book or books.empty()
    changed = change(held)
    version = held.version + 1 if book is not None else 1
    made = msgspec.structs.replace(changed, version=version, by=by, note=note)
    target.write(made, tag)
    lines = books.difference(held, made)
    show(
        as_json, {"version": version, "changes": lines}, "\n".join([*lines, f"version {version} is in force"])
    )


by_option = click.option("--by", default="", help="Who makes the change; kept in the history.")
note_option = click.option("--note", default="", help="What for; kept in the history.")


@group.command()
@click.argument("customer")
@click.argument("plan", required=False)
@click.option("--from", "start", help="From this instant (RFC 3339); at once where not told.")
@click.option("--until", help="Until this instant.")
@click.option("--clear", is_flag=True, help="Drop its assignments: the request's plan holds again.")
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
    """Put CUSTOMER on PLAN. What it was assigned for the same time before gives way."""
    key = _customer(customer)
    if (plan is None) != clear:
        raise click.UsageError("PLAN or --clear is wanted")
    begins, ends = _instant(start) if start else None, _instant(until) if until else None

    def change(book: Book) -> Book:
        others = [e for e in book.assignments if e.customer != key]
        kept = [e for e in book.assignments if e.customer == key]
        if plan is None:
            return msgspec.structs.replace(book, assignments=tuple(others))
        cut = [part for entry in kept for part in _without(entry, begins, ends)]
        made = _made(Assignment, customer=key, plan=plan, from_=begins, until=ends)
        return msgspec.structs.replace(book, assignments=(*others, *cut, made))

    _edit(target, by, note, as_json, change)


def _without(
    entry: Assignment, begins: datetime.datetime | None, ends: datetime.datetime | None
) -> list[Assignment]:
    """What is left of an assignment outside [begins, ends)."""
    left = []
    if begins is not None and books.to_micros(entry.from_, 0) < books.to_micros(begins, 0):
        until = min(begins, entry.until) if entry.until else begins
        left.append(msgspec.structs.replace(entry, until=until))
    if ends is not None and books.to_micros(ends, 0) < books.to_micros(entry.until, books.NO_END_US):
        start = max(ends, entry.from_) if entry.from_ else ends
        left.append(msgspec.structs.replace(entry, from_=start))
    return left


@group.command()
@click.argument("name")
@click.argument("customer")
@click.option("--rate", type=float, help="Units a second above the plan.")
@click.option("--units", type=float, help="Units in all above the plan.")
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
    """Reserve allowance for CUSTOMER under NAME; one of that name is replaced."""
    key = _customer(customer)
    made = _made(
        Reservation,
        name=name,
        customer=key,
        from_=_instant(start),
        until=_instant(until),
        rate=rate,
        units=units,
    )

    def change(book: Book) -> Book:
        others = [r for r in book.reservations if (r.customer, r.name) != (key, name)]
        return msgspec.structs.replace(book, reservations=(*others, made))

    _edit(target, by, note, as_json, change)


@group.command()
@click.argument("name")
@click.argument("customer")
@by_option
@note_option
@json_option
@click.pass_obj
def release(target: Target, name: str, customer: str, by: str, note: str, as_json: bool) -> None:
    """Cancel a reservation; what is not used of it is given back at once."""
    key = _customer(customer)

    def change(book: Book) -> Book:
        left = tuple(r for r in book.reservations if (r.customer, r.name) != (key, name))
        if len(left) == len(book.reservations):
            fail(DIFFERS, f"{key} has no reservation {name!r}")
        return msgspec.structs.replace(book, reservations=left)

    _edit(target, by, note, as_json, change)


@group.command()
@json_option
@click.pass_obj
def history(target: Target, as_json: bool) -> None:
    """The versions kept beside the book's file."""
    if target.store is None:
        raise click.UsageError("the history lies beside the book's file: --file or --operator is wanted")
    told, lines = [], []
    before = books.empty()
    for number in target.store.versions():
        try:
            book = books.decode(target.store.version(number))
        except InvalidDocument as wrong:
            lines.append(f"{number}: can't be read: {wrong}")
            told.append({"version": number, "faults": [str(f) for f in wrong.faults]})
            continue
        changes = len(books.difference(before, book))
        told.append({"version": number, "by": book.by, "note": book.note, "changes": changes})
        lines.append(f"{number}: {changes} changes by {book.by or '-'}: {book.note or '-'}")
        before = book
    show(as_json, {"versions": told}, "\n".join(lines) or "no versions are kept")


def _made(kind: Any, **fields: Any) -> Any:
    """An entry, checked as one in a document is."""
    names = {f.name: f.encode_name for f in msgspec.structs.fields(kind)}
    told = {names[name]: value for name, value in fields.items() if value is not None}
    try:
        return msgspec.convert(told, kind)
    except msgspec.ValidationError as wrong:
        raise click.UsageError(str(wrong)) from None


def _customer(text: str) -> str:
    try:
        return f"{int(text, 16):016x}"
    except ValueError:
        raise click.UsageError(f"{text!r} is no customer: up to 16 hex digits are wanted") from None


def _instant(text: str) -> datetime.datetime:
    try:
        at = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise click.UsageError(f"{text!r} is no instant: 2026-12-02T08:00:00+10:00 is one") from None
    if at.tzinfo is None:
        raise click.UsageError(f"{text!r} names no zone: guards against a change hours off")
    return at


def _runs(entry: Assignment, when: datetime.datetime) -> bool:
    at = books.to_micros(when, 0)
    return books.to_micros(entry.from_, 0) <= at < books.to_micros(entry.until, books.NO_END_US)


def _much(reservation: Reservation) -> str:
    return f"{reservation.rate:g} units/s" if reservation.rate else f"{reservation.units:g} units"


def _span(entry: Any) -> str:
    said = f" from {entry.from_.isoformat()}" if entry.from_ else ""
    return said + (f" until {entry.until.isoformat()}" if entry.until else "")
