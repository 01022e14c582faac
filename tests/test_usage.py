"""The usage ledger and its export without sockets: what crashes and faults leave behind, and what the
receiver gets."""

import errno
import itertools
import os
import random
import shutil
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from millfront.operators.document import Usage
from millfront.operators.slices import run_to_end
from millfront.usage import audit
from millfront.usage.batches import Batch, build_in_slices, parse_batch
from millfront.usage.ledger import Ledger, LedgerLocked, UnsupportedFormat, list_segments
from millfront.usage.receiver import BatchReceiver
from millfront.usage.records import Gap, Head, Kind, Opened, Result, Scan, Settled, encode_frame, read_records
from millfront.usage.sending import Answer, ExportState, PendingBatch, StepKind
from millfront.usage.sinks import compress

SECOND = 1_000_000
NAMES = itertools.count(1)


class Clock:
    def __init__(self) -> None:
        self.us = 1_700_000_000 * SECOND

    def __call__(self) -> int:
        return self.us


def entry(clock: Clock, guess: float = 2.0, customer: int = 7) -> Opened:
    return Opened(clock.us, f"{next(NAMES):x}", customer, "casual", 3, "page-fetch", 0, guess)


def ledger(folder: Path, clock: Clock, **told: Any) -> Ledger:
    return Ledger(folder, "n0", Usage(str(folder), **({"period_s": 60} | told)), clock)


def record_attempt(made: Ledger, clock: Clock, units: float = 3.0, result: Result = Result.TOLD) -> None:
    held = entry(clock)
    made.record_settled(made.record_opened(held), held, result, units)


def batch_of(made: Ledger) -> Batch:
    segment = made.oldest_sealed()
    assert segment is not None
    return run_to_end(build_in_slices(segment.path.read_bytes(), segment.first, segment.next_seq, 60))


def make_lasting(made: Ledger) -> None:
    pending = list(made.unsynced)
    made.sync()
    made.mark_synced(pending)


# ---- records


def a_segment(count: int = 12) -> tuple[bytes, list[int]]:
    clock = Clock()
    frames = [encode_frame(Kind.HEAD, 0, Head(1, "l", "n0", clock.us, "", []))]
    for seq in range(1, count):
        held = Opened(clock.us, f"{seq:x}", 7, "casual", 3, "page-fetch", 0, 2.0)
        what = held if seq % 2 else Settled(seq - 1, clock.us, 0, 2.5, held)
        frames.append(encode_frame(Kind.OPENED if seq % 2 else Kind.SETTLED, seq, what))
    ends = list(itertools.accumulate(len(f) for f in frames))
    return b"".join(frames), ends


def test_a_segment_cut_at_any_byte_keeps_every_complete_record_before_the_cut() -> None:
    data, ends = a_segment()
    for cut in range(len(data) + 1):
        scan = Scan()
        seqs = [seq for _, seq, _ in read_records(data[:cut], scan)]
        assert seqs == list(range(sum(end <= cut for end in ends)))
        assert scan.torn_bytes == cut - scan.end and not scan.missing


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_flipped_bits_lose_the_records_they_lie_in_and_name_them(data: st.DataObject) -> None:
    text, ends = a_segment()
    spoilt = bytearray(text)
    hit = set()
    for _ in range(data.draw(st.integers(1, 3))):
        at = data.draw(st.integers(0, len(text) - 1))
        spoilt[at] ^= 1 << data.draw(st.integers(0, 7))
        hit.add(sum(end <= at for end in ends))
    sound = {seq: record for _, seq, record in read_records(text, Scan())}
    scan = Scan()
    got = {seq: record for _, seq, record in read_records(bytes(spoilt), scan)}
    assert all(sound[seq] == record for seq, record in got.items())
    lost = set(sound) - set(got)
    assert lost <= hit
    named = {seq for first, last in scan.missing for seq in range(first, last + 1)}
    assert {seq for seq in lost if got and min(got) < seq < max(got)} == named


# ---- the ledger through crashes and faults


