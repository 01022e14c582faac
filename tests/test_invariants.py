"""Invariants: counted, told once, and seen by every test; the metrics that show them."""

from millfront.invariants import Invariant, Invariants

Violations = list[tuple[Invariant, str]]


def test_a_violation_is_counted_and_told(violations: Violations) -> None:
    told: Violations = []
    invariants = Invariants(lambda invariant, detail: told.append((invariant, detail)))
    for _ in range(2):
        invariants.check(Invariant.MEMBER_NOT_REVIVED, False, "planted")
    assert invariants.violations[Invariant.MEMBER_NOT_REVIVED] == 2
    assert told == [(Invariant.MEMBER_NOT_REVIVED, "planted")]  # once in the log, however often
    assert len(violations) == 2
    violations.clear()
