"""Decides whether a history of calls is linearizable: whether each call can be assigned a moment between its
start and its answer so that, in the order of these moments, the object returns what the callers received.

The algorithm is Wing and Gong's search with Lowe's memoisation: every step that no unplaced step must precede
is tried as the next one, and each pair of placed steps and resulting state is tried once. A call without a
clear answer may take effect at any later moment or never. A step that changes nothing is placed as early as
possible: this loses no order, unless the step would change something later (`stable`).

`Register` is the object that operators see: revision numbers with one document each, of which the highest
stored one is in force. Putting a document takes two steps, because another operator may be refused for it
before it is in force: its number is claimed, then it is stored.
"""

import math
from collections.abc import Callable, Hashable, Sequence
from dataclasses import dataclass
from typing import Any

State = Hashable
NEVER = math.inf  # end of a call without a clear answer
MAX_SETS = 400_000  # limit on the sets tried; beyond it the search gives up instead of accepting


@dataclass(frozen=True, slots=True)
class Step:
    """`apply` returns the state after the step, or None if the caller can't have received its answer then."""

    begun: float
    ended: float
    apply: Callable[[Any], State | None]
    name: str
    required: bool = True  # it took effect; False: it may have
    predecessor: int = -1  # index of the previous step of the same call
    stable: bool = True  # if it changes nothing now, it will not later: a read, or a value that only rises


class TooLong(Exception):
    """The search was abandoned."""


def linearizable(steps: Sequence[Step], first: State) -> list[str] | None:
    """None if it is; otherwise the names of the longest order found, then of the steps that could not follow.

    :raises TooLong: undecided after MAX_SETS sets
    """
    required = sum(1 << i for i, step in enumerate(steps) if step.required)
    by_end = sorted((i for i, step in enumerate(steps) if step.required), key=lambda i: steps[i].ended)
    by_begin = sorted(range(len(steps)), key=lambda i: steps[i].begun)
    visited: set[tuple[int, State]] = set()
    best: list[int] = []
    stack: list[tuple[int, State, list[int]]] = [(0, first, [])]
    while stack:
        placed, state, order = stack.pop()
        successors: list[tuple[int, State]] = []
        progressed = True
        while progressed:  # steps that change nothing are placed immediately
            progressed, successors = False, []
            limit = next((steps[i].ended for i in by_end if not placed >> i & 1), NEVER)
            for i in by_begin:
                step = steps[i]
                if step.begun > limit:
                    break
                if placed >> i & 1 or (step.predecessor >= 0 and not placed >> step.predecessor & 1):
                    continue
                then = step.apply(state)
                if then is None:
                    continue
                if then == state and step.stable:
                    placed, order, progressed = placed | 1 << i, [*order, i], True
                    break
                successors.append((i, then))
        if placed & required == required:
            return None
        if len(order) > len(best):
            best = order
        if (placed, state) in visited:
            continue
        visited.add((placed, state))
        if len(visited) > MAX_SETS:
            raise TooLong(f"{len(steps)} steps")
        stack += [(placed | 1 << i, then, [*order, i]) for i, then in reversed(successors)]
    left = [step.name for i, step in enumerate(steps) if step.required and i not in best]
    return [steps[i].name for i in best] + ["-- then none of --", *left]


@dataclass(slots=True)
class Call:
    """An operator's call: `put` of a document under a number, or `get`. `status` 0: no clear answer."""

    kind: str
    begun: float
    number: int = 0
    document: str = ""
    ended: float = NEVER
    status: int = 0


@dataclass(frozen=True, slots=True)
class Register:
    """The document that each number was claimed for, and the highest stored number."""

    claimed: frozenset[tuple[int, str]] = frozenset()
    held: int = 0

    def document_of(self, number: int) -> str | None:
        return next((document for n, document in self.claimed if n == number), None)

    def claim(self, number: int, document: str) -> "Register | None":
        claimed = self.document_of(number)
        if claimed is None:
            return Register(self.claimed | {(number, document)}, self.held)
        return self if claimed == document else None

    def store(self, number: int, document: str) -> "Register | None":
        if self.document_of(number) != document:
            return None
        return self if self.held >= number else Register(self.claimed, number)

    def refused(self, number: int, document: str) -> "Register | None":
        return self if self.document_of(number) not in (None, document) else None

    def got(self, number: int, document: str) -> "Register | None":
        return self if self.held == number and (not number or self.document_of(number) == document) else None


def fault(calls: Sequence[Call]) -> list[str] | None:
    """None if a register allows the history. A put without a clear answer counts if its effect was seen."""
    read = {(c.number, c.document) for c in calls if c.kind == "get" and c.status == 200}
    refused = {c.number for c in calls if c.status == 409}
    steps: list[Step] = []
    for call in sorted(calls, key=lambda c: c.begun):
        what = (call.number, call.document)
        name = f"{call.kind} {what} -> {call.status or 'unknown'} ({call.begun:.2f} to {call.ended:.2f})"
        span = (call.begun, call.ended)
        if call.kind == "get":
            if call.status in (200, 404):
                steps.append(Step(*span, _apply(Register.got, what), name))
        elif call.status == 409:
            steps.append(Step(*span, _apply(Register.refused, what), name))
        elif call.status == 200 or what in read or call.number in refused:
            required = call.status == 200
            steps.append(Step(*span, _apply(Register.claim, what), f"claim of {name}", required))
            claim = len(steps) - 1
            steps.append(Step(*span, _apply(Register.store, what), f"store of {name}", required, claim))
    return linearizable(steps, Register())


def _apply(
    step: Callable[[Register, int, str], Register | None], what: tuple[int, str]
) -> Callable[[Any], State | None]:
    return lambda register: step(register, *what)
