"""A gatekeeper killed again and again under load, its usage exported to a faulty receiver: does every unit
arrive?

    python -m benchmarks.kills --kills 200 --seed 1

Stand-in page servers keep their own tally of the true units, by request. After each SIGKILL the ledger is
read from outside: which tries were out. In the end the exported lines must equal, for every customer and
class, what the page servers answered (`told`), what ran without a good answer (`guessed`), and what was out
at a kill (`abandoned`).
"""

import argparse
import asyncio
import hashlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from millfront.usage import audit
from millfront.usage.receiver import BatchReceiver, create_server
from tests.peers import configuration, row, settings

CLIENTS = 12
CUSTOMERS = 5
FAULTS = ("before", "after", "error", "half", "busy")
FAULTY = 0.4  # of the receiver's answers
Key = tuple[str, str]  # customer, class


def true_units(name: str) -> float:
    """What a request really costs, the same whoever serves it: tenths, from 0.1 to 8."""
    return (hashlib.blake2b(name.encode(), digest_size=2).digest()[0] % 80 + 1) / 10


@dataclass(slots=True)
class Play:
    """What the stand-ins saw."""

    ran: dict[str, Key] = field(default_factory=dict)
    answered: dict[str, float] = field(default_factory=dict)
    out: dict[str, float] = field(default_factory=dict)  # at a kill, with its guess
    served: int = 0
    kills: int = 0
    seconds: float = 0.0


class PageServer(asyncio.Protocol):
    """Answers after a few ms, and tallies what it answers well. Some requests end in 500 or in silence."""

    play: Play
    draws: random.Random

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.data = b""

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, mark, rest = self.data.partition(b"\r\n\r\n")
        if not mark:
            return
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        lower = {name.lower(): value for name, value in fields.items()}
        if len(rest) < int(lower.get(b"content-length", b"0")):
            return
        self.data = b""
        parts = head.split(b" ")[1].split(b"/")
        name = lower[b"request-id"].decode()
        self.play.ran[name] = (parts[-1].decode(), parts[1].decode())
        delay = self.draws.expovariate(1 / 0.004)
        asyncio.get_running_loop().call_later(delay, self.answer, name, self.draws.random())

    def answer(self, name: str, drawn: float) -> None:
        if self.transport.is_closing():
            return
        if drawn < 0.03:
            self.transport.close()
        elif drawn < 0.08:
            self.transport.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
        else:
            units = true_units(name)
            self.play.answered[name] = units
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nBilled-Units: %.1f\r\nContent-Length: 2\r\n\r\nok" % units
            )


async def client(address: str, play: Play, draws: random.Random, over: asyncio.Event) -> None:
    host, _, port = address.rpartition(":")
    while not over.is_set():
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.01)
            continue
        try:
            while not over.is_set():
                await ask(reader, writer, play, draws)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def ask(reader: Any, writer: Any, play: Play, draws: random.Random) -> None:
    cls = draws.choice(("page-fetch", "code-redeem"))
    method = "GET" if cls == "page-fetch" else "POST"
    customer = draws.randrange(1, CUSTOMERS + 1)
    head = (
        f"{method} /{cls}/{customer:016x} HTTP/1.1\r\nHost: a\r\nRequest-Id: {draws.getrandbits(64):016x}\r\n"
    )
    head += "Plan: casual\r\nRequest-Timeout: 3000m\r\nQuota-Info: units=2,spread=1,first=0\r\n\r\n"
    writer.write(head.encode())
    answer = await reader.readuntil(b"\r\n\r\n")
    length = next(
        int(line[15:]) for line in answer.split(b"\r\n") if line.lower().startswith(b"content-length:")
    )
    await reader.readexactly(length)
    play.served += b" 200 " in answer[:15]


def started(folder: Path, config: dict[str, Any]) -> subprocess.Popen[str]:
    (folder / "config.json").write_text(json.dumps(config))
    given = os.environ | {"NODE_CONFIG": str(folder / "config.json")}
    given["MILLFRONT_OPERATOR"] = str(folder / "operators.json")
    command = [sys.executable, "-B", "-m", "millfront"]
    return subprocess.Popen(command, env=given, stderr=subprocess.PIPE, text=True)


def serving(process: subprocess.Popen[str]) -> str:
    """The address, once it serves; its log goes on being read."""
    assert process.stderr is not None
    address, said = "", ""
    for line in process.stderr:
        said += line
        if '"serves"' in line:
            address = json.loads(line)["address"]
            break
    if not address:
        raise RuntimeError(f"the gatekeeper did not start: {said}")
    threading.Thread(target=process.stderr.read, daemon=True).start()
    return address


