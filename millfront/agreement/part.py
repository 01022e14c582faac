"""Agreement in a running gatekeeper: the roll call at the counter, on a connection of its own, and the
settings read anew where others act on another version. The decisions are register.py's."""

import os
import random
import signal
import time

import anyio
from anyio.abc import SocketStream

from millfront import interface as api
from millfront.agreement import interim
from millfront.agreement.register import Agreement, Heard, Mode, bucket_of, names
from millfront.logs import Log
from millfront.node.service import Node
from millfront.operators import document
from millfront.settings import NodeSettings

log = Log(__name__)

CALL_S = 1.0  # for the four calls of a bucket; a counter slower than that is as good as silent here
LIFE_PERIODS = 4  # a name lives so long: its bucket, the read in the next one, and a late answer
DOCUMENT = "settings"


class Agreeing:
    name = "agreement"

    def __init__(self, node: Node, told: document.Agreement) -> None:
        self.node = node
        self.told = told
        self.period_us = int(told.period_s * 1e6)
        expected = told.expected or node.config.settings.peers
        now = self._now_us()
        self.view = Agreement(node.config.version, now, expected, int(told.most_unsure_s * 1e6))
        self._rng = random.Random(node.config.seed)
        self._stream: SocketStream | None = None
        self.silent = 0  # buckets in a row that could not be read
        self.rereads = 0
        self._said = (self.view.mode, self.view.merge_of)
        self.documents: dict[str, tuple[api.Settings, NodeSettings]] = {}  # by version, while in the interim
        self._keep(node.config.version)
        node.interim = self.interim

    def _now_us(self) -> int:
        return int((time.time() + self.told.clock_offset_ms / 1000) * 1e6)

    async def start(self) -> None:
        log.info("agreement", mode=self.view.mode.value, version=self.view.mine)

    async def run(self) -> None:
        """A bucket at a time: at a jittered moment of its first quarter, the roll call into it and the read
        of the bucket before, in four calls on one connection."""
        bucket = bucket_of(self._now_us(), self.period_us) - 1
        while True:
            # Once a bucket: a sleep that ends a little early must not count this gatekeeper twice in one
            # roll call, where it would stand in for one that is missing.
            bucket = max(bucket + 1, bucket_of(self._now_us(), self.period_us))
            start = bucket * self.period_us
            await self._until(start + int(self._rng.random() * self.period_us / 4))
            heard = await self._calls(bucket)
            now = self._now_us()
            if heard is not None:
                self.silent = 0
                self.view.heard(heard, now)
            else:
                self.silent += 1
            self.view.tick(now)
            self._say()
            if self.view.wants_reread or self.silent:
                self._reread()  # others are on another version, or nobody can say: the file may be newer
            await self._until(start + self.period_us)

    async def _until(self, unix_us: int) -> None:
        await anyio.sleep(max(0.0, (unix_us - self._now_us()) / 1e6))

    async def _calls(self, bucket: int) -> Heard | None:
        """Into this bucket under the version in force, and the bucket before read; None where the counter
        did not answer all four."""
        life_ms = max(1, self.period_us * LIFE_PERIODS // 1000)
        version = self.view.publishing(bucket)
        roll, mine = names(self.told.prefix, DOCUMENT, bucket, version)
        roll_before, mine_before = names(self.told.prefix, DOCUMENT, bucket - 1, self.view.mine)
        lines = [f"add {roll} 1 {life_ms}", f"add {mine} 1 {life_ms}"]
        lines += [f"add {roll_before} 0 {life_ms}", f"add {mine_before} 0 {life_ms}"]
        totals = await self._ask(lines)
        if totals is None:
            return None
        return Heard(bucket - 1, round(totals[2]), round(totals[3]))

    async def _ask(self, lines: list[str]) -> list[float] | None:
        counter = self.node.config.counter
        if counter is None:
            return None
        try:
            with anyio.fail_after(CALL_S):
                if self._stream is None:
                    self._stream = await anyio.connect_tcp(counter.host, counter.port)
                await self._stream.send("".join(line + "\r\n" for line in lines).encode())
                data = b""
                while data.count(b"\r\n") < len(lines):
                    data += await self._stream.receive()
            answers = data.decode().split("\r\n")[: len(lines)]
            if not all(answer.startswith("ok ") for answer in answers):
                return None  # busy or error: nothing of this bucket is known
            return [float(answer.removeprefix("ok ")) for answer in answers]
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, ValueError):
            await self._drop()
            return None

    async def _drop(self) -> None:
        if self._stream is not None:
            await self._stream.aclose()
            self._stream = None

    def _reread(self) -> None:
        """As a SIGHUP would: the file is read whole and taken only where it can be used."""
        self.rereads += 1
        os.kill(os.getpid(), signal.SIGHUP)

    def _keep(self, version: str) -> None:
        config = self.node.config
        self.documents[version] = (config.settings, config.node)
        for old in [v for v in self.documents if v not in self.view.merge_of]:
            del self.documents[old]

    def interim(self, settings: api.Settings) -> api.Settings:
        """The settings in force, made safe for every older version of the interim: classes and plans by name,
        through the places the tuning keeps for them."""
        view, tuning = self.view, self.node.active_settings
        if view.mode is Mode.AGREED:
            return settings
        for version in view.merge_of[:-1]:
            if (kept := self.documents.get(version)) is None:
                continue
            before, names = kept
            classes = {tuning.classes[n]: at for n, at in names.classes.items() if n in tuning.classes}
            plans = {tuning.plans[n]: at for n, at in names.plans.items() if n in tuning.plans}
            settings = interim.settings(before, settings, classes, plans)
        return settings

    def _say(self) -> None:
        now = (self.view.mode, self.view.merge_of)
        if now != self._said:
            self._said = now
            self._keep(self.view.mine)
            self.node.resend_settings()
            log.info(
                "agreement",
                mode=self.view.mode.value,
                version=self.view.mine,
                interim=",".join(self.view.merge_of),
                by_time=self.view.left_by_time,
            )

    async def stop(self) -> None:
        await self._drop()

    def reload(self) -> None:
        """After SIGHUP: the version now in force."""
        self.view.took(self.node.config.version, self._now_us())
        self._say()

    def status(self) -> dict[str, object]:
        view = self.view
        return {
            "version": view.mine,
            "mode": view.mode.value,
            "interim": list(view.merge_of),
            "others_differ": view.others_differ,
            "last_heard_bucket": view.last_heard,
            "silent_buckets": self.silent,
            "rereads": self.rereads,
            "expected": view.expected,
        }
