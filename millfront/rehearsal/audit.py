"""The must-never rules, judged from what the stand-ins saw on the wire, and the figures of a rehearsal.

No auditor reads a gatekeeper's log or status: a gatekeeper that believes it kept a rule proves nothing. Times
are seconds of the rehearsal's clock, taken where the stand-in saw the bytes, which is later than the
gatekeeper sent them: a send late by the rule is seen late, one in time may be seen late by the loop's delay,
which SEEN_S allows for.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from millfront.rehearsal.load import Asked
from millfront.rehearsal.standins import Arrival, Told

SEEN_S = 0.1  # between a gatekeeper's write and the stand-in's stamp, on a loaded loop
ANSWER_SLACK_S = 0.25  # beyond a client's timeout: the platform's slack and the loop's delay
SOCKET_SLACK_S = 0.05  # PROTOCOL: every time limit on sockets is longer by this
CEILING_SLACK_S = 0.15  # PROTOCOL: the ceiling's slack grows by what its rate gives in this


@dataclass(frozen=True, slots=True)
class Rule:
    held: bool
    detail: str

    def to_json(self) -> dict[str, Any]:
        return {"held": self.held, "detail": self.detail}


@dataclass(slots=True)
class Seen:
    """Everything a rehearsal's stand-ins saw, and when each gatekeeper was unable to act."""

    settings: dict[str, Any]
    asked: list[Asked]
    arrivals: list[Arrival]
    told: list[Told]
    starts: dict[int, list[float]]  # by gatekeeper, the times its lives began
    out: dict[int, list[tuple[float, float]]]  # by gatekeeper: killed or paused, from and to
    plan: str = ""  # that the clients name
    cold: dict[int, tuple[float, float]] = field(default_factory=dict)  # member: (born, warm capacity per s)
    zones: dict[int, int] = field(default_factory=dict)  # member: zone


def _classes(settings: dict[str, Any]) -> dict[str, dict[str, Any]]:
    return {entry["Name"]: entry for entry in settings.get("Classes", [])}


def _first(items: list[str], more: int) -> str:
    shown = ", ".join(items[:5])
    return shown + (f" and {more - 5} more" if more > 5 else "")


def one_final_answer(seen: Seen) -> Rule:
    """Each request taken by a live gatekeeper is answered once, while its client waits."""
    broken = []
    sent_on = {a.request: a.at for a in sorted(seen.arrivals, key=lambda a: -a.at)}  # the first of each
    for asked in seen.asked:
        if asked.resent and sent_on.get(asked.request, asked.resent) < asked.resent:
            # The client took a close for one that crossed an unread request; a page server had it already.
            broken.append(f"{asked.request} at g{asked.who}: taken, sent on, and its connection closed")
            continue
        if asked.ending == "unreachable":
            continue
        windows = seen.out.get(asked.who, [])
        if any(
            start <= asked.sent + asked.timeout_s + ANSWER_SLACK_S and end >= asked.sent
            for start, end in windows
        ):
            continue  # killed or paused while it held the request: the client's to try again
        late = asked.ending == "answered" and asked.answered - asked.sent > asked.timeout_s + ANSWER_SLACK_S
        if asked.ending != "answered" or late:
            broken.append(f"{asked.request} at g{asked.who}: {'late' if late else asked.ending}")
    return Rule(
        not broken,
        f"{len(broken)} of {len(seen.asked)} without a timely answer: {_first(broken, len(broken))}"
        if broken
        else f"{len(seen.asked)} requests, each answered once",
    )


def _runs(seen: Seen) -> dict[str, list[Arrival]]:
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(seen.arrivals, key=lambda a: a.at):
        runs[arrival.request].append(arrival)
    return runs


