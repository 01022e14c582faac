"""Delta encoding of two versions of a text. No I/O, no clock.

A delta is a list of steps: ``[start, length]`` copies characters of the earlier text, a string stands for
itself. Both texts are walked side by side; where they part, the walk goes on at the next end of an entry
(``},`` or a line's end) of the later text whose continuation the earlier one has near. So a changed, added or
removed entry costs little more than itself, and of what is equal nothing is copied or kept. The later text
comes back character for character, or an error: who applies a delta checks the digest of what came out.
"""

import re
from typing import Any

from result import Err, Ok, Result

from millfront.register.values import digest_of

Steps = list[Any]
ENTRY_END = re.compile(r"\},|\n")
ANCHOR_CHARS = 96  # characters that must be equal for the walk to go on there: an entry's begin with its name
SEARCH_WINDOWS = (4096, 65536)  # how far is looked for it: a few entries, then a few hundred
MAX_CANDIDATES = 64  # ends of entries in a window
MIN_COPY_CHARS = 24  # characters: a shorter copy costs as much as the text


class DeltaError(Exception):
    """A delta that does not fit the text, or does not give what it should."""


def difference(old: str, new: str, most: int) -> Steps | None:
    """The steps from `old` to `new`; None: it would take more than `most` characters on a line.

    >>> old = "".join(f'{{"route": {n}, "target": "somewhere"}},' for n in range(100))
    >>> difference(old, old.replace('"route": 50,', '"route": 50, "public": true,'), 1000)
    [[0, 1855], 'public": true, "target": "somewhere"},', [1877, 1813]]
    >>> difference("", "new", 20), difference("old", "old", 20), difference("old", "n" * 20, 20)
    (['new'], [[0, 3]], None)
    """
    steps: Steps = []
    i = j = taken = 0
    while j < len(new):
        same = _common_length(old, i, new, j)
        if same:
            steps.append([i, same])
            i, j = i + same, j + same
        if j == len(new):
            break
        to_i, to_j = _resync(old, i, new, j)
        steps.append(new[j:to_j])
        taken += to_j - j
        if taken > most:
            return None
        i, j = to_i, to_j
    made = _merged(steps, old)
    return made if wire_size(made) <= most else None


def apply(old: str, steps: Steps, most: int) -> Result[str, DeltaError]:
    """:param most: characters that may come out

    >>> apply("one two", [[0, 4], "three"], 100).unwrap()
    'one three'
    >>> str(apply("one", [[2, 5]], 100).unwrap_err()), str(apply("one", [None], 100).unwrap_err())
    ('the step [2, 5] does not fit a text of 3', 'the step None does not fit a text of 3')
    """
    parts, came = [], 0
    for step in steps:
        match step:
            case str():
                part = step
            case [int() as start, int() as length] if start >= 0 and 0 <= length <= len(old) - start:
                part = old[start : start + length]
            case _:
                return Err(DeltaError(f"the step {str(step)[:40]} does not fit a text of {len(old)}"))
        came += len(part)
        if came > most:
            return Err(DeltaError(f"more than {most} characters come out"))
        parts.append(part)
    return Ok("".join(parts))


def apply_chain(old: str, chain: list[Steps], length: int, digest: str) -> Result[str, DeltaError]:
    """One delta after the other; what comes out has this length and this digest.

    >>> apply_chain("a", [["b"], [[0, 1], "c"]], 2, digest_of("bc")).unwrap()
    'bc'
    >>> str(apply_chain("a", [["b"]], 1, digest_of("c")).unwrap_err())
    'the digest is not that of the text that was meant'
    """
    text = old
    for steps in chain:
        match apply(text, steps, 2 * max(length, len(old)) + 4096):
            case Ok(made):
                text = made
            case Err(fault):
                return Err(fault)
    if len(text) != length or digest_of(text) != digest:
        return Err(DeltaError("the digest is not that of the text that was meant"))
    return Ok(text)


def wire_size(steps: Steps) -> int:
    """Characters that it takes on a line, about.

    >>> wire_size([[0, 4], "three"])
    29
    """
    return sum(len(step) + 8 if isinstance(step, str) else 16 for step in steps)


def _common_length(old: str, i: int, new: str, j: int) -> int:
    """How many characters from there on are equal: looked at in parts that double, then halve."""
    same, part = 0, 64
    while (one := old[i + same : i + same + part]) and one == new[j + same : j + same + part]:
        same += len(one)
        part = min(2 * part, 65536)
    while part:
        if (one := old[i + same : i + same + part]) and one == new[j + same : j + same + part]:
            same += len(one)
        part //= 2
    return same


def _resync(old: str, i: int, new: str, j: int) -> tuple[int, int]:
    """Where both go on alike; else behind the largest window of both."""
    for window in SEARCH_WINDOWS:
        for tried, end in enumerate(ENTRY_END.finditer(new, j, j + window)):
            if tried >= MAX_CANDIDATES:
                break
            at = old.find(new[end.end() : end.end() + ANCHOR_CHARS], i, i + window + ANCHOR_CHARS)
            if at >= 0:
                return at, end.end()
    return min(i + window, len(old)), min(j + window, len(new))


def _merged(steps: Steps, old: str) -> Steps:
    """Copies that are shorter than their own step become text; texts side by side become one."""
    made: Steps = []
    for step in steps:
        if (isinstance(step, list) and step[1] >= MIN_COPY_CHARS) or (not made and len(steps) == 1):
            made.append(step)
            continue
        text = step if isinstance(step, str) else old[step[0] : step[0] + step[1]]
        if made and isinstance(made[-1], str):
            made[-1] += text
        else:
            made.append(text)
    return made
