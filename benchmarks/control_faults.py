"""Control-plane faults on real processes with proxies between them: one verdict line per scenario.

    python -m benchmarks.control_faults                          # all, at full length
    python -m benchmarks.control_faults --story cut_off --seed 7
    python -m benchmarks.control_faults --small                  # as in CI

The seed draws the affected members, the direction of a cut and whether it delays bytes until its end
(`millfront/rehearsal/links.py`), the members called, and the documents; with an even seed, links between
regions take 20 to 40 ms. Exit code 1: a check failed. Times are seconds.
"""

import argparse
import contextlib
import random
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from millfront.rehearsal.system import Answer, ConditionTimeout, System, document, wait_until

REVOKE_S = 5.0  # default of `revoke_within`
LEASE_S = 0.8 * REVOKE_S
LEASE_MARGIN_S = 1.0  # beyond the lease: an answer in transit, a tick, a busy machine
ACK_TIMEOUT_S = 6.0  # `ack_within`
CATCH_UP_TIMEOUT_S = 10.0
MAX_DISK_KB = 1000.0  # limit after 500 documents of 20 KB; 150 KB of it are lmdb's pages for one document
Figures = dict[str, Any]


@dataclass
class Verdict:
    """Result of one scenario: the failed checks and the measured figures."""

    scenario: str
    seed: int
    broken: list[str] = field(default_factory=list)
    figures: Figures = field(default_factory=dict)

    def check(self, holds: bool, text: str) -> None:
        if not holds:
            self.broken.append(text)

    def line(self) -> str:
        figures = " ".join(f"{name}={value}" for name, value in self.figures.items())
        first = "; ".join(self.broken[:3])
        return f"{self.scenario} seed={self.seed}: " + (
            f"BROKEN ({len(self.broken)}): {first}  [{figures}]" if self.broken else f"held  [{figures}]"
        )


@dataclass(frozen=True, slots=True)
class Sample:
    """One poll: when it was sent and answered, and the answer of which gatekeeper."""

    sent_at: float
    answered_at: float
    gatekeeper: int
    status: int
    version: int = 0


class Poller:
    """Polls gatekeepers continuously, each in a thread of its own, and keeps their answers."""

    def __init__(self, poll: Callable[[int], tuple[int, int]], gatekeepers: list[int]) -> None:
        """:param poll: polls one gatekeeper; returns a status, and a version or 0"""
        self.samples: list[Sample] = []
        self._poll, self._stop = poll, threading.Event()
        self._threads = [threading.Thread(target=self._run, args=[number]) for number in gatekeepers]

    def _run(self, number: int) -> None:
        while not self._stop.wait(0.05):
            sent_at = time.monotonic()
            status, version = self._poll(number)
            self.samples.append(Sample(sent_at, time.monotonic(), number, status, version))

    def __enter__(self) -> "Poller":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()


def revision(answer: Answer) -> int:
    return int(answer.json()["revision"], 16) if answer.status == 200 else 0


def poll_reads(system: System, gatekeepers: list[int]) -> Poller:
    def poll(number: int) -> tuple[int, int]:
        answer = system.get(number)
        return answer.status, revision(answer)

    return Poller(poll, gatekeepers)


def poll_key(system: System, gatekeepers: list[int], key: str) -> Poller:
    return Poller(lambda number: (system.page(number, key), 0), gatekeepers)


def poll_readiness(system: System, gatekeepers: list[int]) -> Poller:
    return Poller(lambda number: (system.ready(number), 0), gatekeepers)


def poll_versions(system: System, gatekeepers: list[int]) -> Poller:
    def poll(number: int) -> tuple[int, int]:
        version = system.version(number)
        return 200 if version else 0, version

    return Poller(poll, gatekeepers)


def check_versions_only_rise(verdict: Verdict, poller: Poller) -> None:
    """The version in force in a process never falls."""
    highest: dict[int, int] = {}
    for sample in poller.samples:
        if sample.version:
            previous = highest.get(sample.gatekeeper, 0)
            verdict.check(
                sample.version >= previous,
                f"gatekeeper {sample.gatekeeper} went from {previous} to {sample.version}",
            )
            highest[sample.gatekeeper] = max(previous, sample.version)


