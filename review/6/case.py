"""The only tenant of a deployment loses its last key, and whoever sends a request is served without any."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit2 import (
    TROUBLE,
    Deployment,
    Record,
    call_once,
    configuration,
    fields_of,
    limits,
    play,
    route,
    service,
    tenant,
)

FOLDER = Path(__file__).resolve().parent
HELD_KEY, OTHER_KEY, NEVER_HELD = "key-of-the-press", "second-key-of-the-press", "key-that-nobody-ever-held"
REVOKE_WITHIN_S = 5.0
SENDS = 6


async def case(record: Record, folder: Path, deployments: list[Deployment]) -> bool:
    """Whether no request runs whose key was taken away, or was never held."""
    zones = {"north": "a", "south": "a", "far": "b"}
    deployment = Deployment(record, folder, zones, [("north", True), ("south", True), ("far", True)])
    deployments.append(deployment)
    await deployment.platform.listen()
    for zone in zones:
        await deployment.add_server(f"i-shelf-{zone}", "shelf", zone)
    for gatekeeper in deployment.gatekeepers:
        gatekeeper.start()
    rest = (route("buy", "/buy/", "effectful", "shelf"), service("shelf"), limits())
    await deployment.put(configuration(1, *rest, tenant("press", [HELD_KEY, OTHER_KEY])))
    await deployment.ready()

    async def send(attempt: str, key: str) -> int:
        gatekeeper = deployment.gatekeepers[int(attempt[-1]) % 3]
        answer = await call_once(gatekeeper.plain, "POST", "/buy/1", fields_of(attempt, key), b"one issue")
        record(f"{attempt} with key {key} at {gatekeeper.name}: {answer}")
        return answer.status

    before = [await send(f"held-before-{n}", HELD_KEY) for n in range(3)]
    before += [await send(f"never-before-{n}", NEVER_HELD) for n in range(3)]
    if before != [200] * 3 + [401] * 3:
        record(f"unexpected before the change: {before}")
    keys = [] if TROUBLE else [OTHER_KEY]
    acknowledged = await deployment.put(configuration(2, *rest, tenant("press", keys)))
    await asyncio.sleep(max(0.0, acknowledged + REVOKE_WITHIN_S + 1.0 - time.monotonic()))
    for n in range(SENDS):
        await send(f"held-after-{n}", HELD_KEY)
        await send(f"never-after-{n}", NEVER_HELD)
    ran = [run for run in deployment.runs() if run.attempt.startswith(("held-after", "never-"))]
    for run in ran:
        record(
            f"ran, though no configuration in force has its key: {run.attempt}, tenant {run.tenant or 'none'}"
        )
    return not ran


if __name__ == "__main__":
    sys.exit(play(case, FOLDER))
