"""Violated invariants are counted, reported once, and seen by every test."""

from millfront.invariants import Invariant, Invariants

Violations = list[tuple[Invariant, str]]


def test_a_violation_is_counted_and_reported_once(violations: Violations) -> None:
    reported: Violations = []
    invariants = Invariants(lambda invariant, detail: reported.append((invariant, detail)))
    for _ in range(2):
        invariants.check(Invariant.MEMBER_NOT_REVIVED, False, "planted")
    assert invariants.violations[Invariant.MEMBER_NOT_REVIVED] == 2
    assert reported == [(Invariant.MEMBER_NOT_REVIVED, "planted")]  # once in the log, however often
    assert len(violations) == 2
    violations.clear()