def check_no_stale_reads(verdict: Verdict, poller: Poller, acked_at: float, version: int) -> None:
    """No read sent after an acknowledgement returns an older version."""
    for sample in poller.samples:
        if sample.sent_at > acked_at and sample.status == 200 and sample.version < version:
            late = sample.sent_at - acked_at
            verdict.check(
                False,
                f"gatekeeper {sample.gatekeeper}: {sample.version}, {late:.2f} s after {version} was acked",
            )


def check_key_refused(verdict: Verdict, poller: Poller, since: float) -> None:
    """A removed key is refused."""
    late = [
        sample.sent_at - since for sample in poller.samples if sample.sent_at > since and sample.status == 200
    ]
    verdict.check(
        not late, f"the removed key was accepted {len(late)} times, {max(late, default=0):.2f} s late"
    )


def is_retry_later(answer: Answer) -> bool:
    return answer.status == 503 and "Retry-After" in answer.fields


def wait_in_force(system: System, version: int, gatekeepers: list[int]) -> float:
    return wait_until(
        f"version {version} everywhere", lambda: all(system.version(n) >= version for n in gatekeepers)
    )


def put_first_version(system: System, version: int, keys: list[str]) -> None:
    """Put a first version and wait until it is in force everywhere."""
    system.retry_call(0, lambda number: system.put(number, document(version, keys)))
    gatekeepers = list(range(system.count))
    wait_until("all ready", lambda: all(system.ready(number) == 200 for number in gatekeepers))
    wait_in_force(system, version, gatekeepers)


# ---- scenarios -------------------------------------------------------------------------------------


def cut_off(verdict: Verdict, system: System, rng: random.Random, small: bool) -> None:
    """A core member is cut off while the others accept a version that removes a key."""
    duration_s = 6.0 if small else 20.0
    put_first_version(system, 1, ["kept", "gone"])
    member, others = rng.randrange(system.count), list(range(system.count))
    others.remove(member)
    zone_name, direction, late_bytes = (
        system.names[member],
        rng.choice(["both", "both", "out", "in"]),
        rng.random() < 0.5,
    )
    higher = rng.random() < 0.5
    verdict.figures |= {"cut": zone_name, "way": direction, "late_bytes": late_bytes, "higher": higher}
    with (
        poll_reads(system, [member, others[0]]) as reads,
        poll_versions(system, [member, *others]) as versions,
        poll_key(system, [member, others[-1]], "gone") as keys,
        poll_readiness(system, [member]) as readiness,
        ThreadPoolExecutor(8) as pool,
    ):
        system.links.cut(member, direction, late_bytes)
        since = time.monotonic()
        answer = system.retry_call(others[0], lambda number: system.put(number, document(2, ["kept", "new"])))
        acked_at = time.monotonic()
        verdict.check(
            answer.status == 200, f"put of version 2: expected 200, got {answer.status} {answer.text}"
        )
        while True:
            calls = {
                "another document of the same number": pool.submit(
                    system.put, member, document(2, ["kept", "new"], note="rival")
                ),
                "an older version": pool.submit(system.put, member, document(1, ["kept", "gone"])),
                "an evacuation": pool.submit(system.call, member, "POST", "/v1/evacuation/north"),
                "the end of an evacuation": pool.submit(
                    system.call, member, "DELETE", "/v1/evacuation/south"
                ),
            }
            if higher:  # it may take effect later, like any put answered with 503
                calls["a higher version"] = pool.submit(system.put, member, document(3, ["kept", "new"]))
            for what, call in calls.items():
                answer = call.result()
                verdict.check(is_retry_later(answer), f"cut off, {what}: got {answer.status} {answer.text}")
            if time.monotonic() - since > duration_s / 2:
                break
        lease_end = since + LEASE_S + LEASE_MARGIN_S
        wait_until("the lease's end", lambda: time.monotonic() > lease_end)
        status = system.page(member, "kept")
        verdict.check(status == 503, f"cut off without a lease, valid key: expected 503, got {status}")
        status = system.page(member, "gone")
        verdict.check(status in (401, 503), f"cut off without a lease, removed key: got {status}")
        verdict.figures["new_key_there"] = system.page(member, "new")  # not checked
        wait_until("the cut's end", lambda: time.monotonic() - since > duration_s)
        system.links.heal()
        healed = time.monotonic()
        answer = system.retry_call(member, system.get)
        verdict.figures["read_again_s"] = round(time.monotonic() - healed, 2)
        verdict.check(
            revision(answer) in (2, 3 if higher else 2), f"healed, a read: version {revision(answer)}"
        )
        wait_until("it is ready", lambda: system.ready(member) == 200)
        verdict.figures["ready_again_s"] = round(time.monotonic() - healed, 2)
        # Delayed bytes have arrived: the confirmed document of that number stays, and nothing was evacuated
        answer = system.retry_call(others[1], system.get)
        verdict.check("rival" not in answer.text, "a rival document replaced the confirmed one of its number")
        evacuated = {
            zone_name for number in others for zone_name in system.status_report(number)["evacuated"]
        }
        verdict.check(not evacuated, f"zones evacuated by a call answered with 503: {evacuated}")
        answer = system.retry_call(member, lambda number: system.put(number, document(4, ["kept", "new"])))
        verdict.check(answer.status == 200, f"healed, a put: expected 200, got {answer.status} {answer.text}")
        wait_in_force(system, 4, [member, *others])
        verdict.check(system.page(member, "kept") == 200, "healed, a valid key is refused")
    for sample in reads.samples:
        if sample.gatekeeper == member and sample.sent_at > since and sample.answered_at < healed:
            verdict.check(
                sample.status == 503,
                f"cut off, a read: expected 503, got {sample.status}, version {sample.version}",
            )
    ready = [
        s.sent_at
        for s in readiness.samples
        if since < s.sent_at and s.answered_at < healed and s.status != 503
    ]
    verdict.figures["ready_no_more_s"] = round(max(ready, default=since) - since, 1)
    verdict.check(max(ready, default=since) < lease_end, "ready after the lease's end though cut off")
    check_no_stale_reads(verdict, reads, acked_at, 2)
    check_versions_only_rise(verdict, versions)
    check_key_refused(verdict, keys, acked_at + REVOKE_S)
    verdict.figures["looks"] = sum(len(poller.samples) for poller in (reads, versions, keys, readiness))


