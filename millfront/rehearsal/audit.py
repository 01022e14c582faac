"""Checks the safety rules against what the stand-ins saw on the wire; computes the figures of a rehearsal.

No rule is checked against a gatekeeper's log or status: that a gatekeeper believes it kept a rule proves
nothing. Times are seconds of the rehearsal's clock, taken when the stand-in received the bytes, which is
later than the gatekeeper sent them: a late send is always seen as late, and a timely one may look late by
the delay of the event loop, which OBSERVATION_DELAY_S allows for.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from millfront.rehearsal.load import SentRequest
from millfront.rehearsal.standins import Arrival, HealthUpdate

OBSERVATION_DELAY_S = 0.1  # from a gatekeeper's write to the stand-in's timestamp, on a loaded event loop
ANSWER_SLACK_S = 0.25  # beyond a client's timeout: the platform's slack and the event loop's delay
SOCKET_SLACK_S = 0.05  # PROTOCOL: added to every time limit on sockets
CEILING_SLACK_S = 0.15  # PROTOCOL: the ceiling's slack grows by its rate times this


@dataclass(frozen=True, slots=True)
class Rule:
    held: bool
    detail: str

    def to_json(self) -> dict[str, Any]:
        return {"held": self.held, "detail": self.detail}


@dataclass(slots=True)
class Observations:
    """All that the stand-ins of a rehearsal saw, and when each gatekeeper was unable to act."""

    settings: dict[str, Any]
    requests: list[SentRequest]
    arrivals: list[Arrival]
    health_updates: list[HealthUpdate]
    starts: dict[int, list[float]]  # by gatekeeper, when each of its processes started
    unavailable: dict[int, list[tuple[float, float]]]  # by gatekeeper: (start, end) while killed or paused
    plan: str = ""  # named by the clients' requests
    cold: dict[int, tuple[float, float]] = field(default_factory=dict)  # member: (start, warm capacity per s)
    zones: dict[int, int] = field(default_factory=dict)  # member: zone


def _classes(settings: dict[str, Any]) -> dict[str, dict[str, Any]]:
    return {entry["Name"]: entry for entry in settings.get("Classes", [])}


def _shorten(items: list[str], total: int) -> str:
    shown = ", ".join(items[:5])
    return shown + (f" and {total - 5} more" if total > 5 else "")


def one_final_answer(observed: Observations) -> Rule:
    """Each request accepted by a running gatekeeper is answered once, before its client gives up."""
    broken = []
    # By request id, the time of its first arrival
    forwarded_at = {a.request: a.at for a in sorted(observed.arrivals, key=lambda a: -a.at)}
    for record in observed.requests:
        if record.resent and forwarded_at.get(record.request, record.resent) < record.resent:
            # The client took the close for one that crossed an unread request, but a page server had already
            # received the request.
            broken.append(
                f"{record.request} at g{record.gatekeeper}: forwarded, but its connection was closed"
            )
            continue
        if record.ending == "unreachable":
            continue
        outages = observed.unavailable.get(record.gatekeeper, [])
        if any(
            start <= record.sent + record.timeout_s + ANSWER_SLACK_S and end >= record.sent
            for start, end in outages
        ):
            continue  # killed or paused while it held the request: a retry is up to the client
        late = (
            record.ending == "answered" and record.answered - record.sent > record.timeout_s + ANSWER_SLACK_S
        )
        if record.ending != "answered" or late:
            broken.append(f"{record.request} at g{record.gatekeeper}: {'late' if late else record.ending}")
    return Rule(
        not broken,
        f"{len(broken)} of {len(observed.requests)} without a timely answer: {_shorten(broken, len(broken))}"
        if broken
        else f"{len(observed.requests)} requests, each answered once",
    )


def _by_request(observed: Observations) -> dict[str, list[Arrival]]:
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in sorted(observed.arrivals, key=lambda a: a.at):
        runs[arrival.request].append(arrival)
    return runs


def no_forbidden_resend(observed: Observations) -> tuple[Rule, Rule]:
    """`unsafe` requests: no attempt after one that may have run. `keyed` requests: further attempts only
    within the window of the first that may have run, and inside its group."""
    classes = _classes(observed.settings)
    repeated, keyed = [], []
    for request, arrivals in _by_request(observed).items():
        request_class = classes.get(arrivals[0].request_class, {})
        first = next((a for a in arrivals if a.may_have_run), None)
        if first is None:
            continue
        later = [a for a in arrivals if a.at > first.at]
        if request_class.get("Repeat") == "unsafe" and later:
            repeated.append(
                f"{request} ({arrivals[0].request_class}) at members {[a.member for a in arrivals]}"
            )
        elif request_class.get("Repeat") == "keyed":
            window = request_class.get("WindowUs", 0) / 1e6 + SOCKET_SLACK_S
            group = request_class.get("Group", "all")
            for again in later:
                outside = group == "zone" and observed.zones.get(again.member) != observed.zones.get(
                    first.member
                )
                if again.at - first.at > window or outside:
                    keyed.append(f"{request} at member {again.member}, {again.at - first.at:.3f} s on")
    counted = sum(
        1
        for runs in _by_request(observed).values()
        if classes.get(runs[0].request_class, {}).get("Repeat") == "unsafe"
    )
    return (
        Rule(
            not repeated,
            f"ran twice: {_shorten(repeated, len(repeated))}"
            if repeated
            else f"{counted} unsafe requests, none sent again after it may have run",
        ),
        Rule(
            not keyed,
            f"sent again outside its window or group: {_shorten(keyed, len(keyed))}"
            if keyed
            else "keyed repeats within window and group",
        ),
    )


def drain(observed: Observations) -> Rule:
    """A gatekeeper sends nothing to a member later than DrainGraceUs after its running process was told that
    the member is draining or gone."""
    grace = (
        observed.settings.get("Rules", {}).get("DrainGraceUs", 500_000) / 1e6
        + SOCKET_SLACK_S
        + OBSERVATION_DELAY_S
    )
    health_updates: dict[tuple[int, int], list[tuple[float, str]]] = defaultdict(list)
    for entry in sorted(observed.health_updates, key=lambda t: t.at):
        health_updates[(entry.gatekeeper, entry.member)].append((entry.at, entry.health))
    broken = []
    for arrival in observed.arrivals:
        started_at = max(
            (start for start in observed.starts.get(arrival.gatekeeper, [0.0]) if start <= arrival.at),
            default=0.0,
        )
        state = [
            (at, health)
            for at, health in health_updates[(arrival.gatekeeper, arrival.member)]
            if started_at <= at <= arrival.at
        ]
        leaving = None
        for at, health in state:
            if health == "Ready":
                leaving = None
            elif leaving is None:
                leaving = at
        if leaving is not None and arrival.at - leaving > grace:
            broken.append(
                f"{arrival.request} from g{arrival.gatekeeper} to member {arrival.member}, "
                f"{arrival.at - leaving:.3f} s after"
            )
    return Rule(
        not broken,
        f"sent to a draining member: {_shorten(broken, len(broken))}"
        if broken
        else "no request sent to a member reported as draining or gone",
    )


def ceilings(observed: Observations) -> Rule:
    """For each customer of a plan with a ceiling: the token bucket charged with the first attempts from all
    gatekeepers never falls below the negative slack."""
    plan = {plan["Name"]: plan for plan in observed.settings.get("Packages", [])}.get(observed.plan, {})
    if not plan.get("CeilingRate"):
        return Rule(True, f"no ceiling on plan {observed.plan!r}")
    rate, depth = float(plan["CeilingRate"]), float(plan["CapDepth"])
    floor = -(float(plan.get("CeilingSlack", 0)) + rate * CEILING_SLACK_S)
    first_attempts: dict[str, list[Arrival]] = defaultdict(list)
    for arrivals in _by_request(observed).values():
        first_attempts[arrivals[0].customer].append(arrivals[0])
    worst, broken = 0.0, []
    for customer, arrivals in first_attempts.items():
        level, last = depth, arrivals[0].at
        for arrival in arrivals:
            level = min(depth, level + (arrival.at - last) * rate)
            last = arrival.at
            level -= arrival.units
            worst = min(worst, level)
            if level < floor:
                broken.append(
                    f"customer {customer} at {arrival.at:.2f} s: {level:.1f} units, floor {floor:.1f}"
                )
                break
    return Rule(
        not broken,
        f"over its ceiling: {_shorten(broken, len(broken))}"
        if broken
        else f"ceilings held; the lowest bucket level was {worst:.1f} units",
    )


def cold_members(observed: Observations) -> Rule:
    """A member that started cold gets at most FallMultiple times its current capacity over FallUs."""
    rules = observed.settings.get("Rules", {})
    multiple, window = float(rules.get("FallMultiple", 3)), rules.get("FallUs", 3_000_000) / 1e6
    cold_from, ramp = float(rules.get("ColdFrom", 0.2)), rules.get("RampTimeUs", 18_000_000) / 1e6
    broken = []
    for member, (started_at, warm) in observed.cold.items():
        times = sorted(a.at for a in observed.arrivals if a.member == member)
        start = 0
        for end, at in enumerate(times):
            while times[start] < at - window:
                start += 1
            middle = at - window / 2
            capacity = warm * (cold_from + (1 - cold_from) * min(1.0, max(0.0, middle - started_at) / ramp))
            if end - start + 1 > multiple * capacity * window:
                broken.append(f"member {member}: {end - start + 1} in {window:.1f} s at {at:.1f} s")
                break
    return Rule(
        not broken,
        f"overloaded: {_shorten(broken, len(broken))}"
        if broken
        else f"{len(observed.cold)} cold members kept under their limit",
    )


def check_rules(observed: Observations) -> dict[str, Rule]:
    repeated, keyed = no_forbidden_resend(observed)
    return {
        "one_final_answer": one_final_answer(observed),
        "unsafe_never_twice": repeated,
        "keyed_within_group": keyed,
        "drain": drain(observed),
        "ceiling": ceilings(observed),
        "cold_member": cold_members(observed),
    }


def rules_in_force(
    lines: list[dict[str, Any]], zero: float, end: float, killed: dict[int, list[float]]
) -> dict[str, float]:
    """How long running gatekeepers acted on contradicting settings, from their logs (a figure, not a rule).

    Each process starts with the version it logs on serving; a settings change replaces it; an agreement line
    names the versions whose rules all apply while agreement is open; a SIGKILL ends it. Two gatekeepers
    contradict each other if no version's rules apply at both. `versions_at_end` counts the versions in force
    at the end.

    :param zero: the rehearsal's start as Unix time; the logs' timestamps are taken relative to it
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
    steps += [(at, gatekeeper, None) for gatekeeper, times in killed.items() for at in times]
    steps.sort(key=lambda step: step[0])
    in_force: dict[int, tuple[str, ...]] = {}
    total = longest = run = 0.0
    last = steps[0][0] if steps else 0.0
    for at, gatekeeper, version in [*steps, (end, -1, None)]:
        active = list(in_force.values())
        contradicting = any(not set(one) & set(other) for one in active for other in active)
        if contradicting:
            total += at - last
            run += at - last
            longest = max(longest, run)
        else:
            run = 0.0
        last = at
        if version is None:
            in_force.pop(gatekeeper, None)
        else:
            in_force[gatekeeper] = version
    return {
        "time_on_two_rules_s": round(total, 3),
        "longest_on_two_rules_s": round(longest, 3),
        "versions_at_end": len({versions[-1] for versions in in_force.values()}),
    }


def figures(observed: Observations, seconds: float, calls: dict[int, int]) -> dict[str, float]:
    requests = observed.requests
    answered = [a for a in requests if a.ending == "answered"]
    served = [a for a in answered if a.status == 200]
    in_time = [a for a in served if a.answered - a.sent <= a.timeout_s]
    return {
        "requests": len(requests),
        "served": len(served),
        "refused": sum(1 for a in answered if a.status in (429, 503)),
        "failed": sum(1 for a in answered if a.status not in (200, 429, 503)),
        "unanswered": sum(1 for a in requests if a.ending in ("closed", "late", "open")),
        "unreachable": sum(1 for a in requests if a.ending == "unreachable"),
        "served_in_time_share": round(len(in_time) / len(requests), 4) if requests else 0.0,
        "attempts_at_members": len(observed.arrivals),
        "counter_calls_per_s": round(sum(calls.values()) / seconds, 2) if seconds else 0.0,
    }
