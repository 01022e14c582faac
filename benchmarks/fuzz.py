"""A fuzz run of a stated length over all that reads bytes from a peer.

    python -m benchmarks.fuzz [--seconds 60]

Draws from the strategies of the tests, anew each time: HTTP/1.1 requests and answers against h2's elder,
h11; frames from a client and from a member; cut and flipped ledgers. Prints how many cases each part had,
and the first failure.
"""

import argparse
import sys
import time
from typing import Any

from hypothesis import HealthCheck, Phase, settings

from tests import test_http1, test_http2, test_http2_members, test_usage

PARTS: dict[str, Any] = {
    "HTTP/1.1 requests": test_http1.test_requests_are_what_h11_reads,
    "HTTP/1.1 answers": test_http1.test_answers_are_what_h11_reads,
    "HTTP/2 from clients": test_http2.test_no_sequence_of_frames_crashes_leaks_or_answers_twice,
    "HTTP/2 from members": test_http2_members.test_whatever_a_member_sends_each_attempt_ends_once,
    "ledger segments": test_usage.test_flipped_bits_lose_the_records_they_lie_in_and_name_them,
}
BLOCK = 300  # cases in one go


def blocks(part: Any, until: float) -> tuple[int, BaseException | None]:
    """Cases until then; the failure that ended it, if any."""
    cases = 0
    told = settings(
        max_examples=BLOCK,
        deadline=None,
        database=None,
        derandomize=False,
        phases=[Phase.generate, Phase.shrink],
        suppress_health_check=list(HealthCheck),
    )
    part._hypothesis_internal_use_settings = told  # in place of those of CI
    while time.monotonic() < until:
        try:
            part()
        except BaseException as wrong:
            return cases, wrong
        cases += BLOCK
    return cases, None


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    told = parser.parse_args()
    failed = False
    for name, part in PARTS.items():
        cases, wrong = blocks(part, time.monotonic() + told.seconds / len(PARTS))
        print(
            f"{name:20} {cases} cases, {wrong!r}" if wrong else f"{name:20} {cases} cases, no failure",
            flush=True,
        )
        failed = failed or wrong is not None
    sys.exit(failed)


if __name__ == "__main__":
    main()