def no_forbidden_resend(seen: Seen) -> tuple[Rule, Rule]:
    """`unsafe`: nothing after an attempt that may have run. `keyed`: further attempts only within the window
    of the first that may have run, and inside its group."""
    classes = _classes(seen.settings)
    twice, keyed = [], []
    for request, arrivals in _runs(seen).items():
        kind = classes.get(arrivals[0].kind, {})
        ran = next((a for a in arrivals if a.ran), None)
        if ran is None:
            continue
        later = [a for a in arrivals if a.at > ran.at]
        if kind.get("Repeat") == "unsafe" and later:
            twice.append(f"{request} ({arrivals[0].kind}) at members {[a.member for a in arrivals]}")
        elif kind.get("Repeat") == "keyed":
            window = kind.get("WindowUs", 0) / 1e6 + SOCKET_SLACK_S
            group = kind.get("Group", "all")
            for again in later:
                outside = group == "zone" and seen.zones.get(again.member) != seen.zones.get(ran.member)
                if again.at - ran.at > window or outside:
                    keyed.append(f"{request} at member {again.member}, {again.at - ran.at:.3f} s on")
    counted = sum(
        1 for runs in _runs(seen).values() if classes.get(runs[0].kind, {}).get("Repeat") == "unsafe"
    )
    return (
        Rule(
            not twice,
            f"ran twice: {_first(twice, len(twice))}"
            if twice
            else f"{counted} unsafe requests, none sent again after it may have run",
        ),
        Rule(
            not keyed,
            f"sent again outside its window or group: {_first(keyed, len(keyed))}"
            if keyed
            else "keyed repeats within window and group",
        ),
    )


def drain(seen: Seen) -> Rule:
    """Nothing new to a member later than DrainGraceUs after this gatekeeper's present life was told that it
    drains or is gone."""
    grace = seen.settings.get("Rules", {}).get("DrainGraceUs", 500_000) / 1e6 + SOCKET_SLACK_S + SEEN_S
    told: dict[tuple[int, int], list[tuple[float, str]]] = defaultdict(list)
    for entry in sorted(seen.told, key=lambda t: t.at):
        told[(entry.who, entry.member)].append((entry.at, entry.health))
    broken = []
    for arrival in seen.arrivals:
        life = max(
            (start for start in seen.starts.get(arrival.who, [0.0]) if start <= arrival.at), default=0.0
        )
        state = [
            (at, health) for at, health in told[(arrival.who, arrival.member)] if life <= at <= arrival.at
        ]
        leaving = None
        for at, health in state:
            if health == "Ready":
                leaving = None
            elif leaving is None:
                leaving = at
        if leaving is not None and arrival.at - leaving > grace:
            broken.append(
                f"{arrival.request} from g{arrival.who} to member {arrival.member}, "
                f"{arrival.at - leaving:.3f} s after"
            )
    return Rule(
        not broken,
        f"sent to a member that drains: {_first(broken, len(broken))}"
        if broken
        else "no send to a member told draining or gone",
    )


def ceilings(seen: Seen) -> Rule:
    """Per customer on a plan with a ceiling: the store of all gatekeepers' first sends never falls below
    its slack."""
    plan = {plan["Name"]: plan for plan in seen.settings.get("Packages", [])}.get(seen.plan, {})
    if not plan.get("CeilingRate"):
        return Rule(True, f"no ceiling on plan {seen.plan!r}")
    rate, depth = float(plan["CeilingRate"]), float(plan["CapDepth"])
    floor = -(float(plan.get("CeilingSlack", 0)) + rate * CEILING_SLACK_S)
    firsts: dict[str, list[Arrival]] = defaultdict(list)
    for arrivals in _runs(seen).values():
        firsts[arrivals[0].customer].append(arrivals[0])
    worst, broken = 0.0, []
    for customer, arrivals in firsts.items():
        store, last = depth, arrivals[0].at
        for arrival in arrivals:
            store = min(depth, store + (arrival.at - last) * rate)
            last = arrival.at
            store -= arrival.units
            worst = min(worst, store)
            if store < floor:
                broken.append(
                    f"customer {customer} at {arrival.at:.2f} s: {store:.1f} units, floor {floor:.1f}"
                )
                break
    return Rule(
        not broken,
        f"over its ceiling: {_first(broken, len(broken))}"
        if broken
        else f"ceilings held; the lowest store {worst:.1f} units",
    )


