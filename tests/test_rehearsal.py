"""The rehearsal kit: validation of scenarios, rules that detect violations, and rehearsals of real gatekeeper
processes with faults between them."""

import asyncio
from pathlib import Path

import pytest

from millfront.operators.faults import InvalidDocument
from millfront.rehearsal import audit, scenario
from millfront.rehearsal.load import SentRequest
from millfront.rehearsal.play import run_scenario, settings
from millfront.rehearsal.standins import Arrival, HealthUpdate

EXAMPLES = Path(__file__).parent.parent / "examples" / "rehearsals"


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ('name = "x"\nduration_s = 5\n[[faults]]\nat_s = 1\ndo = "signal"', "$.faults[0]"),
        ('name = "x"\nduration_s = 5\ngatekeepers = "five"', "$.gatekeepers"),
        ('name = "x"\nduration_s = 5\n[[faults]]\nat_s = 9\ndo = "wipe"', "after the scenario's end"),
        ('name = "x"\nduration_s = 5\nspeed = 3', "$.speed"),
        ("name = ", "can't be read"),
    ],
)
def test_an_invalid_scenario_is_reported_with_its_field(text: str, path: str) -> None:
    with pytest.raises(InvalidDocument, match=path.replace("$", r"\$").replace("[", r"\[")):
        scenario.parse(text.encode(), toml=True)


def test_every_example_scenario_is_valid() -> None:
    assert [scenario.load(path).name for path in sorted(EXAMPLES.glob("*.toml"))]


def observed(
    *arrivals: Arrival, requests: list[SentRequest] | None = None, updates: list[HealthUpdate] | None = None
) -> audit.Observations:
    rules = settings(scenario.Scenario(name="t", duration_s=1))
    return audit.Observations(
        rules, requests or [], list(arrivals), updates or [], {0: [0.0]}, {}, plan="regular"
    )


def test_each_rule_detects_its_violation() -> None:
    """Each rule, given records that break it, and records that do not."""
    twice = observed(
        Arrival(1.0, 0, 0, "r1", "code-redeem", "c", 1, "error"),
        Arrival(1.2, 1, 1, "r1", "code-redeem", "c", 1),
    )
    assert not audit.check_rules(twice)["unsafe_never_twice"].held
    not_started = observed(
        Arrival(1.0, 0, 0, "r1", "code-redeem", "c", 1, "not_started"),
        Arrival(1.2, 1, 1, "r1", "code-redeem", "c", 1),
    )
    assert audit.check_rules(not_started)["unsafe_never_twice"].held
    keyed = observed(
        Arrival(1.0, 0, 0, "r2", "issue-buy", "c", 1, "lost"), Arrival(9.5, 0, 1, "r2", "issue-buy", "c", 1)
    )
    assert not audit.check_rules(keyed)["keyed_within_group"].held
    late = observed(
        Arrival(3.0, 0, 2, "r3", "page-fetch", "c", 1, "ok"),
        updates=[HealthUpdate(2.0, 0, 2, "Terminating", 2)],
    )
    assert not audit.check_rules(late)["drain"].held
    in_time = observed(
        Arrival(2.3, 0, 2, "r3", "page-fetch", "c", 1, "ok"),
        updates=[HealthUpdate(2.0, 0, 2, "Terminating", 2)],
    )
    assert audit.check_rules(in_time)["drain"].held
    burst = [Arrival(1.0 + i / 1000, 0, 0, f"b{i}", "page-fetch", "c", 1, "ok") for i in range(60)]
    assert not audit.check_rules(observed(*burst))[
        "ceiling"
    ].held  # 40 deep, slack 4 and 2.4: 60 at once is over
    assert audit.check_rules(observed(*burst[:40]))["ceiling"].held
    lost = [SentRequest("r4", "page-fetch", "c", 0, 1.0, 2.0, ending="closed")]
    assert not audit.check_rules(observed(requests=lost))["one_final_answer"].held
    again = [SentRequest("r5", "page-fetch", "c", 0, 1.0, 2.0, 200, 1.5, "answered", resent=1.2)]
    unread = observed(Arrival(1.3, 0, 0, "r5", "page-fetch", "c", 1, "ok"), requests=again)
    assert audit.check_rules(unread)["one_final_answer"].held
    taken = observed(Arrival(1.1, 0, 0, "r5", "page-fetch", "c", 1, "ok"), requests=again)
    assert not audit.check_rules(taken)["one_final_answer"].held


FAULTS = """
name = "three-gatekeepers-faults"
duration_s = 9
gatekeepers = 3
[clients]
rate_per_s = 45
customers = 12
timeout_ms = 1500
[[pages]]
count = 3
[[faults]]
at_s = 1.5
do = "config"
settings = { Allowed = { MostTries = 2 } }
[[faults]]
at_s = 1.6
do = "signal"
signal = "HUP"
gatekeepers = [0, 1]
[[faults]]
at_s = 2.0
do = "discovery"
member = 2
health = "Terminating"
lag_s = 0.8
gatekeepers = [2]
[[faults]]
at_s = 2.5
do = "link"
link = "counter"
effect = "blackhole"
gatekeepers = [1]
for_s = 1.5
[[faults]]
at_s = 3.0
do = "signal"
signal = "KILL"
gatekeepers = [2]
[[faults]]
at_s = 3.5
do = "restart"
gatekeepers = [2]
[[faults]]
at_s = 4.5
do = "link"
link = "pages"
pages = [0]
effect = "lose_answers"
share = 0.5
for_s = 1.0
"""


