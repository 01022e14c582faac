"""Checks that every unit is exported although a gatekeeper is killed repeatedly under load and the receiver
is faulty.

    python -m benchmarks.kills --kills 200 --seed 1

Simulated page servers keep their own tally of the true units, by request. After each SIGKILL the ledger is
read from outside for the tries in flight. At the end, the exported lines must equal, for every customer and
class, what the page servers answered (`told`), what ran without a good answer (`guessed`), and what was in
flight at a kill (`abandoned`).
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
FAULT_RATE = 0.4  # share of the receiver's answers
Key = tuple[str, str]  # customer, class


def true_units(name: str) -> float:
    """The true cost of a request, the same at every server: tenths of a unit, from 0.1 to 8."""
    return (hashlib.blake2b(name.encode(), digest_size=2).digest()[0] % 80 + 1) / 10


@dataclass(slots=True)
class LoadRecord:
    """What clients and simulated page servers observed."""

    ran: dict[str, Key] = field(default_factory=dict)
    answered: dict[str, float] = field(default_factory=dict)
    # requests in flight at a kill, with their guessed units
    open_at_kill: dict[str, float] = field(default_factory=dict)
    served: int = 0
    kills: int = 0
    seconds: float = 0.0


class PageServer(asyncio.Protocol):
    """Answers after a few ms and records the units of good answers; some get a 500 or a closed connection."""

    record: LoadRecord
    rng: random.Random

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.data = b""

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, separator, rest = self.data.partition(b"\r\n\r\n")
        if not separator:
            return
        headers = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        lower = {name.lower(): value for name, value in headers.items()}
        if len(rest) < int(lower.get(b"content-length", b"0")):
            return
        self.data = b""
        parts = head.split(b" ")[1].split(b"/")
        name = lower[b"request-id"].decode()
        self.record.ran[name] = (parts[-1].decode(), parts[1].decode())
        delay = self.rng.expovariate(1 / 0.004)
        asyncio.get_running_loop().call_later(delay, self.answer, name, self.rng.random())

    def answer(self, name: str, draw: float) -> None:
        if self.transport.is_closing():
            return
        if draw < 0.03:
            self.transport.close()
        elif draw < 0.08:
            self.transport.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
        else:
            units = true_units(name)
            self.record.answered[name] = units
            self.transport.write(
                b"HTTP/1.1 200 OK\r\nBilled-Units: %.1f\r\nContent-Length: 2\r\n\r\nok" % units
            )


async def client(address: str, record: LoadRecord, rng: random.Random, stop: asyncio.Event) -> None:
    host, _, port = address.rpartition(":")
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.01)
            continue
        try:
            while not stop.is_set():
                await ask(reader, writer, record, rng)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def ask(reader: Any, writer: Any, record: LoadRecord, rng: random.Random) -> None:
    cls = rng.choice(("page-fetch", "code-redeem"))
    method = "GET" if cls == "page-fetch" else "POST"
    customer = rng.randrange(1, CUSTOMERS + 1)
    head = (
        f"{method} /{cls}/{customer:016x} HTTP/1.1\r\nHost: a\r\nRequest-Id: {rng.getrandbits(64):016x}\r\n"
    )
    head += "Plan: casual\r\nRequest-Timeout: 3000m\r\nQuota-Info: units=2,spread=1,first=0\r\n\r\n"
    writer.write(head.encode())
    answer = await reader.readuntil(b"\r\n\r\n")
    length = next(
        int(line[15:]) for line in answer.split(b"\r\n") if line.lower().startswith(b"content-length:")
    )
    await reader.readexactly(length)
    record.served += b" 200 " in answer[:15]


def start_gatekeeper(folder: Path, config: dict[str, Any]) -> subprocess.Popen[str]:
    (folder / "config.json").write_text(json.dumps(config))
    environment = os.environ | {"NODE_CONFIG": str(folder / "config.json")}
    environment["MILLFRONT_OPERATOR"] = str(folder / "operators.json")
    command = [sys.executable, "-B", "-m", "millfront"]
    return subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True)


def wait_until_serving(process: subprocess.Popen[str]) -> str:
    """Returns the address once it serves; a thread goes on reading its log."""
    assert process.stderr is not None
    address, log = "", ""
    for line in process.stderr:
        log += line
        if '"serves"' in line:
            address = json.loads(line)["address"]
            break
    if not address:
        raise RuntimeError(f"the gatekeeper did not start: {log}")
    threading.Thread(target=process.stderr.read, daemon=True).start()
    return address


async def run_load(
    kills: int, seed: int, folder: Path, receiver: str, spool: bool, stop_faults: Any
) -> LoadRecord:
    rng = random.Random(seed)
    record = LoadRecord()
    loop = asyncio.get_running_loop()
    PageServer.record, PageServer.rng = record, rng
    pages = [await loop.create_server(PageServer, "127.0.0.1", 0) for _ in range(3)]
    addresses = [f"127.0.0.1:{page.sockets[0].getsockname()[1]}" for page in pages]
    members = [row(f"s-{i}", address) for i, address in enumerate(addresses)]
    node_settings = settings()
    node_settings["Packages"][0] |= {"Refill": 1e6, "MostAtOnce": 1e7}
    config = configuration(members, "127.0.0.1:1", node_settings)
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
    started = time.monotonic()
    for kill in range(kills + 1):
        process = await asyncio.to_thread(start_gatekeeper, folder, config)
        address = await asyncio.to_thread(wait_until_serving, process)
        stop = asyncio.Event()
        clients = [asyncio.create_task(client(address, record, rng, stop)) for _ in range(CLIENTS)]
        await asyncio.sleep(rng.uniform(0.02, 0.6) if kill < kills else 0.5)
        if kill == kills:
            break
        process.send_signal(signal.SIGKILL)
        await asyncio.to_thread(process.wait)
        record.kills += 1
        stop.set()
        await asyncio.gather(*clients)
        contents = audit.read_ledger(folder / "ledger")
        record.open_at_kill |= {entry.request: entry.guess for entry in contents.open.values()}
    stop.set()
    await asyncio.gather(*clients)
    stop_faults()
    process.send_signal(signal.SIGTERM)
    if await asyncio.to_thread(process.wait) != 0:
        raise RuntimeError(f"the gatekeeper exited with {process.returncode}, expected 0")
    record.seconds = time.monotonic() - started
    for page in pages:
        page.close()
    return record


def run(kills: int, seed: int, folder: Path, spool: bool = False) -> tuple[LoadRecord, list[str]]:
    """:returns: the observations, and every difference found"""
    rng = random.Random(seed + 1)
    fault_rate = [FAULT_RATE]
    batch_receiver = BatchReceiver()

    def fault(method: str, path: str) -> str:
        return rng.choice(FAULTS) if rng.random() < fault_rate[0] else ""

    http_server = create_server(batch_receiver, "127.0.0.1", 0, fault)
    threading.Thread(target=http_server.serve_forever, daemon=True).start()
    receiver = f"127.0.0.1:{http_server.server_port}"
    record = asyncio.run(
        run_load(kills, seed, folder, receiver, spool, lambda: fault_rate.__setitem__(0, 0.0))
    )
    other_side = ["--spool", str(folder / "spool")] if spool else ["--receiver", receiver]
    problems: list[str] = []
    base = [sys.executable, "-B", "-m", "millfront", "usage", "--operator", str(folder / "operators.json")]
    for command in (["export"], ["verify"], ["reconcile", *other_side]):
        completed = subprocess.run([*base, *command], capture_output=True, text=True)
        if completed.returncode != 0:
            problems.append(f"{command[0]}: exit {completed.returncode}: {completed.stderr.strip()}")
    http_server.shutdown()
    if spool:
        ledger = json.loads((folder / "ledger" / "ledger.json").read_text())["ledger"]
        other, faults = audit.from_spool(folder / "spool", ledger)
        problems += faults
        lines = other.lines or Counter()
    else:
        lines = Counter()
        for totals in batch_receiver.totals.values():
            lines.update(totals)
    return record, problems + differences(record, lines)


def differences(record: LoadRecord, lines: Counter[tuple[str, ...]]) -> list[str]:
    """Compare export and page servers' tally by figure, customer and class; in millionths of a unit."""
    exported: Counter[tuple[str, ...]] = Counter()
    for (_, customer, _, _, cls, _, figure, _), units in lines.items():
        exported[(figure, customer, cls)] += units
    tally: Counter[tuple[str, ...]] = Counter()
    for name, (customer, cls) in record.ran.items():
        if name in record.open_at_kill:
            continue
        if name in record.answered:
            tally[("told", customer, cls)] += round(record.answered[name] * 1e6)
        else:
            tally[("guessed", customer, cls)] += 2_000_000
    abandoned = sum(round(guess * 1e6) for guess in record.open_at_kill.values())
    problems = [
        f"{' '.join(key)}: {exported[key] / 1e6:g} exported, {tally[key] / 1e6:g} in the page servers' tally"
        for key in sorted(set(exported) | set(tally))
        if key[0] != "abandoned" and exported[key] != tally[key]
    ]
    exported_abandoned = sum(units for key, units in exported.items() if key[0] == "abandoned")
    if exported_abandoned != abandoned:
        problems.append(
            f"abandoned: {exported_abandoned / 1e6:g} exported, {abandoned / 1e6:g} in flight at the kills"
        )
    return problems


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--spool", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        record, problems = run(args.kills, args.seed, Path(folder), args.spool)
    units = sum(record.answered.values())
    print(
        f"{record.kills} kills in {record.seconds:.0f} s; {len(record.ran)} tries ran, "
        f"{units:.1f} units answered"
    )
    print(f"{len(record.open_at_kill)} tries were in flight at a kill; {len(problems)} differences")
    for line in problems[:20]:
        print(" ", line)
    sys.exit(bool(problems))


if __name__ == "__main__":
    main()
