"""A client's machine loses power while its HEAD request is on the way; others use the same gatekeeper."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import standins as s

ZONES = {"bris-north": "bris", "bris-south": "bris", "tsv-east": "tsv", "tsv-west": "tsv"}
SILENT_S = 5.5  # zone_loss of the site: for_s
BUYERS, AT = 12, 1  # clients on kept connections, and the gatekeeper that all of them use
ALLOWED = 3


async def look(world, number, cut):
    """Send two HEAD requests on one connection; the power goes after the first part of the second one."""
    ip, port = world.fleet.ips[AT], world.fleet.plain
    reader, writer = await asyncio.open_connection(ip, port)

    def head(attempt):
        lines = ["HEAD /p/1 HTTP/1.1", f"Host: {s.HOST}", "Authorization: Token key1"]
        lines += [f"Millfront-Attempt-Id: {attempt}", "Millfront-Deadline-Ms: 5000"]
        lines += [f"Cookie: {'c' * 2900}"]  # two packets on an ordinary link
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    for turn in range(2):
        text = head(f"{number + turn:016x}")
        writer.write(text[:1400])
        await asyncio.sleep(0.02)
        if turn and cut:
            world.note("power lost", client="viewer")
            await asyncio.sleep(SILENT_S)
            writer.transport.abort()
            world.note("power back", client="viewer")
            return
        writer.write(text[1400:])
        first = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 8)
        world.note("answer", client="viewer", line=first.split(b"\r\n")[0].decode())
    writer.close()


async def case(world):
    """Run the case; return whether the rule was broken."""
    world.platform = s.Platform(world)
    for number, zone in enumerate(z for z in ZONES for _ in range(2)):
        server = s.Server(world, f"i-{number:04x}", "shelf", zone, "127.0.0.1", work_s=0.29)
        await server.start()
        world.servers.append(server)
    await world.platform.start()
    world.fleet = s.Fleet(world, world.folder, ZONES, [(f"edge-{z}", z) for z in ZONES], 4)
    await world.bring_up(
        s.document(
            1,
            s.service("shelf"),
            s.route("pages", "/p/", "idempotent", "shelf"),
            s.route("buy", "/buy/", "effectful", "shelf", "6000ms", "1000ms"),
            s.tenant("t", ["key1"]),
        )
    )
    await asyncio.sleep(5.0)  # `contact`: all are in touch
    cut_off, refused, served, stop = [], [], [], time.monotonic() + 20.0

    async def buyer(number):
        client, count = s.KeptClient(world.fleet.ips[AT], world.fleet.plain), 0
        await asyncio.sleep(0.31 * number / BUYERS)  # not all in step
        while time.monotonic() < stop:
            count += 1
            attempt = f"{number:08x}{count:08x}"
            fields = {
                "Millfront-Attempt-Id": attempt,
                "Millfront-Deadline-Ms": "6000",
                "Authorization": "Token key1",
            }
            kept = client.kept
            world.note("send", attempt=attempt, kept=kept)
            answer = await client.request("POST", "/buy/1", fields, b"x" * 1200)
            world.note("answer", attempt=attempt, status=answer.status, error=answer.error)
            if answer.status:
                served.append(attempt)
            elif answer.error.startswith("connect"):
                refused.append(attempt)
            elif kept:
                cut_off.append(attempt)
            await asyncio.sleep(0.02 if answer.status else 0.5)
        client.close()

    buyers = [asyncio.create_task(buyer(number)) for number in range(1, BUYERS + 1)]
    await asyncio.sleep(3.0)
    await look(world, 1 << 40, s.trouble())
    await asyncio.gather(*buyers)
    ready = await world.fleet.ready(AT)
    ran = {attempt for _, attempt, _ in world.runs}
    lost = [attempt for attempt in cut_off if attempt in ran]
    world.say(f"purchases: {len(served)} answered, {len(refused)} found no open connection")
    world.say(f"passed on from a kept connection, which then closed without an answer: {len(lost)}")
    alive = world.fleet.running[AT].poll() is None
    world.say(f"at the end the gatekeeper's process runs: {alive}; readiness 200: {ready}")
    return len(lost) > ALLOWED


s.main(Path(__file__).parent, case)
