"""A fuzz run of a given length over all code that reads bytes from a peer.

    python -m benchmarks.fuzz [--seconds 60]

Draws new examples from the strategies of the tests on each run: HTTP/1.1 requests and responses compared to
h11; frames from a client and from a member; truncated and corrupted ledgers. Prints the number of cases of
each part, and its first failure.
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
CASES_PER_BLOCK = 300


def run_blocks(part: Any, deadline: float) -> tuple[int, BaseException | None]:
    """Run cases until the deadline or a failure; returns their number and the failure, if any."""
    cases = 0
    part_settings = settings(
        max_examples=CASES_PER_BLOCK,
        deadline=None,
        database=None,
        derandomize=False,
        phases=[Phase.generate, Phase.shrink],
        suppress_health_check=list(HealthCheck),
    )
    part._hypothesis_internal_use_settings = part_settings  # instead of the CI profile
    while time.monotonic() < deadline:
        try:
            part()
        except BaseException as failure:
            return cases, failure
        cases += CASES_PER_BLOCK
    return cases, None


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=60.0)
    args = parser.parse_args()
    failed = False
    for name, part in PARTS.items():
        cases, failure = run_blocks(part, time.monotonic() + args.seconds / len(PARTS))
        print(
            f"{name:20} {cases} cases, {failure!r}" if failure else f"{name:20} {cases} cases, no failure",
            flush=True,
        )
        failed = failed or failure is not None
    sys.exit(failed)


if __name__ == "__main__":
    main()
