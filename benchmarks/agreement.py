"""How long gatekeepers use conflicting settings after a change that only some of them are signalled about,
over many seeds, with and without agreement through the counter.

    python -m benchmarks.agreement examples/rehearsals/sighup-reaches-three-agreed.toml --seeds 20

Each seed is one rehearsal of real processes (millfront.rehearsal). Without agreement, the scenario's
operators' file is used without its `agreement`. Prints, for each: max and p99 of time_on_two_rules_s,
number of seeds that ended with one version, broken rules, counter calls per second.
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


def run_seeds(document: scenario.Scenario, seeds: int) -> dict[str, Any]:
    times, agreed_ends, broken, calls = [], 0, 0, []
    for seed in range(1, seeds + 1):
        with tempfile.TemporaryDirectory() as out:
            verdict = asyncio.run(run_scenario(msgspec.structs.replace(document, seed=seed), Path(out)))
        figures = verdict["figures"]
        times.append(figures["time_on_two_rules_s"])
        agreed_ends += figures["versions_at_end"] == 1
        broken += not verdict["passed"]
        calls.append(figures["counter_calls_per_s"])
    return {
        "seeds": seeds,
        "max_s": max(times),
        "p99_s": p99(times),
        "one_version_at_end": agreed_ends,
        "broken": broken,
        "counter_calls_per_s": round(sum(calls) / len(calls), 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("scenario")
    parser.add_argument("--seeds", type=int, default=20)
    args = parser.parse_args()
    document = scenario.load(args.scenario)
    without = msgspec.structs.replace(
        document, operators={k: v for k, v in document.operators.items() if k != "agreement"}
    )
    print(json.dumps({"with": run_seeds(document, args.seeds), "without": run_seeds(without, args.seeds)}))


if __name__ == "__main__":
    main()
