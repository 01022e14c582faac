"""All processes of the core are killed at the same instant, soon after the first start, and come back."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins as s

ZONES = {"bris-north": "bris", "bris-south": "bris", "tsv-east": "tsv", "tsv-west": "tsv"}
FOUNDED = "register: core 2:"  # the line of the log that says that the first core is in force
BACK_AFTER_S, WATCH_S = 1.0, 25.0
TIMES, MACHINES = 3, 2  # ends by itself on one machine; machines: half of the core


async def case(world):
    """Run the case; return whether the rule was broken."""
    world.platform = s.Platform(world)
    server = s.Server(world, "i-0000", "shelf", "bris-north", "127.0.0.1")
    await server.start()
    world.servers.append(server)
    await world.platform.start()
    fleet = world.fleet = s.Fleet(world, world.folder, ZONES, [(f"edge-{z}", z) for z in ZONES], 4)
    numbers = range(len(ZONES))
    for number in numbers:
        fleet.start(number, fresh=True)

    async def founded():
        logs = (Path(world.folder) / f"{fleet.names[number][0]}.log" for number in numbers)
        return any(FOUNDED in log.read_text() for log in logs if log.exists())

    await world.until("the first core", founded, 20.0, 0.005)
    if s.trouble():
        for number in numbers:
            fleet.signal(number, s.signal.SIGKILL)
        for number in numbers:
            fleet.running[number].wait(10)
        await asyncio.sleep(BACK_AFTER_S - 0.1)
        for number in numbers:
            fleet.start(number)
    ends = [0 for _ in numbers]
    acknowledged, stop, due = 0.0, time.monotonic() + WATCH_S, {}
    first = s.document(
        1, s.service("shelf"), s.route("pages", "/p/", "idempotent", "shelf"), s.tenant("t", ["key1"])
    )
    calling = None
    while time.monotonic() < stop:
        now = time.monotonic()
        for number in numbers:  # the platform starts again what has ended
            code = fleet.running[number].poll()
            if code is not None and number not in due:
                ends[number] += 1
                due[number] = now + BACK_AFTER_S
                world.note("ended by itself", machine=fleet.names[number][0], code=code, times=ends[number])
            elif number in due and now >= due[number]:
                del due[number]
                fleet.start(number)
        if calling is None:  # the operator sends the first configuration until it is taken
            target = int(now) % len(ZONES)
            calling = asyncio.create_task(fleet.operator(target, "PUT", "/v1/config", first, timeout=6.0))
        elif calling.done():
            answer, calling = calling.result(), None
            world.note("configuration", status=answer.status, error=answer.error)
            if answer.status == 200 and not acknowledged:
                acknowledged = now
        await asyncio.sleep(0.05)
    if calling is not None:
        calling.cancel()
    often = sum(1 for one in ends if one >= TIMES)
    names = ", ".join(f"{fleet.names[number][0]} {ends[number]}" for number in numbers)
    world.say(f"ends of its own, with no trouble there: {names}")
    taken = "acknowledged" if acknowledged else "never acknowledged"
    world.say(f"the first configuration was {taken} in {WATCH_S:g} s")
    return often >= MACHINES


s.main(Path(__file__).parent, case)