def frozen(verdict: Verdict, system: System, rng: random.Random, small: bool) -> None:
    """A core member is frozen while the others accept a version that removes a key; calls to it wait until it
    resumes."""
    duration_s = 6.0 if small else 20.0
    put_first_version(system, 1, ["kept", "gone"])
    stopped = rng.randrange(system.count)
    others = [number for number in range(system.count) if number != stopped]
    also_cut_off = rng.random() < 0.5  # until it has sent its first answers
    verdict.figures |= {"frozen": system.names[stopped], "cut_off": also_cut_off}
    with poll_versions(system, others) as versions, ThreadPoolExecutor(16) as pool:
        if also_cut_off:
            system.links.cut(stopped)
        system.freeze(stopped)
        since = time.monotonic()
        answer = system.retry_call(others[0], lambda number: system.put(number, document(2, ["kept"])))
        verdict.check(
            answer.status == 200, f"put of version 2: expected 200, got {answer.status} {answer.text}"
        )
        acked_at = time.monotonic()
        wait_until("the lease's end", lambda: time.monotonic() - acked_at > max(REVOKE_S, duration_s - 0.5))
        reads = [pool.submit(system.get, stopped) for _ in range(6)]
        pages = [pool.submit(system.page, stopped, "gone") for _ in range(6)]
        wait_until("the calls wait", lambda: time.monotonic() - since > duration_s + 0.5)
        system.thaw(stopped)
        for call in reads:
            answer = call.result()
            valid = revision(answer) == 2 or answer.status in (0, 503)
            verdict.check(valid, f"thawed, a read: {answer.status}, version {revision(answer)}")
        for page in pages:
            verdict.check(page.result() != 200, "thawed, the removed key is accepted")
        system.links.heal()
        thawed = time.monotonic()
        wait_until("it is ready", lambda: system.ready(stopped) == 200)
        verdict.figures["ready_again_s"] = round(time.monotonic() - thawed, 2)
        verdict.check(
            revision(system.retry_call(stopped, system.get)) == 2, "thawed, a read returns another version"
        )
    check_versions_only_rise(verdict, versions)


