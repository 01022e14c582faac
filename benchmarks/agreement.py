"""How long gatekeepers act on contradicting settings after a change that not all of them are signalled of,
over many seeds, with agreement at the counter and without.

    python -m benchmarks.agreement examples/rehearsals/sighup-reaches-three-agreed.toml --seeds 20

Each seed is one rehearsal of real processes (millfront.rehearsal). Without agreement, the scenario's
operators' file is played without its `agreement`. Prints, for each: max and p99 of time_on_two_rules_s,
how many seeds ended on one version, rules broken, counter calls a second.
"""

import argparse
import asyncio
import json
import math
import tempfile
from pathlib import Path
from typing import Any

import msgspec

from millfront.rehearsal import scenario
from millfront.rehearsal.play import run_scenario


def p99(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[max(0, math.ceil(0.99 * len(ordered)) - 1)]


def played(told: scenario.Scenario, seeds: int) -> dict[str, Any]:
    times, ends, broken, calls = [], 0, 0, []
    for seed in range(1, seeds + 1):
        with tempfile.TemporaryDirectory() as out:
            verdict = asyncio.run(run_scenario(msgspec.structs.replace(told, seed=seed), Path(out)))
        figures = verdict["figures"]
        times.append(figures["time_on_two_rules_s"])
        ends += figures["versions_at_end"] == 1
        broken += not verdict["passed"]
        calls.append(figures["counter_calls_per_s"])
    return {
        "seeds": seeds,
        "max_s": max(times),
        "p99_s": p99(times),
        "one_version_at_end": ends,
        "broken": broken,
        "counter_calls_per_s": round(sum(calls) / len(calls), 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("scenario")
    parser.add_argument("--seeds", type=int, default=20)
    args = parser.parse_args()
    told = scenario.load(args.scenario)
    without = msgspec.structs.replace(
        told, operators={k: v for k, v in told.operators.items() if k != "agreement"}
    )
    print(json.dumps({"with": played(told, args.seeds), "without": played(without, args.seeds)}))


if __name__ == "__main__":
    main()
