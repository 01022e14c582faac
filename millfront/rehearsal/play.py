"""Runs a scenario: opens the stand-ins, starts the gatekeepers, sends requests, injects faults on schedule,
stops every process by its id, merges the logs in time order and writes the verdict.

    verdict = asyncio.run(run_scenario(scenario, Path("out")))   # out/verdict.json, out/logs.jsonl, out/g*/
"""

import asyncio
import json
import random
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from millfront.rehearsal import audit
from millfront.rehearsal.fleet import Gatekeeper, configuration
from millfront.rehearsal.listeners import FaultListener, Link
from millfront.rehearsal.load import Load
from millfront.rehearsal.scenario import Fault, Scenario, merge_patch
from millfront.rehearsal.standins import Agent, Clock, Counter, Directory, PageServer

SETTLE_S = 1.0  # from the last client's timeout to the stop of the gatekeepers


def settings(scenario: Scenario) -> dict[str, Any]:
    """Default settings of a gatekeeper (the simulator's first message) with the scenario's patch applied."""
    plan: dict[str, object] = {"CapDepth": 0, "CeilingRate": 0, "CeilingSlack": 0, "Concurrency": 0}
    plan |= {"ExtraWorth": 0}
    plan |= {"MostAtOnce": 400.0, "OverrunCost": 0.6, "Refill": 200.0, "WorthFactor": 1}
    regular = plan | {"Name": "regular", "Refill": 8.0, "MostAtOnce": 30.0}
    regular |= {"CeilingRate": 16.0, "CapDepth": 40.0, "CeilingSlack": 4.0}
    kinds = (("page-fetch", "safe"), ("issue-buy", "keyed"), ("code-redeem", "unsafe"))
    base = {
        "Allowed": {
            "Cancel": True,
            "ConnectTimeoutUs": 250_000,
            "KeepaliveUs": 30_000_000,
            "MaxOpen": 2_000,
            "MaxRetryAfterUs": 2_000_000,
            "MostTries": 3,
            "Probes": False,
            "RetryAfter": True,
            "SecondCopies": False,
        },
        "Classes": [
            {
                "AimUs": 1_000_000,
                "Group": "all",
                "HardLimitUs": 4_000_000,
                "LateValue": 0.2,
                "Name": name,
                "Repeat": repeat,
                "Stream": False,
                "WindowUs": 8_000_000,
                "Worth": 1.0,
            }
            for name, repeat in kinds
        ],
        "Discovery": "pushed",
        "FamilyInfo": {"CountWaitUs": 80_000, "SharedCounter": scenario.counter, "UnitsTop": 8},
        "Kinds": ["quad-fast"],
        "Me": 0,
        "MyZone": 0,
        "Packages": [plan | {"Name": "casual"}, regular],
        "PeersTotal": scenario.gatekeepers,
        "Rules": {
            "AnswerSlackUs": 8_000,
            "ColdFrom": 0.2,
            "DrainGraceUs": 500_000,
            "FallMultiple": 3,
            "FallUs": 3_000_000,
            "RampTimeUs": 18_000_000,
        },
        "Weights": "none",
        "Zones": list(scenario.zones),
    }
    return merge_patch(base, scenario.settings)