def rivals(verdict: Verdict, system: System, rng: random.Random, small: bool) -> None:
    """Two operators put different documents under one number; then puts whose answers are lost."""
    put_first_version(system, 1, ["kept"])
    numbers, lost_answers = (8, 4) if small else (24, 8)
    both = none = 0
    durations: list[float] = []
    with ThreadPoolExecutor(2) as pool:
        for version in range(2, 2 + numbers):
            one, other, third = rng.sample(range(system.count), 3)
            texts = [document(version, ["kept"], note=f"{name}-{rng.random()}") for name in ("one", "other")]

            def order(number: int, text: str) -> Answer:
                started = time.monotonic()
                answer = system.retry_call(number, lambda at: system.put(at, text))
                durations.append(time.monotonic() - started)
                return answer

            first = pool.submit(order, one, texts[0])
            if rng.random() < 0.3:
                first.result()
            second = pool.submit(order, other, texts[1])
            answers = [first.result(), second.result()]
            statuses = [answer.status for answer in answers]
            both, none = both + (statuses == [200, 200]), none + (200 not in statuses)
            verdict.check(sorted(statuses) == [200, 409], f"number {version}: {statuses}")
            if sorted(statuses) != [200, 409]:
                continue
            winner = statuses.index(200)
            verdict.check(
                f"{version:08x}" in answers[1 - winner].text,
                f"409 does not name the version: {answers[1 - winner].text}",
            )
            verdict.check(
                order(third, texts[winner]).status == 200,
                f"number {version}, the repeated winner is not answered with 200",
            )
            verdict.check(
                order(third, texts[1 - winner]).status == 409,
                f"number {version}, the repeated loser is not answered with 409",
            )
            read = system.retry_call(third, system.get)
            is_winner = f"of-{'one' if winner == 0 else 'other'}-" in read.text
            verdict.check(is_winner, f"number {version}: another document is in force")
    verdict.figures |= {"numbers": numbers, "confirmed_to_both": both, "to_none": none}
    verdict.figures["slowest_s"] = round(max(durations), 2)
    verdict.check(
        max(durations) < ACK_TIMEOUT_S, f"a put took {max(durations):.2f} s, the limit is {ACK_TIMEOUT_S:g} s"
    )
    for version in range(2 + numbers, 2 + numbers + lost_answers):
        one, other = rng.sample(range(system.count), 2)
        text = document(version, ["kept"], note=f"lost-{version}")
        system.put_and_disconnect(one, text)
        answer = system.retry_call(other, lambda number, text=text: system.put(number, text))  # type: ignore[misc]
        verdict.check(
            answer.status == 200, f"a repeated put: expected 200, got {answer.status} {answer.text}"
        )
    verdict.figures["sent_again"] = lost_answers


def second_loss(verdict: Verdict, system: System, rng: random.Random, small: bool) -> None:
    """A core member loses its disk; as soon as it votes again, another one loses its disk."""
    put_first_version(system, 1, ["kept"])
    version, times = 1, 1 if small else 4
    answer = system.retry_call(0, lambda number: system.call(number, "POST", "/v1/evacuation/west"))
    verdict.check(answer.status == 200, f"an evacuation: expected 200, got {answer.status}")
    repairs = []
    for _ in range(times):
        one, other = rng.sample(range(system.count), 2)
        left = [number for number in range(system.count) if number not in (one, other)]

        def order(number: int, version: int) -> None:
            text = document(version, ["kept"], routes=20)
            answer = system.retry_call(number, lambda at: system.put(at, text))
            verdict.check(
                answer.status == 200,
                f"put of version {version}: expected 200, got {answer.status} {answer.text}",
            )

        order(one, version + 1)
        system.kill(one, wipe=True)
        order(left[0], version + 2)
        system.start(one)
        repairs.append(wait_until("it votes", lambda one=one: system.is_voting(one)))  # type: ignore[misc]
        verdict.check(
            system.synced(one) == version + 2, f"votes with version {system.synced(one)} of {version + 2}"
        )
        system.kill(other, wipe=True)
        for number in (one, *left):
            answered_version = revision(system.retry_call(number, system.get))
            verdict.check(
                answered_version == version + 2,
                f"gatekeeper {number}: version {answered_version}, {version + 2} was confirmed",
            )
        started = time.monotonic()
        order(one, version + 3)
        verdict.figures["confirmed_in_s"] = round(time.monotonic() - started, 2)
        system.start(other)
        repairs.append(wait_until("the second votes", lambda other=other: system.is_voting(other)))  # type: ignore[misc]
        version += 3
        for number in range(system.count):
            answered_version = revision(system.retry_call(number, system.get))
            verdict.check(
                answered_version == version,
                f"gatekeeper {number}: version {answered_version}, {version} was confirmed",
            )
            evacuated = system.status_report(number)["evacuated"]
            verdict.check(evacuated == ["west"], f"gatekeeper {number}: evacuated {evacuated}")
    verdict.figures["repaired_s"] = [round(duration, 1) for duration in repairs]