def test_three_processes_keep_every_rule_through_faults(tmp_path: Path) -> None:
    parsed = scenario.parse(FAULTS.encode(), toml=True)
    verdict = asyncio.run(run_scenario(parsed, tmp_path))
    assert verdict["passed"], verdict["rules"]
    assert verdict["figures"]["requests"] > 200
    assert (tmp_path / "verdict.json").exists()
    logs = (tmp_path / "logs.jsonl").read_text().splitlines()
    assert sum('"event": "serves"' in line for line in logs) == 4  # three starts and the restart
    assert any('"settings change"' in line and '"gatekeeper": 1' in line for line in logs)
    assert not any('"settings change"' in line and '"gatekeeper": 2' in line for line in logs)
    assert verdict["figures"]["time_on_two_rules_s"] > 1.0  # g2 took the new file only at its restart
    assert verdict["figures"]["versions_at_end"] == 1


def test_time_on_two_rules_counts_restarts_and_changes() -> None:
    lines = [
        {"event": "serves", "settings": "a", "timestamp": "1970-01-01T00:00:10Z", "gatekeeper": 0},
        {"event": "serves", "settings": "a", "timestamp": "1970-01-01T00:00:10Z", "gatekeeper": 1},
        {"event": "settings change", "settings": "b", "timestamp": "1970-01-01T00:00:12Z", "gatekeeper": 0},
        {"event": "serves", "settings": "b", "timestamp": "1970-01-01T00:00:17Z", "gatekeeper": 1},
    ]
    figures = audit.rules_in_force(lines, zero=10.0, end=9.0, killed={1: [4.0]})
    assert figures == {"time_on_two_rules_s": 2.0, "longest_on_two_rules_s": 2.0, "versions_at_end": 1}


AGREED = """
name = "agreement-over-a-lost-signal"
duration_s = 6
gatekeepers = 4
operators = { agreement = { period_s = 0.3, most_unsure_s = 10.0 } }
[clients]
rate_per_s = 30
timeout_ms = 1000
[[pages]]
count = 2
[[faults]]
at_s = 0.5
do = "link"
link = "counter"
effect = "blackhole"
gatekeepers = [3]
for_s = 3.0
[[faults]]
at_s = 1.5
do = "config"
settings = { Allowed = { MostTries = 2 } }
[[faults]]
at_s = 1.6
do = "signal"
signal = "HUP"
gatekeepers = [0, 1]
"""


def test_without_agreement_a_lost_sighup_leaves_two_versions_to_the_end(tmp_path: Path) -> None:
    parsed = scenario.parse(AGREED.replace("operators = ", "# ").encode(), toml=True)
    verdict = asyncio.run(run_scenario(parsed, tmp_path))
    assert verdict["passed"], verdict["rules"]
    assert verdict["figures"]["versions_at_end"] == 2


def test_gatekeepers_that_missed_a_sighup_learn_of_it_by_the_counter_or_its_silence(tmp_path: Path) -> None:
    """Guards against two versions staying in force after a lost SIGHUP: g2 sees the others' version at the
    counter; g3 can't reach the counter and rereads its file."""
    verdict = asyncio.run(run_scenario(scenario.parse(AGREED.encode(), toml=True), tmp_path))
    assert verdict["passed"], verdict["rules"]
    figures = verdict["figures"]
    assert figures["versions_at_end"] == 1
    # The interim settings hold both versions; what is left is the moment between a SIGHUP's settings and
    # the agreement view taking them over, without I/O in between.
    assert figures["time_on_two_rules_s"] < 0.05, figures
    # Four calls per bucket from each of four, and a quarter more for the starts before the rehearsal's
    # start: a gatekeeper counted twice in one bucket would hide one that is missing.
    assert figures["counter_calls_per_s"] <= 4 * 4 / 0.3 * 1.25
    logs = (tmp_path / "logs.jsonl").read_text().splitlines()
    changed = {line.split('"gatekeeper": ')[1][0] for line in logs if '"settings change"' in line}
    assert changed == {"0", "1", "2", "3"}


def test_interim_settings_with_both_versions_contradict_neither() -> None:
    at = "1970-01-01T00:00:1{}Z".format
    lines = [
        {"event": "serves", "settings": "a", "timestamp": at(0), "gatekeeper": 0},
        {"event": "serves", "settings": "a", "timestamp": at(0), "gatekeeper": 1},
        {"event": "settings change", "settings": "b", "timestamp": at(2), "gatekeeper": 0},
        {"event": "agreement", "interim": "a,b", "timestamp": at(2), "gatekeeper": 0},
        {"event": "settings change", "settings": "c", "timestamp": at(5), "gatekeeper": 1},
    ]
    figures = audit.rules_in_force(lines, zero=10.0, end=7.0, killed={})
    assert figures["time_on_two_rules_s"] == 2.0  # from 5 s: a,b beside c alone