def test_a_crash_at_any_byte_bills_each_attempt_once(tmp_path: Path) -> None:
    clock = Clock()
    made = ledger(tmp_path / "a", clock)
    made.open()
    for units in (1.0, 2.0):
        record_attempt(made, clock, units)
    out = entry(clock, guess=5.0)
    made.record_opened(out)
    (segment,) = list_segments(made.folder)
    data = segment.path.read_bytes()
    made.close()
    for cut in range(0, len(data) + 1, 7):
        folder = tmp_path / f"c{cut}"
        shutil.copytree(made.folder, folder)
        os.truncate(folder / segment.path.name, cut)
        whole = {seq: record for _, seq, record in read_records(data[:cut], Scan())}
        opened = {seq for seq, record in whole.items() if isinstance(record, Opened)}
        settled = {
            record.opened_seq: record.units for record in whole.values() if isinstance(record, Settled)
        }
        again = ledger(folder, clock)
        found = again.open()
        assert found.abandoned == len(opened - set(settled))
        again.finish()
        again.close()
        bills: Counter[int] = Counter()
        for part in list_segments(folder):
            for _, _, record in read_records(part.path.read_bytes(), Scan()):
                if isinstance(record, Settled):
                    bills[record.opened_seq] += 1
        assert set(bills) == opened and set(bills.values()) <= {1}