def many_changes(verdict: Verdict, system: System, rng: random.Random, small: bool) -> None:
    """Many changes while a member is down; it is started when another one loses its disk."""
    put_first_version(system, 1, ["kept"])
    down, wiped = rng.sample(range(system.count), 2)
    others = [number for number in range(system.count) if number != down]
    count, routes = (60, 20) if small else (500, 100)
    system.kill(down)
    started, slowest = time.monotonic(), (0.0, 0)
    for version in range(2, count + 2):
        text, sent = document(version, ["kept", f"key-{version}"], routes=routes), time.monotonic()
        answer = system.retry_call(rng.choice(others), lambda number, text=text: system.put(number, text))  # type: ignore[misc]
        slowest = max(slowest, (round(time.monotonic() - sent, 2), version))
        verdict.check(
            answer.status == 200, f"put of version {version}: expected 200, got {answer.status} {answer.text}"
        )
    newest = count + 1
    verdict.figures |= {"changes": count, "a_change_s": round((time.monotonic() - started) / count, 3)}
    verdict.check(
        slowest[0] < ACK_TIMEOUT_S,
        f"version {slowest[1]} took {slowest[0]} s, the limit is {ACK_TIMEOUT_S:g} s",
    )
    verdict.figures |= {"slowest_s": slowest[0], "which": slowest[1]}
    system.kill(wiped, wipe=True)
    for number in (wiped, down):
        system.start(number)
    members, caught_up = {"wiped": wiped, "restarted": down}, {}
    for what, number in members.items():  # without reads, which would repair a replica

        def holds(number: int = number) -> bool:
            return system.synced(number) == newest and system.version(number) == newest

        with contextlib.suppress(ConditionTimeout):
            caught_up[what] = round(
                wait_until(f"the {what} one has all changes", holds, CATCH_UP_TIMEOUT_S), 1
            )
        progress = f"the {what} one stores {system.synced(number)}, uses {system.version(number)} of {newest}"
        verdict.check(what in caught_up, f"{progress} after {CATCH_UP_TIMEOUT_S:g} s")
    for what, number in members.items():
        answered_version = revision(system.retry_call(number, system.get))
        verdict.check(
            answered_version == newest, f"the {what} one: version {answered_version}, {newest} was confirmed"
        )
    disks = [system.disk_kb(number) for number in range(system.count)]
    verdict.check(max(disks) < MAX_DISK_KB, f"disk of {max(disks):.0f} KB, the limit is {MAX_DISK_KB:g} KB")
    verdict.figures |= {
        "caught_up_s": caught_up,
        "disk_kb": round(max(disks)),
        "text_kb": round(len(text) / 1000),
    }


Scenario = Callable[[Verdict, System, random.Random, bool], None]
SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario for scenario in (cut_off, frozen, rivals, second_loss, many_changes)
}


def run_scenario(name: str, seed: int, small: bool, folder: Path) -> Verdict:
    """Run one scenario with a system of its own in that folder."""
    verdict, started = Verdict(name, seed), time.monotonic()
    try:
        with System(folder, seed=seed) as system:
            if seed % 2 == 0:
                system.links.set_base_delay([0, 1], [2, 3], 20.0, 20.0)  # between the regions
            SCENARIOS[name](verdict, system, random.Random(f"{name} {seed}"), small)
    except ConditionTimeout as error:
        verdict.broken.append(str(error))
    verdict.figures["took_s"] = round(time.monotonic() - started, 1)
    return verdict


def verdicts(names: list[str], seeds: range, small: bool, logs: Path | None) -> Iterator[Verdict]:
    for seed in seeds:
        for name in names:
            if logs is not None:
                folder = logs / f"{name}-{seed}"
                folder.mkdir(parents=True)
                yield run_scenario(name, seed, small, folder)
            else:
                with tempfile.TemporaryDirectory(prefix="sealed-") as temporary:
                    yield run_scenario(name, seed, small, Path(temporary))


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--story", choices=list(SCENARIOS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, from --seed on")
    parser.add_argument("--small", action="store_true", help="short form, as in CI")
    parser.add_argument("--logs", type=Path, help="new folder for logs and disks")
    args = parser.parse_args()
    seeds = range(args.seed, args.seed + args.seeds)
    broken = 0
    for verdict in verdicts([args.story] if args.story else list(SCENARIOS), seeds, args.small, args.logs):
        print(verdict.line(), flush=True)
        broken += bool(verdict.broken)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
