"""Machines of a region are stopped and started in turn; its clients ask the directory where to go."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins as s

ZONES = {"bris-north": "bris", "bris-south": "bris", "tsv-east": "tsv", "tsv-west": "tsv"}
REGION, CLIENTS, PAUSE_S = "tsv", 10, 0.3
LENGTH_S, ALLOWED_SHARE = 60.0, 1 / 20


class Client:
    """A client of the region: it asks the directory, keeps the answer while valid, and connects anew."""

    def __init__(self, world, number):
        """Know the gatekeepers that serve the directory, nearer ones first."""
        self.world, self.number, self.random = world, number, random.Random(number)
        self.addresses, self.until, self.failed = [], 0.0, {}

    async def choose(self):
        """Return an address of a gatekeeper, by the directory."""
        now = time.monotonic()
        if now >= self.until:
            order = [2, 3, 0, 1] if self.number % 2 else [3, 2, 1, 0]
            for one in order[:3]:
                path = f"/v1/resolve?name={s.HOST}&region={REGION}&zone=tsv-east"
                answer = await self.world.fleet.operator(one, "GET", path, timeout=1.0)
                if answer.status == 200:
                    found = json.loads(answer.body)
                    self.addresses = found["addresses"]
                    self.until = now + min(5.0, float(found["valid"].rstrip("s")))
                    break
        good = [one for one in self.addresses if self.failed.get(one, 0.0) < now - 5.0]
        return self.random.choice(good or self.addresses)


async def case(world):
    """Run the case; return whether the rule was broken."""
    world.platform = s.Platform(world)
    for number, zone in enumerate(z for z in ZONES for _ in range(2)):
        server = s.Server(world, f"i-{number:04x}", "inkwell", zone, "127.0.0.1", work_s=0.1)
        await server.start()
        world.servers.append(server)
    await world.platform.start()
    world.fleet = s.Fleet(world, world.folder, ZONES, [(f"edge-{z}", z) for z in ZONES], 4)
    await world.bring_up(
        s.document(
            1,
            s.service("inkwell"),
            s.route("upload", "/up/", "upload", "inkwell", "6000ms", "1000ms", home_regions=[REGION]),
            s.tenant("t", ["key1"]),
        )
    )
    await asyncio.sleep(15.0)
    region_of = {
        f"{ip}:{world.fleet.plain}": ZONES[zone]
        for ip, (_, zone) in zip(world.fleet.ips, world.fleet.names, strict=True)
    }
    sent, strayed, stop = [], [], time.monotonic() + LENGTH_S

    async def client(number):
        me, count = Client(world, number), 0
        while time.monotonic() < stop:
            address = await me.choose()
            count += 1
            attempt = f"{number:08x}{count:08x}"
            fields = {
                "Millfront-Attempt-Id": attempt,
                "Millfront-Deadline-Ms": "6000",
                "Authorization": "Token key1",
            }
            ip, port = address.split(":")
            answer = await s.call(ip, int(port), "POST", "/up/1", fields, b"x" * 20000)
            world.note("upload", attempt=attempt, to=address, region=region_of[address], status=answer.status)
            if answer.status == 0:
                me.failed[address] = time.monotonic()
            else:
                sent.append(attempt)
                if region_of[address] != REGION:
                    strayed.append(attempt)
            await asyncio.sleep(PAUSE_S)

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(3.0)
    for number in (2, 3):
        if s.trouble():
            world.fleet.signal(number, s.signal.SIGTERM)
            process = world.fleet.running[number]
            ended = time.monotonic() + 6.0
            while process.poll() is None and time.monotonic() < ended:
                await asyncio.sleep(0.05)
            process.kill()
            await asyncio.sleep(1.0)
            world.fleet.start(number)
        await asyncio.sleep(15.0)
    await asyncio.gather(*clients)
    share = len(strayed) / max(1, len(sent))
    world.say(
        f"uploads of clients in {REGION}, their home: {len(sent)} sent, {len(strayed)} elsewhere, {share:.3f}"
    )
    return share > ALLOWED_SHARE


s.main(Path(__file__).parent, case)
