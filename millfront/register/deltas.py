"""Delta encoding of two versions of a text. No I/O, no clock.

A delta is a list of steps: ``[start, length]`` copies characters of the earlier text, a string is inserted.
Both texts are compared from the start; where they differ, the comparison resumes at the next end of an entry
(``},`` or a newline) of the later text whose continuation is found nearby in the earlier one. A changed,
added or removed entry therefore costs little more than its own length, and equal parts are neither copied
nor stored. The result is the later text character for character, or an error: whoever applies a delta checks
the digest of the result.
"""

import re
from typing import Any

from result import Err, Ok, Result

from millfront.register.values import digest_of

Steps = list[Any]
ENTRY_END = re.compile(r"\},|\n")
ANCHOR_CHARS = 96  # equal characters needed to resume there: an entry starts with its name
SEARCH_WINDOWS = (4096, 65536)  # characters searched for it: a few entries, then a few hundred
MAX_CANDIDATES = 64  # ends of entries tried in a window
MIN_COPY_CHARS = 24  # a shorter copy step costs as much as the text itself


class DeltaError(Exception):
    """A delta that cannot be applied to the text, or gives another text than expected."""


def difference(old: str, new: str, max_chars: int) -> Steps | None:
    """The steps from `old` to `new`; None: they would encode to more than `max_chars` characters.

    >>> old = "".join(f'{{"route": {n}, "target": "somewhere"}},' for n in range(100))
    >>> difference(old, old.replace('"route": 50,', '"route": 50, "public": true,'), 1000)
    [[0, 1855], 'public": true, "target": "somewhere"},', [1877, 1813]]
    >>> difference("", "new", 20), difference("old", "old", 20), difference("old", "n" * 20, 20)
    (['new'], [[0, 3]], None)
    """
    steps: Steps = []
    i = j = inserted = 0
    while j < len(new):
        common = _common_length(old, i, new, j)
        if common:
            steps.append([i, common])
            i, j = i + common, j + common
        if j == len(new):
            break
        to_i, to_j = _resync(old, i, new, j)
        steps.append(new[j:to_j])
        inserted += to_j - j
        if inserted > max_chars:
            return None
        i, j = to_i, to_j
    merged = _merged(steps, old)
    return merged if wire_size(merged) <= max_chars else None


def apply(old: str, steps: Steps, max_chars: int) -> Result[str, DeltaError]:
    """The text that a delta makes of `old`.

    :param max_chars: length that the result may have

    >>> apply("one two", [[0, 4], "three"], 100).unwrap()
    'one three'
    >>> str(apply("one", [[2, 5]], 100).unwrap_err()), str(apply("one", [None], 100).unwrap_err())
    ('step [2, 5] does not fit a text of length 3', 'step None does not fit a text of length 3')
    """
    parts, result_length = [], 0
    for step in steps:
        match step:
            case str():
                part = step
            case [int() as start, int() as length] if start >= 0 and 0 <= length <= len(old) - start:
                part = old[start : start + length]
            case _:
                return Err(DeltaError(f"step {str(step)[:40]} does not fit a text of length {len(old)}"))
        result_length += len(part)
        if result_length > max_chars:
            return Err(DeltaError(f"result is longer than {max_chars} characters"))
        parts.append(part)
    return Ok("".join(parts))


def apply_chain(old: str, chain: list[Steps], length: int, digest: str) -> Result[str, DeltaError]:
    """Apply deltas one after the other; the result must have this length and digest.

    >>> apply_chain("a", [["b"], [[0, 1], "c"]], 2, digest_of("bc")).unwrap()
    'bc'
    >>> str(apply_chain("a", [["b"]], 1, digest_of("c")).unwrap_err())
    'length or digest of the result does not match'
    """
    text = old
    for steps in chain:
        match apply(text, steps, 2 * max(length, len(old)) + 4096):
            case Ok(result):
                text = result
            case Err(fault):
                return Err(fault)
    if len(text) != length or digest_of(text) != digest:
        return Err(DeltaError("length or digest of the result does not match"))
    return Ok(text)


def wire_size(steps: Steps) -> int:
    """Approximate length of the encoded steps in characters.

    >>> wire_size([[0, 4], "three"])
    29
    """
    return sum(len(step) + 8 if isinstance(step, str) else 16 for step in steps)


def _common_length(old: str, i: int, new: str, j: int) -> int:
    """Number of equal characters from there on: compared in blocks whose size doubles, then halves."""
    common, size = 0, 64
    while (block := old[i + common : i + common + size]) and block == new[j + common : j + common + size]:
        common += len(block)
        size = min(2 * size, 65536)
    while size:
        if (block := old[i + common : i + common + size]) and block == new[j + common : j + common + size]:
            common += len(block)
        size //= 2
    return common


def _resync(old: str, i: int, new: str, j: int) -> tuple[int, int]:
    """Positions from which both texts continue equally; else the ends of the largest window."""
    for window in SEARCH_WINDOWS:
        for tried, end in enumerate(ENTRY_END.finditer(new, j, j + window)):
            if tried >= MAX_CANDIDATES:
                break
            at = old.find(new[end.end() : end.end() + ANCHOR_CHARS], i, i + window + ANCHOR_CHARS)
            if at >= 0:
                return at, end.end()
    return min(i + window, len(old)), min(j + window, len(new))


def _merged(steps: Steps, old: str) -> Steps:
    """Replace copies that are shorter than their own step by text, and join adjacent texts."""
    merged: Steps = []
    for step in steps:
        if (isinstance(step, list) and step[1] >= MIN_COPY_CHARS) or (not merged and len(steps) == 1):
            merged.append(step)
            continue
        text = step if isinstance(step, str) else old[step[0] : step[0] + step[1]]
        if merged and isinstance(merged[-1], str):
            merged[-1] += text
        else:
            merged.append(text)
    return merged