def cold_members(seen: Seen) -> Rule:
    """A member that started cold gets no more than FallMultiple times its present capacity for FallUs."""
    rules = seen.settings.get("Rules", {})
    multiple, window = float(rules.get("FallMultiple", 3)), rules.get("FallUs", 3_000_000) / 1e6
    cold_from, ramp = float(rules.get("ColdFrom", 0.2)), rules.get("RampTimeUs", 18_000_000) / 1e6
    broken = []
    for member, (born, warm) in seen.cold.items():
        times = sorted(a.at for a in seen.arrivals if a.member == member)
        start = 0
        for end, at in enumerate(times):
            while times[start] < at - window:
                start += 1
            middle = at - window / 2
            capacity = warm * (cold_from + (1 - cold_from) * min(1.0, max(0.0, middle - born) / ramp))
            if end - start + 1 > multiple * capacity * window:
                broken.append(f"member {member}: {end - start + 1} in {window:.1f} s at {at:.1f} s")
                break
    return Rule(
        not broken,
        f"pushed over: {_first(broken, len(broken))}"
        if broken
        else f"{len(seen.cold)} cold members kept under their fall",
    )


def rules(seen: Seen) -> dict[str, Rule]:
    twice, keyed = no_forbidden_resend(seen)
    return {
        "one_final_answer": one_final_answer(seen),
        "unsafe_never_twice": twice,
        "keyed_within_group": keyed,
        "drain": drain(seen),
        "ceiling": ceilings(seen),
        "cold_member": cold_members(seen),
    }


def rules_in_force(
    lines: list[dict[str, Any]], zero: float, end: float, killed: dict[int, list[float]]
) -> dict[str, float]:
    """How long gatekeepers in play acted on contradicting settings, from their logs (a figure, not a rule):
    each life begins with the version it serves on, a change of settings moves it, an agreement line says
    which versions' rules all hold while it is unsure, a SIGKILL ends it. Two gatekeepers contradict where no
    version's rules hold at both; `versions_at_end` counts the versions in force at the end.

    :param zero: the rehearsal's start, as Unix time, to which the logs' timestamps are taken
    """
    steps: list[tuple[float, int, tuple[str, ...] | None]] = []
    for line in lines:
        event, version = line.get("event"), line.get("settings")
        if event == "agreement" and isinstance(line.get("interim"), str):
            version = str(line["interim"])
        elif event not in ("serves", "settings change") or not isinstance(version, str):
            continue
        at = datetime.fromisoformat(str(line["timestamp"]).replace("Z", "+00:00")).timestamp() - zero
        steps.append((at, int(line["gatekeeper"]), tuple(version.split(","))))
    steps += [(at, who, None) for who, times in killed.items() for at in times]
    steps.sort(key=lambda step: step[0])
    acting: dict[int, tuple[str, ...]] = {}
    total = longest = run = 0.0
    last = steps[0][0] if steps else 0.0
    for at, who, version in [*steps, (end, -1, None)]:
        held = list(acting.values())
        split = any(not set(one) & set(other) for one in held for other in held)
        if split:
            total += at - last
            run += at - last
            longest = max(longest, run)
        else:
            run = 0.0
        last = at
        if version is None:
            acting.pop(who, None)
        else:
            acting[who] = version
    return {
        "time_on_two_rules_s": round(total, 3),
        "longest_on_two_rules_s": round(longest, 3),
        "versions_at_end": len({versions[-1] for versions in acting.values()}),
    }


def figures(seen: Seen, seconds: float, calls: dict[int, int]) -> dict[str, float]:
    asked = seen.asked
    answered = [a for a in asked if a.ending == "answered"]
    served = [a for a in answered if a.status == 200]
    in_time = [a for a in served if a.answered - a.sent <= a.timeout_s]
    return {
        "requests": len(asked),
        "served": len(served),
        "refused": sum(1 for a in answered if a.status in (429, 503)),
        "failed": sum(1 for a in answered if a.status not in (200, 429, 503)),
        "unanswered": sum(1 for a in asked if a.ending in ("closed", "late", "open")),
        "unreachable": sum(1 for a in asked if a.ending == "unreachable"),
        "served_in_time_share": round(len(in_time) / len(asked), 4) if asked else 0.0,
        "attempts_at_members": len(seen.arrivals),
        "counter_calls_per_s": round(sum(calls.values()) / seconds, 2) if seconds else 0.0,
    }