@pytest.mark.parametrize("where", ["os.rename", "os.open", "os.write"])
def test_a_rotation_that_dies_anywhere_leaves_the_old_segment_or_the_new(
    tmp_path: Path, where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Died(BaseException):
        pass

    clock = Clock()
    made = ledger(tmp_path, clock)
    made.open()
    record_attempt(made, clock)
    out = entry(clock, guess=4.0)
    made.record_opened(out)

    def dies(*_: object, **__: object) -> None:
        raise Died

    with monkeypatch.context() as patched:
        patched.setattr(where, dies)
        with pytest.raises(Died):
            made.seal()
    made.close()
    again = ledger(tmp_path, clock)
    assert again.open().abandoned == 1
    assert not list(tmp_path.glob("*.new"))
    again.close()
    assert audit.read_ledger(tmp_path).faults == []


def test_a_death_between_receipt_and_removal_sends_nothing_twice(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Died(BaseException):
        pass

    def dies(*_: object, **__: object) -> None:
        raise Died

    clock = Clock()
    made = ledger(tmp_path, clock)
    made.open()
    record_attempt(made, clock)
    made.seal()
    make_lasting(made)
    batch = batch_of(made)
    with monkeypatch.context() as patched:
        patched.setattr(Path, "unlink", dies)
        with pytest.raises(Died):
            made.record_receipt(batch)
    made.close()
    assert len(list_segments(tmp_path)) == 2
    again = ledger(tmp_path, clock)
    again.open()
    assert [segment.first for segment in again.sealed] == [batch.last + 1]
    assert again.acknowledged == batch.last
    again.close()


def test_two_exporters_of_one_ledger_bill_it_once(tmp_path: Path) -> None:
    clock, receiving = Clock(), BatchReceiver()
    made = ledger(tmp_path / "one", clock)
    made.open()
    for _ in range(3):
        record_attempt(made, clock, units=2.0)
        made.seal()
    make_lasting(made)
    made.close()
    shutil.copytree(tmp_path / "one", tmp_path / "two")  # the lock does not cover a copy
    both = [ledger(tmp_path / name, clock) for name in ("one", "two")]
    for each in both:
        each.open()
    for _ in range(3):
        for each in both:
            batch = batch_of(each)
            status, said = receiving.put(batch.name, batch.digest, compress(batch.text))
            assert status in (200, 201) and said["digest"] == batch.digest
            each.record_receipt(batch)
    assert sum(sum(lines.values()) for lines in receiving.totals.values()) == 6_000_000
    for each in both:
        each.close()


def test_a_disk_that_is_full_or_fails_loses_nothing_silently(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = Clock()
    made = ledger(tmp_path, clock)
    made.open()
    before = entry(clock)
    seq = made.record_opened(before)
    write = os.write
    with monkeypatch.context() as patched:
        # half of a record fits: it must not stay in the middle of the segment
        patched.setattr(os, "write", lambda fd, data: write(fd, data[: len(data) // 2]))
        made.record_settled(seq, before, Result.TOLD, 6.0)
        assert made.fault

        def full(fd: int, data: bytes) -> int:
            raise OSError(errno.ENOSPC, "No space left on device")

        patched.setattr(os, "write", full)
        record_attempt(made, clock, units=2.0)
        record_attempt(made, clock, units=0.0, result=Result.NEVER)
        made.tick()
        assert made.status()["fault"] == "No space left on device"
        assert (made.unrecorded_tries, made.unrecorded_units) == (1, 2.0)
    made.tick()
    record_attempt(made, clock, units=1.0)
    made.finish()
    head, lines = parse_batch(batch_of(made).text)
    # The 6 units were kept in memory meanwhile
    assert [(line.tries, line.units) for line in lines] == [(2, 7.0)]
    assert (head.unrecorded_tries, head.unrecorded_units) == (1, 2.0)
    made.close()
    assert audit.read_ledger(tmp_path).faults == []


def test_at_most_bytes_the_ledger_stops_recording_and_reports_it(tmp_path: Path) -> None:
    clock = Clock()
    made = ledger(tmp_path, clock, most_bytes=131072, segment_bytes=65536)
    made.open()
    for _ in range(1500):
        record_attempt(made, clock, units=1.0)
        made.tick()
    assert made.status()["fault"] == "full" and 0 < made.unrecorded_tries < 1000
    make_lasting(made)
    while made.oldest_sealed() is not None:
        made.record_receipt(batch_of(made))
    record_attempt(made, clock)
    made.tick()
    assert made.status()["fault"] == ""
    made.close()


def test_a_second_process_a_newer_format_and_a_clock_that_steps_back(tmp_path: Path) -> None:
    clock = Clock()
    made = ledger(tmp_path, clock)
    made.open()
    with pytest.raises(LedgerLocked):
        ledger(tmp_path, clock).open()
    record_attempt(made, clock)
    made.close()
    late = clock.us
    clock.us -= 3600 * SECOND
    again = ledger(tmp_path, clock)
    again.open()
    record_attempt(again, clock)
    again.finish()
    times = [
        record.at_us
        for part in list_segments(tmp_path)
        for _, _, record in read_records(part.path.read_bytes(), Scan())
        if isinstance(record, Settled)
    ]
    assert min(times) >= late  # never in a period that is billed already
    again.close()
    identity = tmp_path / "ledger.json"
    identity.write_text('{"format": 99, "ledger": "x"}')
    with pytest.raises(UnsupportedFormat, match="format 99"):
        ledger(tmp_path, clock).open()
    identity.write_text('{"format": 0, "ledger": "0123456789abcdef"}')
    older = ledger(tmp_path, clock)
    older.open()  # upgraded in place, with the same identity
    assert older.id == "0123456789abcdef" and '"format": 1' in identity.read_text()
    older.close()


def test_an_audit_finds_changed_records_and_receipts(tmp_path: Path) -> None:
    clock = Clock()
    made = ledger(tmp_path, clock)
    made.open()
    for _ in range(3):
        for _ in range(4):
            record_attempt(made, clock)
        made.seal()
    make_lasting(made)
    made.record_receipt(batch_of(made))
    made.close()
    assert audit.read_ledger(tmp_path).faults == []
    middle = list_segments(tmp_path)[0].path
    data = bytearray(middle.read_bytes())
    data[len(data) // 2] ^= 4
    middle.write_bytes(data)
    receipts = tmp_path / "receipts.jsonl"
    receipts.write_bytes(receipts.read_bytes().replace(b'"tries":4', b'"tries":5'))
    found = " | ".join(audit.read_ledger(tmp_path).faults)
    assert "are damaged" in found and "the chain is broken here" in found


# ---- batches and sending


def test_a_rebuilt_batch_is_the_same_and_keeps_standings_and_figures_apart(
    tmp_path: Path,
) -> None:
    clock = Clock()
    made = ledger(tmp_path, clock)
    made.open()
    for result, units in ((Result.TOLD, 0.1), (Result.TOLD, 0.2), (Result.GUESSED, 2.0), (Result.NEVER, 0.0)):
        record_attempt(made, clock, units, result)
    held = msgspec.structs.replace(entry(clock), standing=1)
    made.record_settled(made.record_opened(held), held, Result.TOLD, 4.0)
    clock.us += 61 * SECOND
    record_attempt(made, clock, 1.0)
    made.finish()
    one, other = batch_of(made), batch_of(made)
    assert one == other
    head, lines = parse_batch(one.text)
    assert (head.tries, head.units, head.never_ran) == (5, 7.3, 1)
    said = [(line.standing, line.figure, line.tries, line.units) for line in lines]
    expected = [("inside", "guessed", 1, 2.0), ("inside", "told", 2, 0.3), ("reserved", "told", 1, 4.0)]
    assert said == [*expected, ("inside", "told", 1, 1.0)]
    assert lines[-1].period - lines[0].period == 60
    made.close()


def test_after_an_incomplete_answer_the_mark_is_read_and_the_batch_sent_again() -> None:
    sending = ExportState(1.0, 8.0, random.Random(1))
    offer = PendingBatch("b", 9, "d", 4)
    assert sending.next_step(0, False).kind is StepKind.IDLE
    assert sending.next_step(0, True).kind is StepKind.ASK_MARK
    sending.handle_mark(0, Answer(404))
    now = 0
    for answer in (Answer(0), Answer(500), Answer(200, "d", 2), Answer(200, "other", 4), Answer(409)):
        assert sending.next_step(now, True).kind is StepKind.SEND
        assert not sending.handle_answer(now, offer, answer) and sending.last_error
        step = sending.next_step(now, True)
        assert step.kind is StepKind.WAIT and step.until_us - now <= 8 * SECOND
        now = step.until_us
        assert sending.next_step(now, True).kind is StepKind.ASK_MARK
        sending.handle_mark(now, Answer(200, next_seq=5))
    assert sending.acknowledged == 4 and (sending.partial_answers, sending.conflicts) == (2, 1)
    assert (
        sending.handle_answer(now, offer, Answer(201, "d", 4))
        and sending.acknowledged == 9
        and not sending.last_error
    )
    sending.handle_answer(now, offer, Answer(503, retry_after_s=120.0))
    assert sending.next_step(now, True).until_us - now == 120 * SECOND


class Export(RuleBasedStateMachine):
    """A ledger, its exporter and a receiver, each of which may fail at any step; and the process may die at
    any."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = Path(ROOT_FOLDER) / f"{next(NAMES)}"
        self.clock = Clock()
        self.receiving = BatchReceiver()
        self.tally = 0  # millionths billed
        self.out: dict[int, Opened] = {}
        self.born()

    def born(self) -> None:
        self.made = ledger(self.folder, self.clock, segment_s=5.0)
        found = self.made.open()
        assert found.abandoned == len(self.out)
        self.tally += sum(round(held.guess * 1e6) for held in self.out.values())
        self.out = {}
        self.sending = ExportState(0.1, 1.0, random.Random(1))

    @rule(units=st.floats(0.1, 8.0))
    def a_try_begins(self, units: float) -> None:
        held = entry(self.clock, guess=round(units, 2))
        self.out[self.made.record_opened(held)] = held

    @rule(data=st.data(), units=st.floats(0.1, 8.0), result=st.sampled_from(list(Result)[:3]))
    def a_try_ends(self, data: st.DataObject, units: float, result: Result) -> None:
        if self.out:
            seq = data.draw(st.sampled_from(sorted(self.out)))
            held = self.out.pop(seq)
            billed = {Result.TOLD: round(units, 2), Result.GUESSED: held.guess}.get(result, 0.0)
            self.made.record_settled(seq, held, result, billed)
            self.tally += round(billed * 1e6)

    @rule(seconds=st.integers(1, 9))
    def time_passes(self, seconds: int) -> None:
        self.clock.us += seconds * SECOND
        self.made.tick()

    @rule()
    def is_synced(self) -> None:
        make_lasting(self.made)

    @rule(fault=st.sampled_from(["", "lost before", "lost after", "half", "error after"]))
    def exports(self, fault: str) -> None:
        step = self.sending.next_step(self.clock.us, self.made.oldest_sealed() is not None)
        if step.kind is StepKind.ASK_MARK:
            ledger_name = f"n0.{self.made.id}"
            status, said = self.receiving.mark(ledger_name)
            self.sending.handle_mark(self.clock.us, Answer(status, next_seq=said.get("next", -1)))
        elif step.kind is StepKind.SEND:
            batch = batch_of(self.made)
            if self.sending.acknowledged >= batch.last:
                self.made.record_receipt(batch)
                return
            told = Answer(0)
            if fault != "lost before":
                status, said = self.receiving.put(batch.name, batch.digest, compress(batch.text))
                told = Answer(status, said.get("digest", ""), said.get("lines", -1))
                told = {"lost after": Answer(0), "error after": Answer(500)}.get(fault, told)
                if fault == "half":
                    told = Answer(told.status, told.digest, told.lines - 1)
            offer = PendingBatch(batch.name, batch.last, batch.digest, batch.lines)
            if self.sending.handle_answer(self.clock.us, offer, told):
                self.made.record_receipt(batch)

    @rule(torn=st.integers(0, 40), receipt_torn=st.booleans())
    def dies(self, torn: int, receipt_torn: bool) -> None:
        """Killed, perhaps within a write of either file."""
        path = self.made._segment_path
        self.made.close()
        with open(path, "ab") as file:
            held = Settled(0, self.clock.us, 0, 1.0, entry(self.clock))
            file.write(encode_frame(Kind.SETTLED, self.made.next_seq, held)[:torn])
        if receipt_torn:
            with open(self.folder / "receipts.jsonl", "ab") as file:
                file.write(b'{"batch":"n0.')
        self.born()

    @invariant()
    def nothing_is_doubled(self) -> None:
        assert sum(sum(lines.values()) for lines in self.receiving.totals.values()) <= self.tally

    def teardown(self) -> None:
        for seq, held in self.out.items():
            self.made.record_settled(seq, held, Result.GUESSED, held.guess)
            self.tally += round(held.guess * 1e6)
        self.made.finish()
        for _ in range(200):
            self.clock.us += 2 * SECOND
            self.exports("")
            if self.made.oldest_sealed() is None:
                break
        arrived = sum(sum(lines.values()) for lines in self.receiving.totals.values())
        assert arrived == self.tally
        self.made.close()
        seen = audit.read_ledger(self.folder)
        assert seen.faults == []
        shutil.rmtree(self.folder)


ROOT_FOLDER = ""


def test_no_unit_is_lost_or_doubled_whatever_fails_and_whenever_it_dies(tmp_path: Path) -> None:
    global ROOT_FOLDER
    ROOT_FOLDER = str(tmp_path)
    checks = [HealthCheck.too_slow, HealthCheck.data_too_large]
    run_state_machine_as_test(
        Export,
        settings=settings(
            max_examples=40, stateful_step_count=40, deadline=None, suppress_health_check=checks
        ),
    )


@pytest.mark.parametrize(
    ("name", "change", "status"),
    [
        ("", {}, 201),
        ("nonsense", {}, 400),
        ("", {"digest": "0" * 64}, 400),
        ("", {"data": b"junk"}, 400),
    ],
)
def test_a_receiver_takes_a_whole_batch_or_nothing(
    tmp_path: Path, name: str, change: dict[str, Any], status: int
) -> None:
    clock = Clock()
    made = ledger(tmp_path / "ledger", clock)
    made.open()
    record_attempt(made, clock)
    made.finish()
    batch = batch_of(made)
    made.close()
    call: dict[str, Any] = {"name": name or batch.name, "digest": batch.digest, "data": compress(batch.text)}
    receiving = BatchReceiver(tmp_path / "kept")
    assert receiving.put(**call | change)[0] == status
    if status == 201:
        assert receiving.put(**call)[0] == 200
        assert receiving.put(**call | {"digest": "0" * 64})[0] == 409
        again = BatchReceiver(tmp_path / "kept")  # after a restart
        assert again.put(**call)[0] == 200 and again.marks == receiving.marks
    else:
        assert not receiving.digests


def test_gaps_are_read_as_they_were_written() -> None:
    data = encode_frame(Kind.GAP, 5, Gap(1, 2, 3.5))
    assert [record for _, _, record in read_records(data, Scan())] == [Gap(1, 2, 3.5)]