class Rehearsal:
    def __init__(self, scenario: Scenario, out: Path, progress: Callable[[str], None]) -> None:
        self.scenario = scenario
        self.out = out
        self.progress = progress
        self.rng = random.Random(scenario.seed)
        self.clock = Clock()
        self.settings = settings(scenario)
        self.counter = Counter(self.clock)
        self.directory = Directory(self.clock)
        self.pages: list[PageServer] = []
        self.listeners: dict[tuple[str, int, int], FaultListener] = {}  # (link, gatekeeper, member or 0)
        self.gatekeepers: list[Gatekeeper] = []
        self.agents: list[Agent] = []
        self.starts: dict[int, list[float]] = {}
        self.killed: dict[int, list[float]] = {}  # by gatekeeper, the times of its SIGKILLs, from the start
        self.started_unix = 0.0
        self._started_at = 0.0
        self.unavailable: dict[int, list[tuple[float, float]]] = {}
        self._delayed: set[asyncio.Task[None]] = set()

    async def _add_listener(self, link: str, index: int, member: int, handler: Any) -> FaultListener:
        listener = FaultListener(handler, self.rng, index)
        await listener.open()
        self.listeners[(link, index, member)] = listener
        return listener

    async def _create_stand_ins(self) -> None:
        scenario, n = self.scenario, self.scenario.gatekeepers
        member = 0
        for group in scenario.pages:
            for _ in range(group.count):
                page = PageServer(member, group, self.clock, self.rng)
                page.started_at = self.clock() if group.behaviour == "cold" else 0.0
                self.pages.append(page)
                health = "Terminating" if group.behaviour == "draining" else "Ready"
                born_ms = int(time.time() * 1000) if group.behaviour == "cold" else 0  # Unix time
                self.directory.rows[member] = {
                    "host": f"s-{member}",
                    "site": scenario.zones[group.zone],
                    "class": "quad-fast",
                    "block": member,
                    "health": health,
                    "share": 1.0,
                    "born_ms": born_ms,
                }
                for index in range(n):
                    await self._add_listener("pages", index, member, page.serve)
                member += 1
        for index in range(n):
            if scenario.counter:
                await self._add_listener("counter", index, 0, self.counter.serve)
            agent = Agent(self.directory, index, self._address_for(index))
            self.agents.append(agent)
            await self._add_listener("discovery", index, 0, agent.serve)
        operators = merge_patch({"logs": {"format": "json", "level": "info"}}, scenario.operators)
        for index in range(n):
            counter = f"127.0.0.1:{self.listeners[('counter', index, 0)].port}" if scenario.counter else None
            discovery = f"127.0.0.1:{self.listeners[('discovery', index, 0)].port}"
            known = self.agents[index].list_message(None) | {"seq": 0}
            config = configuration(
                index, self.settings | {"MyZone": index % len(scenario.zones)}, discovery, counter, known
            )
            folder = self.out / f"g{index}"
            folder.mkdir(parents=True, exist_ok=True)
            self.gatekeepers.append(Gatekeeper(index, folder, config, operators))

    def _address_for(self, index: int) -> Callable[[int], str]:
        """Return a function from a member to the address of this gatekeeper's listener for it."""
        return lambda member: f"127.0.0.1:{self.listeners[('pages', index, member)].port}"

    async def run(self) -> dict[str, Any]:
        await self._create_stand_ins()
        self.progress(f"{self.scenario.name}: starting {len(self.gatekeepers)} gatekeepers")
        try:
            await asyncio.gather(*(self._start(g) for g in self.gatekeepers))
            return await self._run_timeline()
        finally:
            for gatekeeper in self.gatekeepers:
                await gatekeeper.stop()
            for listener in self.listeners.values():
                await listener.close()

    async def _start(self, gatekeeper: Gatekeeper) -> None:
        await gatekeeper.start()
        self.starts.setdefault(gatekeeper.index, []).append(self.clock())

    async def _run_timeline(self) -> dict[str, Any]:
        scenario = self.scenario
        started_at = self._started_at = self.clock()
        self.started_unix = time.time()
        load = Load(scenario.clients, scenario.gatekeepers, self._address, self.clock, self.rng)
        longest = scenario.clients.timeout_ms / 1000
        until = started_at + (scenario.clients.until_s or max(0.0, scenario.duration_s - longest))
        clients = asyncio.create_task(load.run(until))
        for fault in sorted(scenario.faults, key=lambda f: f.at_s):
            await asyncio.sleep(max(0.0, started_at + fault.at_s - self.clock()))
            self.progress(
                f"{self.clock() - started_at:6.2f} s  {fault.do} {fault.signal or fault.effect or ''} "
                f"g{fault.gatekeepers or 'all'}"
            )
            await self._apply_fault(fault)
        await asyncio.sleep(max(0.0, started_at + scenario.duration_s - self.clock()))
        await clients
        await asyncio.sleep(SETTLE_S)
        if self._delayed:
            await asyncio.gather(*self._delayed)
        load.close()
        return self._verdict(load, self.clock() - started_at)

    def _address(self, index: int) -> str:
        gatekeeper = self.gatekeepers[index]
        return gatekeeper.address if gatekeeper.alive else ""

    def _targets(self, fault: Fault) -> list[Gatekeeper]:
        return [self.gatekeepers[p] for p in fault.gatekeepers] if fault.gatekeepers else self.gatekeepers

    def _run_later(self, delay: float, job: Callable[[], Any]) -> None:
        async def later() -> None:
            await asyncio.sleep(delay)
            result = job()
            if asyncio.iscoroutine(result):
                await result

        task = asyncio.create_task(later())
        self._delayed.add(task)
        task.add_done_callback(self._delayed.discard)

    async def _apply_fault(self, fault: Fault) -> None:
        targets = self._targets(fault)
        if fault.do == "signal":
            number = getattr(signal, f"SIG{fault.signal}")
            for gatekeeper in targets:
                now = self.clock()
                if not gatekeeper.signal(number):
                    continue
                if fault.signal == "KILL":
                    self.killed.setdefault(gatekeeper.index, []).append(now - self._started_at)
                if fault.signal in ("KILL", "STOP"):
                    until = now + (fault.for_s or 3_600.0) if fault.signal == "STOP" else 3_600.0
                    self.unavailable.setdefault(gatekeeper.index, []).append((now, until))
                    if fault.signal == "STOP" and fault.for_s is not None:
                        self._run_later(fault.for_s, self._resume(gatekeeper))
        elif fault.do == "restart":
            for gatekeeper in targets:
                await gatekeeper.stop()
                self._mark_available(gatekeeper)
                await gatekeeper.restart()
                self.starts.setdefault(gatekeeper.index, []).append(self.clock())
        elif fault.do == "wipe":
            for gatekeeper in targets:
                for path in sorted(gatekeeper.state.rglob("*"), reverse=True):
                    path.rmdir() if path.is_dir() else path.unlink()
        elif fault.do == "config":
            for gatekeeper in targets:
                self._write_config(gatekeeper, fault)
        elif fault.do == "link":
            self._apply_link_fault(fault, targets)
        elif fault.do == "discovery":
            assert fault.member is not None
            for agent in self.agents:
                agent.lag_s = (
                    fault.lag_s if (not fault.gatekeepers or agent.gatekeeper in fault.gatekeepers) else 0.0
                )
            self.directory.change(fault.member, fault.health)
            if fault.health != "Ready":
                self.pages[fault.member].draining = True

    @staticmethod
    def _resume(gatekeeper: Gatekeeper) -> Callable[[], bool]:
        return lambda: gatekeeper.signal(signal.SIGCONT)

    def _mark_available(self, gatekeeper: Gatekeeper) -> None:
        """End the outage of a gatekeeper that is being restarted."""
        windows = self.unavailable.get(gatekeeper.index, [])
        if windows and windows[-1][1] > self.clock():
            windows[-1] = (windows[-1][0], self.clock())

    def _write_config(self, gatekeeper: Gatekeeper, fault: Fault) -> None:
        config = gatekeeper.config
        if fault.settings is not None:
            config = config | {"settings": merge_patch(config["settings"], fault.settings)}
        text = json.dumps(config, indent=1).encode()
        if fault.write == "whole":
            gatekeeper.write_config(config)
        elif fault.write == "in_place":
            gatekeeper.config = config
            gatekeeper.config_path.write_bytes(text)
        else:  # an unusable file: the gatekeeper must keep its settings
            gatekeeper.config_path.write_bytes(text[: len(text) // 2] if fault.write == "torn" else b"")

    def _apply_link_fault(self, fault: Fault, targets: list[Gatekeeper]) -> None:
        assert fault.link is not None and fault.effect is not None
        link = Link(fault.effect, fault.way, fault.delay_ms, fault.jitter_ms, fault.share)
        members = fault.pages or range(len(self.pages))
        listeners = [
            self.listeners[(fault.link, g.index, m)]
            for g in targets
            for m in (members if fault.link == "pages" else [0])
            if (fault.link, g.index, m) in self.listeners
        ]
        for listener in listeners:
            listener.set(link)
        if fault.for_s is not None:
            self._run_later(fault.for_s, lambda: self._heal(listeners))

    @staticmethod
    def _heal(listeners: list[FaultListener]) -> None:
        for listener in listeners:
            listener.set(Link())

    def _verdict(self, load: Load, seconds: float) -> dict[str, Any]:
        cold = {
            p.member: (p.started_at, p.group.capacity_per_s)
            for p in self.pages
            if p.group.behaviour == "cold"
        }
        observed = audit.Observations(
            settings=self.settings,
            requests=load.requests,
            arrivals=[a for page in self.pages for a in page.arrivals],
            health_updates=self.directory.updates_sent,
            starts=self.starts,
            unavailable=self.unavailable,
            plan=self.scenario.clients.plan,
            cold=cold,
            zones={p.member: p.group.zone for p in self.pages},
        )
        results = audit.check_rules(observed)
        return {
            "scenario": self.scenario.name,
            "seed": self.scenario.seed,
            "passed": all(rule.held for rule in results.values()),
            "rules": {name: rule.to_json() for name, rule in results.items()},
            "figures": audit.figures(observed, seconds, self.counter.calls),
        }

    def gather_logs(self) -> list[dict[str, Any]]:
        """Merge the logs of all gatekeepers into one file in time order, and return the lines."""
        lines = [line for gatekeeper in self.gatekeepers for line in gatekeeper.log()]
        lines.sort(key=lambda line: str(line.get("timestamp", "")))
        with (self.out / "logs.jsonl").open("w") as file:
            for line in lines:
                file.write(json.dumps(line) + "\n")
        return lines


async def run_scenario(
    scenario: Scenario, out: Path, progress: Callable[[str], None] = lambda _: None
) -> dict[str, Any]:
    """Run a scenario.

    :returns: the verdict, also written to `out/verdict.json`
    :raises StartFailed: a gatekeeper did not start to serve"""
    out.mkdir(parents=True, exist_ok=True)
    rehearsal = Rehearsal(scenario, out, progress)
    try:
        verdict = await rehearsal.run()
    finally:
        lines = rehearsal.gather_logs()
    end = scenario.duration_s
    verdict["figures"] |= audit.rules_in_force(lines, rehearsal.started_unix, end, rehearsal.killed)
    (out / "verdict.json").write_text(json.dumps(verdict, indent=1) + "\n")
    return verdict
