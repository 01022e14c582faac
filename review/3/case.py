"""The servers of an evacuated zone turn cold shortly before the evacuation is taken back."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins as s

ZONES = {"bris-north": "bris", "bris-south": "bris", "tsv-east": "tsv", "tsv-west": "tsv"}
RATE = 80.0  # requests a second: all servers together have 24 slots of 0.25 s, 96 a second
ZONE, EVACUATED_S, COLD_BEFORE_S = "bris-north", 8.0, 0.1
WARMUP_S, WARMUP_RATE = 3.0, 2.8
ALLOWED = WARMUP_RATE * 1.5 + 5.0  # warmup_rate_s x warmup_excess + warmup_extra
FALLS_OVER_AT = 1.5 * ALLOWED  # requests in one second to a cold server: well above what it bears
DOWN_S, TURNS = 2.0, 2


class ColdServer(s.Server):
    """A server that falls over while it is cold, well above the rate that it bears then."""

    async def handle(self, first, fields, body, writer):
        """Fall over if too many came within a second, else serve the request."""
        now = time.monotonic()
        recent = sum(1 for at, _ in self.arrivals if at > now - 1.0 and at > self.warm_until - WARMUP_S)
        if self.phase == "ready" and now < self.warm_until and recent >= FALLS_OVER_AT:
            self.phase = "gone"
            self.world.note(
                "fell over", server=self.ident, recent=recent, running=self.running, waiting=self.waiting
            )
            for one in list(self.writers):
                one.transport.abort()
            asyncio.get_running_loop().call_later(DOWN_S, self.world.revive, self)
        if self.phase == "gone":
            writer.transport.abort()
            raise ConnectionAbortedError
        await super().handle(first, fields, body, writer)


def most_in_a_second(world, server, sent, since):
    """Return the most requests that were sent to, and arrived at, a cold server inside one second."""
    times = [
        (sent[a], at)
        for at, a in server.arrivals
        if a in sent and since <= sent[a] and at < server.warm_until
    ]
    return max(
        (sum(1 for sent_at, at in times if begin <= sent_at and at < begin + 1.0) for begin, _ in times),
        default=0,
    )


async def case(world):
    """Run the case; return whether the rule was broken."""
    world.platform = s.Platform(world)
    for number, zone in enumerate(z for z in ZONES for _ in range(2)):
        server = ColdServer(world, f"i-{number:04x}", "shelf", zone, "127.0.0.1", work_s=0.25)
        await server.start()
        world.servers.append(server)

    def revive(old):
        new = ColdServer(world, old.ident + "b", old.service, old.zone, old.ip, old.work_s)
        new.warm_until = time.monotonic() + WARMUP_S

        async def start():
            await new.start()
            world.servers.append(new)

        world.starting = asyncio.create_task(start())

    world.revive = revive
    await world.platform.start()
    world.fleet = s.Fleet(world, world.folder, ZONES, [(f"edge-{z}", z) for z in ZONES], 4)
    await world.bring_up(
        s.document(
            1,
            s.service("shelf", "3s", WARMUP_RATE),
            s.route("pages", "/p/", "idempotent", "shelf"),
            s.route("buy", "/buy/", "effectful", "shelf", "6000ms", "1000ms"),
            s.tenant("t", ["key1"]),
        )
    )
    sent, lost, tasks = {}, [], set()

    async def one(number):
        attempt, buys = f"{number:016x}", number % 3 == 0
        sent[attempt] = time.monotonic()
        fields = {"Millfront-Attempt-Id": attempt, "Authorization": "Token key1"}
        fields["Millfront-Deadline-Ms"] = "6000" if buys else "5000"
        path, method = ("/buy/1", "POST") if buys else ("/p/1", "GET")
        ip = world.fleet.ips[number % len(ZONES)]
        answer = await s.call(ip, world.fleet.plain, method, path, fields, b"x" * 1200 if buys else b"")
        world.note("answer", attempt=attempt, status=answer.status, error=answer.error)
        if buys and answer.status in (0, 502, 504):
            lost.append(attempt)

    async def traffic():
        number, began = 0, time.monotonic()
        while True:
            number += 1
            task = asyncio.create_task(one(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(max(0.0, began + number / RATE - time.monotonic()))

    async def order(method):
        answer = await world.fleet.operator(1, method, f"/v1/evacuation/{ZONE}")
        world.note("order", method=method, status=answer.status)
        if answer.status != 200:
            raise s.CannotRunError(f"{method} of the evacuation: status {answer.status}")

    load = asyncio.create_task(traffic())
    await asyncio.sleep(5.0)
    worst = 0
    for turn in range(TURNS):
        await order("POST")
        await asyncio.sleep(EVACUATED_S)
        since = time.monotonic()
        servers = [server for server in world.servers if server.zone == ZONE and server.phase == "ready"]
        if s.trouble():
            for server in servers:
                server.warm_until = since + WARMUP_S
                world.note("cold", server=server.ident)
        await asyncio.sleep(COLD_BEFORE_S)
        await order("DELETE")
        await asyncio.sleep(WARMUP_S + DOWN_S + 2.0)
        for server in servers:
            most = most_in_a_second(world, server, sent, since)
            fell = "fell over" if server.phase == "gone" else "stood"
            world.say(f"turn {turn}: {server.ident} got {most} in one second while cold, and {fell}")
            worst = max(worst, most)
    load.cancel()
    world.say(f"most requests in one second to a cold server: {worst}, allowed {ALLOWED:g}")
    world.say(f"purchases that ended with 502, 504 or no answer: {len(lost)}")
    return worst > ALLOWED


s.main(Path(__file__).parent, case)