async def play_it(kills: int, seed: int, folder: Path, receiver: str, spool: bool, calm: Any) -> Play:
    draws = random.Random(seed)
    play = Play()
    loop = asyncio.get_running_loop()
    PageServer.play, PageServer.draws = play, draws
    pages = [await loop.create_server(PageServer, "127.0.0.1", 0) for _ in range(3)]
    addresses = [f"127.0.0.1:{page.sockets[0].getsockname()[1]}" for page in pages]
    known = [row(f"s-{i}", address) for i, address in enumerate(addresses)]
    told = settings()
    told["Packages"][0] |= {"Refill": 1e6, "MostAtOnce": 1e7}
    config = configuration(known, "127.0.0.1:1", told)
    export: dict[str, Any] = {"spool": str(folder / "spool")}
    if not spool:
        export = {
            "receiver": {"address": receiver, "first_wait_s": 0.02, "most_wait_s": 0.2, "timeout_s": 0.5}
        }
    usage = {
        "folder": str(folder / "ledger"),
        "period_s": 1,
        "segment_s": 0.15,
        "fsync_s": 0.05,
        "export": export,
    }
    (folder / "operators.json").write_text(json.dumps({"logs": {"format": "json"}, "usage": usage}))
    began = time.monotonic()
    for kill in range(kills + 1):
        process = await asyncio.to_thread(started, folder, config)
        address = await asyncio.to_thread(serving, process)
        over = asyncio.Event()
        clients = [asyncio.create_task(client(address, play, draws, over)) for _ in range(CLIENTS)]
        await asyncio.sleep(draws.uniform(0.02, 0.6) if kill < kills else 0.5)
        if kill == kills:
            break
        process.send_signal(signal.SIGKILL)
        await asyncio.to_thread(process.wait)
        play.kills += 1
        over.set()
        await asyncio.gather(*clients)
        seen = audit.read_ledger(folder / "ledger")
        play.out |= {entry.request: entry.guess for entry in seen.open.values()}
    over.set()
    await asyncio.gather(*clients)
    calm()
    process.send_signal(signal.SIGTERM)
    if await asyncio.to_thread(process.wait) != 0:
        raise RuntimeError("the gatekeeper did not end well")
    play.seconds = time.monotonic() - began
    for page in pages:
        page.close()
    return play


def run(kills: int, seed: int, folder: Path, spool: bool = False) -> tuple[Play, list[str]]:
    """:returns: what was seen, and every difference found"""
    draws = random.Random(seed + 1)
    faulty = [FAULTY]
    receiving = BatchReceiver()

    def fault(method: str, path: str) -> str:
        return draws.choice(FAULTS) if draws.random() < faulty[0] else ""

    made = create_server(receiving, "127.0.0.1", 0, fault)
    threading.Thread(target=made.serve_forever, daemon=True).start()
    receiver = f"127.0.0.1:{made.server_port}"
    play = asyncio.run(play_it(kills, seed, folder, receiver, spool, lambda: faulty.__setitem__(0, 0.0)))
    where = ["--spool", str(folder / "spool")] if spool else ["--receiver", receiver]
    found: list[str] = []
    base = [sys.executable, "-B", "-m", "millfront", "usage", "--operator", str(folder / "operators.json")]
    for words in (["export"], ["verify"], ["reconcile", *where]):
        ended = subprocess.run([*base, *words], capture_output=True, text=True)
        if ended.returncode != 0:
            found.append(f"{words[0]}: exit {ended.returncode}: {ended.stderr.strip()}")
    made.shutdown()
    if spool:
        ledger = json.loads((folder / "ledger" / "ledger.json").read_text())["ledger"]
        other, faults = audit.from_spool(folder / "spool", ledger)
        found += faults
        lines = other.lines or Counter()
    else:
        lines = Counter()
        for totals in receiving.totals.values():
            lines.update(totals)
    return play, found + differences(play, lines)


def differences(play: Play, lines: Counter[tuple[str, ...]]) -> list[str]:
    """Exported against the page servers' own tally, by figure, customer and class; units in millionths."""
    exported: Counter[tuple[str, ...]] = Counter()
    for (_, customer, _, _, cls, _, figure, _), units in lines.items():
        exported[(figure, customer, cls)] += units
    tally: Counter[tuple[str, ...]] = Counter()
    for name, (customer, cls) in play.ran.items():
        if name in play.out:
            continue
        if name in play.answered:
            tally[("told", customer, cls)] += round(play.answered[name] * 1e6)
        else:
            tally[("guessed", customer, cls)] += 2_000_000
    abandoned = sum(round(guess * 1e6) for guess in play.out.values())
    found = [
        f"{' '.join(key)}: {exported[key] / 1e6:g} exported, {tally[key] / 1e6:g} in the page servers' tally"
        for key in sorted(set(exported) | set(tally))
        if key[0] != "abandoned" and exported[key] != tally[key]
    ]
    billed = sum(units for key, units in exported.items() if key[0] == "abandoned")
    if billed != abandoned:
        found.append(f"abandoned: {billed / 1e6:g} exported, {abandoned / 1e6:g} out at the kills")
    return found


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--spool", action="store_true")
    told = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        play, found = run(told.kills, told.seed, Path(folder), told.spool)
    units = sum(play.answered.values())
    print(
        f"{play.kills} kills in {play.seconds:.0f} s; {len(play.ran)} tries ran, {units:.1f} units answered"
    )
    print(f"{len(play.out)} tries were out at a kill; {len(found)} differences")
    for line in found[:20]:
        print(" ", line)
    sys.exit(bool(found))


if __name__ == "__main__":
    main()
