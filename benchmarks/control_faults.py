"""The control side's worst days, with real processes and doors between them: each story a verdict line.

    python -m benchmarks.control_faults                          # all, at full length
    python -m benchmarks.control_faults --story cut_off --seed 7
    python -m benchmarks.control_faults --small                  # as in CI

The seed draws who is struck, which ways a cut goes and whether it holds bytes back (`millfront/rehearsal/
links.py`), who is asked, and the documents; an even one's links between regions take 20 to 40 ms. Exit code
1: a story is broken. Times are seconds.
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

REVOKE_S = 5.0  # `revoke_within` where the settings say nothing
LEASE_S = 0.8 * REVOKE_S
AGREED_S = 1.0  # beyond the lease: an answer on its way, a beat, a busy machine
ACK_S = 6.0  # `ack_within`
CAUGHT_UP_S = 10.0
DISK_KB = 1000.0  # what 500 documents of 20 KB may leave; 150 KB of it are lmdb's pages for one
Figures = dict[str, Any]


@dataclass
class Verdict:
    """Of one story: what did not hold, and what was measured."""

    story: str
    seed: int
    broken: list[str] = field(default_factory=list)
    figures: Figures = field(default_factory=dict)

    def check(self, holds: bool, text: str) -> None:
        if not holds:
            self.broken.append(text)

    def line(self) -> str:
        told = " ".join(f"{name}={value}" for name, value in self.figures.items())
        first = "; ".join(self.broken[:3])
        return f"{self.story} seed={self.seed}: " + (
            f"BROKEN ({len(self.broken)}): {first}  [{told}]" if self.broken else f"held  [{told}]"
        )


@dataclass(frozen=True, slots=True)
class Sample:
    """One look: when it was asked and answered, by which gatekeeper."""

    asked: float
    answered: float
    gatekeeper: int
    status: int
    version: int = 0


class Watch:
    """Looks at gatekeepers all the time, each with a thread of its own, and keeps what they answered."""

    def __init__(self, look: Callable[[int], tuple[int, int]], gatekeepers: list[int]) -> None:
        """:param look: at one gatekeeper: a status, and a version or 0"""
        self.samples: list[Sample] = []
        self._look, self._ends = look, threading.Event()
        self._threads = [threading.Thread(target=self._run, args=[number]) for number in gatekeepers]

    def _run(self, number: int) -> None:
        while not self._ends.wait(0.05):
            asked = time.monotonic()
            status, version = self._look(number)
            self.samples.append(Sample(asked, time.monotonic(), number, status, version))

    def __enter__(self) -> "Watch":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ends.set()
        for thread in self._threads:
            thread.join()


def revision(answer: Answer) -> int:
    return int(answer.json()["revision"], 16) if answer.status == 200 else 0


def watched_reads(system: System, gatekeepers: list[int]) -> Watch:
    def look(number: int) -> tuple[int, int]:
        answer = system.get(number)
        return answer.status, revision(answer)

    return Watch(look, gatekeepers)


def watched_key(system: System, gatekeepers: list[int], key: str) -> Watch:
    return Watch(lambda number: (system.page(number, key), 0), gatekeepers)


def watched_readiness(system: System, gatekeepers: list[int]) -> Watch:
    return Watch(lambda number: (system.ready(number), 0), gatekeepers)


def watched_versions(system: System, gatekeepers: list[int]) -> Watch:
    def look(number: int) -> tuple[int, int]:
        version = system.version(number)
        return 200 if version else 0, version

    return Watch(look, gatekeepers)


def never_back(told: Verdict, watch: Watch) -> None:
    """The version in force in a process only rises."""
    highest: dict[int, int] = {}
    for sample in watch.samples:
        if sample.version:
            before = highest.get(sample.gatekeeper, 0)
            told.check(
                sample.version >= before, f"office {sample.gatekeeper} went from {before} to {sample.version}"
            )
            highest[sample.gatekeeper] = max(before, sample.version)


def never_old(told: Verdict, watch: Watch, acked: float, version: int) -> None:
    """No read that was asked after an acknowledgement is told of an older version."""
    for sample in watch.samples:
        if sample.asked > acked and sample.status == 200 and sample.version < version:
            late = sample.asked - acked
            told.check(
                False, f"office {sample.gatekeeper} told of {sample.version}, {late:.2f} s after {version}"
            )


def never_let_in(told: Verdict, watch: Watch, since: float) -> None:
    """A key that was removed is refused."""
    late = [sample.asked - since for sample in watch.samples if sample.asked > since and sample.status == 200]
    told.check(not late, f"the removed key was let in {len(late)} times, {max(late, default=0):.2f} s late")


def called_back(answer: Answer) -> bool:
    return answer.status == 503 and "Retry-After" in answer.fields


def all_in_force(system: System, version: int, gatekeepers: list[int]) -> float:
    return wait_until(
        f"version {version} everywhere", lambda: all(system.version(n) >= version for n in gatekeepers)
    )


def begun(system: System, version: int, keys: list[str]) -> None:
    """A first version, in force everywhere."""
    system.retry_call(0, lambda number: system.put(number, document(version, keys)))
    gatekeepers = list(range(system.count))
    wait_until("all ready", lambda: all(system.ready(number) == 200 for number in gatekeepers))
    all_in_force(system, version, gatekeepers)


# ---- stories ---------------------------------------------------------------------------------------


def cut_off(told: Verdict, system: System, rng: random.Random, small: bool) -> None:
    """A core machine is cut off while the others take a version that removes a key."""
    lasts = 6.0 if small else 20.0
    begun(system, 1, ["kept", "gone"])
    cut, others = rng.randrange(system.count), list(range(system.count))
    others.remove(cut)
    zone, way, keeps = system.names[cut], rng.choice(["both", "both", "out", "in"]), rng.random() < 0.5
    higher = rng.random() < 0.5
    told.figures |= {"cut": zone, "way": way, "late_bytes": keeps, "higher": higher}
    with (
        watched_reads(system, [cut, others[0]]) as reads,
        watched_versions(system, [cut, *others]) as versions,
        watched_key(system, [cut, others[-1]], "gone") as keys,
        watched_readiness(system, [cut]) as readiness,
        ThreadPoolExecutor(8) as pool,
    ):
        system.links.cut(cut, way, keeps)
        since = time.monotonic()
        answer = system.retry_call(others[0], lambda number: system.put(number, document(2, ["kept", "new"])))
        acked = time.monotonic()
        told.check(answer.status == 200, f"the others: {answer.status} {answer.text}")
        while True:
            calls = {
                "another document of the same number": pool.submit(
                    system.put, cut, document(2, ["kept", "new"], note="rival")
                ),
                "an older version": pool.submit(system.put, cut, document(1, ["kept", "gone"])),
                "an evacuation": pool.submit(system.call, cut, "POST", "/v1/evacuation/north"),
                "a zone taken back": pool.submit(system.call, cut, "DELETE", "/v1/evacuation/south"),
            }
            if higher:  # it may be found later, as any order that was answered with 503
                calls["a higher version"] = pool.submit(system.put, cut, document(3, ["kept", "new"]))
            for what, call in calls.items():
                answer = call.result()
                told.check(called_back(answer), f"cut off, {what}: {answer.status} {answer.text}")
            if time.monotonic() - since > lasts / 2:
                break
        over = since + LEASE_S + AGREED_S
        wait_until("the lease's end", lambda: time.monotonic() > over)
        status = system.page(cut, "kept")
        told.check(status == 503, f"cut off and without a lease, a key: {status}")
        status = system.page(cut, "gone")
        told.check(status in (401, 503), f"cut off and without a lease, the removed key: {status}")
        told.figures["new_key_there"] = system.page(cut, "new")  # not judged
        wait_until("the cut's end", lambda: time.monotonic() - since > lasts)
        system.links.heal()
        healed = time.monotonic()
        answer = system.retry_call(cut, system.get)
        told.figures["read_again_s"] = round(time.monotonic() - healed, 2)
        told.check(revision(answer) in (2, 3 if higher else 2), f"back, and tells of {revision(answer)}")
        wait_until("it is ready", lambda: system.ready(cut) == 200)
        told.figures["ready_again_s"] = round(time.monotonic() - healed, 2)
        # What was held back has come: the confirmed document of its number stays, and nothing was evacuated
        answer = system.retry_call(others[1], system.get)
        told.check("rival" not in answer.text, "the rival of a confirmed document took its place")
        evacuated = {zone for number in others for zone in system.status_report(number)["evacuated"]}
        told.check(not evacuated, f"evacuated by a call that was answered with 503: {evacuated}")
        answer = system.retry_call(cut, lambda number: system.put(number, document(4, ["kept", "new"])))
        told.check(answer.status == 200, f"back, and answers {answer.status} {answer.text}")
        all_in_force(system, 4, [cut, *others])
        told.check(system.page(cut, "kept") == 200, "back, and refuses a key that is well")
    for sample in reads.samples:
        if sample.gatekeeper == cut and sample.asked > since and sample.answered < healed:
            told.check(sample.status == 503, f"cut off, a read: {sample.status} with {sample.version}")
    ready = [
        s.asked for s in readiness.samples if since < s.asked and s.answered < healed and s.status != 503
    ]
    told.figures["ready_no_more_s"] = round(max(ready, default=since) - since, 1)
    told.check(max(ready, default=since) < over, "ready though cut off")
    never_old(told, reads, acked, 2)
    never_back(told, versions)
    never_let_in(told, keys, acked + REVOKE_S)
    told.figures["looks"] = sum(len(watch.samples) for watch in (reads, versions, keys, readiness))


def frozen(told: Verdict, system: System, rng: random.Random, small: bool) -> None:
    """A core machine stands still while the others take a version that removes a key; it is asked meanwhile,
    and answers when it goes on."""
    lasts = 6.0 if small else 20.0
    begun(system, 1, ["kept", "gone"])
    still = rng.randrange(system.count)
    others = [number for number in range(system.count) if number != still]
    dark = rng.random() < 0.5  # it is cut off as well, until its first answers are in
    told.figures |= {"frozen": system.names[still], "cut_off": dark}
    with watched_versions(system, others) as versions, ThreadPoolExecutor(16) as pool:
        if dark:
            system.links.cut(still)
        system.freeze(still)
        since = time.monotonic()
        answer = system.retry_call(others[0], lambda number: system.put(number, document(2, ["kept"])))
        told.check(answer.status == 200, f"the others: {answer.status} {answer.text}")
        acked = time.monotonic()
        wait_until("the lease's end", lambda: time.monotonic() - acked > max(REVOKE_S, lasts - 0.5))
        reads = [pool.submit(system.get, still) for _ in range(6)]
        pages = [pool.submit(system.page, still, "gone") for _ in range(6)]
        wait_until("the calls wait", lambda: time.monotonic() - since > lasts + 0.5)
        system.thaw(still)
        for call in reads:
            answer = call.result()
            well = revision(answer) == 2 or answer.status in (0, 503)
            told.check(well, f"thawed, a read: {answer.status} with {revision(answer)}")
        for page in pages:
            told.check(page.result() != 200, "thawed, the removed key is let in")
        system.links.heal()
        thawed = time.monotonic()
        wait_until("it is ready", lambda: system.ready(still) == 200)
        told.figures["ready_again_s"] = round(time.monotonic() - thawed, 2)
        told.check(revision(system.retry_call(still, system.get)) == 2, "back, and tells of another version")
    never_back(told, versions)


def rivals(told: Verdict, system: System, rng: random.Random, small: bool) -> None:
    """Two operators under one number with different documents; then orders whose answers are lost."""
    begun(system, 1, ["kept"])
    numbers, lost = (8, 4) if small else (24, 8)
    both = none = 0
    took: list[float] = []
    with ThreadPoolExecutor(2) as pool:
        for version in range(2, 2 + numbers):
            one, other, third = rng.sample(range(system.count), 3)
            texts = [document(version, ["kept"], note=f"{name}-{rng.random()}") for name in ("one", "other")]

            def order(number: int, text: str) -> Answer:
                began = time.monotonic()
                answer = system.retry_call(number, lambda at: system.put(at, text))
                took.append(time.monotonic() - began)
                return answer

            first = pool.submit(order, one, texts[0])
            if rng.random() < 0.3:
                first.result()
            second = pool.submit(order, other, texts[1])
            answers = [first.result(), second.result()]
            statuses = [answer.status for answer in answers]
            both, none = both + (statuses == [200, 200]), none + (200 not in statuses)
            told.check(sorted(statuses) == [200, 409], f"number {version}: {statuses}")
            if sorted(statuses) != [200, 409]:
                continue
            won = statuses.index(200)
            told.check(
                f"{version:08x}" in answers[1 - won].text, f"409 names no number: {answers[1 - won].text}"
            )
            told.check(order(third, texts[won]).status == 200, f"number {version}, the winner's once more")
            told.check(order(third, texts[1 - won]).status == 409, f"number {version}, the loser's once more")
            read = system.retry_call(third, system.get)
            mine = f"of-{'one' if won == 0 else 'other'}-" in read.text
            told.check(mine, f"number {version}: another document is in force")
    told.figures |= {"numbers": numbers, "confirmed_to_both": both, "to_none": none}
    told.figures["slowest_s"] = round(max(took), 2)
    told.check(max(took) < ACK_S, f"an order took {max(took):.2f} s")
    for version in range(2 + numbers, 2 + numbers + lost):
        one, other = rng.sample(range(system.count), 2)
        text = document(version, ["kept"], note=f"lost-{version}")
        system.put_and_disconnect(one, text)
        answer = system.retry_call(other, lambda number, text=text: system.put(number, text))  # type: ignore[misc]
        told.check(answer.status == 200, f"an order sent again: {answer.status} {answer.text}")
    told.figures["sent_again"] = lost


def second_loss(told: Verdict, system: System, rng: random.Random, small: bool) -> None:
    """A core machine loses its disk; as soon as it votes again, another one does."""
    begun(system, 1, ["kept"])
    version, times = 1, 1 if small else 4
    answer = system.retry_call(0, lambda number: system.call(number, "POST", "/v1/evacuation/west"))
    told.check(answer.status == 200, f"an evacuation: {answer.status}")
    repairs = []
    for _ in range(times):
        one, other = rng.sample(range(system.count), 2)
        left = [number for number in range(system.count) if number not in (one, other)]

        def order(number: int, version: int) -> None:
            text = document(version, ["kept"], routes=20)
            answer = system.retry_call(number, lambda at: system.put(at, text))
            told.check(answer.status == 200, f"version {version}: {answer.status} {answer.text}")

        order(one, version + 1)
        system.kill(one, wipe=True)
        order(left[0], version + 2)
        system.start(one)
        repairs.append(wait_until("it votes", lambda one=one: system.is_voting(one)))  # type: ignore[misc]
        told.check(
            system.synced(one) == version + 2,
            f"votes, and holds {system.synced(one)} of {version + 2}",
        )
        system.kill(other, wipe=True)
        for number in (one, *left):
            found = revision(system.retry_call(number, system.get))
            told.check(found == version + 2, f"office {number} tells of {found}, {version + 2} was confirmed")
        began = time.monotonic()
        order(one, version + 3)
        told.figures["confirmed_in_s"] = round(time.monotonic() - began, 2)
        system.start(other)
        repairs.append(wait_until("the second votes", lambda other=other: system.is_voting(other)))  # type: ignore[misc]
        version += 3
        for number in range(system.count):
            found = revision(system.retry_call(number, system.get))
            told.check(found == version, f"office {number} tells of {found}, {version} was confirmed")
            gone = system.status_report(number)["evacuated"]
            told.check(gone == ["west"], f"office {number} has evacuated {gone}")
    told.figures["repaired_s"] = [round(took, 1) for took in repairs]


def many_changes(told: Verdict, system: System, rng: random.Random, small: bool) -> None:
    """Changes without end while a member is down; it is started as another one loses its disk."""
    begun(system, 1, ["kept"])
    down, wiped = rng.sample(range(system.count), 2)
    others = [number for number in range(system.count) if number != down]
    count, routes = (60, 20) if small else (500, 100)
    system.kill(down)
    began, slowest = time.monotonic(), (0.0, 0)
    for version in range(2, count + 2):
        text, sent = document(version, ["kept", f"key-{version}"], routes=routes), time.monotonic()
        answer = system.retry_call(rng.choice(others), lambda number, text=text: system.put(number, text))  # type: ignore[misc]
        slowest = max(slowest, (round(time.monotonic() - sent, 2), version))
        told.check(answer.status == 200, f"version {version}: {answer.status} {answer.text}")
    newest = count + 1
    told.figures |= {"changes": count, "a_change_s": round((time.monotonic() - began) / count, 3)}
    told.check(slowest[0] < ACK_S, f"version {slowest[1]} took {slowest[0]} s")
    told.figures |= {"slowest_s": slowest[0], "which": slowest[1]}
    system.kill(wiped, wipe=True)
    for number in (wiped, down):
        system.start(number)
    struck, caught_up = {"wiped": wiped, "restarted": down}, {}
    for what, number in struck.items():  # by themselves: a read would bring a replica what it lacks

        def holds(number: int = number) -> bool:
            return system.synced(number) == newest and system.version(number) == newest

        with contextlib.suppress(ConditionTimeout):
            caught_up[what] = round(wait_until(f"the {what} one has all", holds, CAUGHT_UP_S), 1)
        has = f"the {what} one holds {system.synced(number)} and has {system.version(number)} of {newest}"
        told.check(what in caught_up, f"{has} after {CAUGHT_UP_S:g} s")
    for what, number in struck.items():
        found = revision(system.retry_call(number, system.get))
        told.check(found == newest, f"the {what} one tells of {found}, {newest} was confirmed")
    disks = [system.disk_kb(number) for number in range(system.count)]
    told.check(max(disks) < DISK_KB, f"disks of {max(disks):.0f} KB")
    told.figures |= {
        "caught_up_s": caught_up,
        "disk_kb": round(max(disks)),
        "text_kb": round(len(text) / 1000),
    }


Play = Callable[[Verdict, System, random.Random, bool], None]
STORIES: dict[str, Play] = {
    play.__name__: play for play in (cut_off, frozen, rivals, second_loss, many_changes)
}


def told_of(name: str, seed: int, small: bool, folder: Path) -> Verdict:
    """One story, played with a system of its own in that folder."""
    told, began = Verdict(name, seed), time.monotonic()
    try:
        with System(folder, seed=seed) as system:
            if seed % 2 == 0:
                system.links.set_base_delay([0, 1], [2, 3], 20.0, 20.0)  # between the regions
            STORIES[name](told, system, random.Random(f"{name} {seed}"), small)
    except ConditionTimeout as late:
        told.broken.append(str(late))
    told.figures["took_s"] = round(time.monotonic() - began, 1)
    return told


def verdicts(names: list[str], seeds: range, small: bool, logs: Path | None) -> Iterator[Verdict]:
    for seed in seeds:
        for name in names:
            if logs is not None:
                folder = logs / f"{name}-{seed}"
                folder.mkdir(parents=True)
                yield told_of(name, seed, small, folder)
            else:
                with tempfile.TemporaryDirectory(prefix="sealed-") as made:
                    yield told_of(name, seed, small, Path(made))


def main() -> int:
    told = argparse.ArgumentParser()
    told.add_argument("--story", choices=list(STORIES))
    told.add_argument("--seed", type=int, default=1)
    told.add_argument("--seeds", type=int, default=1, help="so many, from --seed on")
    told.add_argument("--small", action="store_true", help="as short as in CI")
    told.add_argument("--logs", type=Path, help="a new folder that keeps logs and disks")
    words = told.parse_args()
    seeds = range(words.seed, words.seed + words.seeds)
    broken = 0
    for verdict in verdicts([words.story] if words.story else list(STORIES), seeds, words.small, words.logs):
        print(verdict.line(), flush=True)
        broken += bool(verdict.broken)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
