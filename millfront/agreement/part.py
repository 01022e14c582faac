"""Agreement in a running gatekeeper: the roll call at the counter, on a connection of its own, and the reload
of the settings where others act on another version. view.py makes the decisions."""

import os
import random
import signal
import time

import anyio
from anyio.abc import SocketStream

from millfront import interface as api
from millfront.agreement import interim
from millfront.agreement.view import AgreementView, BucketCounts, Mode, bucket_of, counter_names
from millfront.logs import Log
from millfront.node.service import Node
from millfront.operators import document
from millfront.settings import NodeSettings

log = Log(__name__)

CALL_TIMEOUT_S = 1.0  # for the four calls of a bucket; a slower counter is treated as unavailable
NAME_LIFETIME_PERIODS = 4  # its bucket, the read in the next one, and a late answer
DOCUMENT = "settings"


class AgreementPart:
    name = "agreement"

    def __init__(self, node: Node, settings: document.Agreement) -> None:
        self.node = node
        self.settings = settings
        self.period_us = int(settings.period_s * 1e6)
        expected = settings.expected or node.config.settings.peers
        now = self._now_us()
        self.view = AgreementView(node.config.version, now, expected, int(settings.most_unsure_s * 1e6))
        self._rng = random.Random(node.config.seed)
        self._stream: SocketStream | None = None
        self.silent_buckets = 0  # buckets in a row that could not be read
        self.rereads = 0
        self._last_reported = (self.view.mode, self.view.interim_versions)
        self.documents: dict[str, tuple[api.Settings, NodeSettings]] = {}  # of view.interim_versions
        self._store_document(node.config.version)
        node.interim = self.interim_settings

    def _now_us(self) -> int:
        return int((time.time() + self.settings.clock_offset_ms / 1000) * 1e6)

    async def start(self) -> None:
        log.info("agreement", mode=self.view.mode.value, version=self.view.version)

    async def run(self) -> None:
        """In each bucket, at a random time of its first quarter: counts this gatekeeper in it and reads the
        previous bucket, in four calls on one connection."""
        bucket = bucket_of(self._now_us(), self.period_us) - 1
        while True:
            # Once per bucket: a sleep that ends a little early must not count this gatekeeper twice in one
            # roll call, where it would hide one that is missing.
            bucket = max(bucket + 1, bucket_of(self._now_us(), self.period_us))
            start = bucket * self.period_us
            await self._sleep_until(start + int(self._rng.random() * self.period_us / 4))
            counts = await self._count_bucket(bucket)
            now = self._now_us()
            if counts is not None:
                self.silent_buckets = 0
                self.view.record_bucket(counts, now)
            else:
                self.silent_buckets += 1
            self.view.tick(now)
            self._report_changes()
            if self.view.wants_reload or self.silent_buckets:
                self._reload()  # others differ, or that is unknown: the file may be newer
            await self._sleep_until(start + self.period_us)

    async def _sleep_until(self, unix_us: int) -> None:
        await anyio.sleep(max(0.0, (unix_us - self._now_us()) / 1e6))

    async def _count_bucket(self, bucket: int) -> BucketCounts | None:
        """Counts this gatekeeper in the bucket under the version in force, and reads the previous bucket.
        None if the counter did not answer all four calls."""
        lifetime_ms = max(1, self.period_us * NAME_LIFETIME_PERIODS // 1000)
        version = self.view.version_to_publish(bucket)
        roll_call, own_version = counter_names(self.settings.prefix, DOCUMENT, bucket, version)
        roll_call_before, own_version_before = counter_names(
            self.settings.prefix, DOCUMENT, bucket - 1, self.view.version
        )
        lines = [f"add {roll_call} 1 {lifetime_ms}", f"add {own_version} 1 {lifetime_ms}"]
        lines += [f"add {roll_call_before} 0 {lifetime_ms}", f"add {own_version_before} 0 {lifetime_ms}"]
        totals = await self._call_counter(lines)
        if totals is None:
            return None
        return BucketCounts(bucket - 1, round(totals[2]), round(totals[3]))

    async def _call_counter(self, lines: list[str]) -> list[float] | None:
        counter = self.node.config.counter
        if counter is None:
            return None
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                if self._stream is None:
                    self._stream = await anyio.connect_tcp(counter.host, counter.port)
                await self._stream.send("".join(line + "\r\n" for line in lines).encode())
                data = b""
                while data.count(b"\r\n") < len(lines):
                    data += await self._stream.receive()
            answers = data.decode().split("\r\n")[: len(lines)]
            if not all(answer.startswith("ok ") for answer in answers):
                return None  # busy or error: nothing is known of this bucket
            return [float(answer.removeprefix("ok ")) for answer in answers]
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, ValueError):
            await self._disconnect()
            return None

    async def _disconnect(self) -> None:
        if self._stream is not None:
            await self._stream.aclose()
            self._stream = None

    def _reload(self) -> None:
        """Sends this process SIGHUP: the file is read whole, and applied only if it is valid."""
        self.rereads += 1
        os.kill(os.getpid(), signal.SIGHUP)

    def _store_document(self, version: str) -> None:
        config = self.node.config
        self.documents[version] = (config.settings, config.node)
        for old in [v for v in self.documents if v not in self.view.interim_versions]:
            del self.documents[old]

    def interim_settings(self, settings: api.Settings) -> api.Settings:
        """The settings in force, restricted to what every older interim version allows. Classes and plans are
        matched by name, through the indexes that that the active settings keep for them."""
        view, active = self.view, self.node.active_settings
        if view.mode is Mode.AGREED:
            return settings
        for version in view.interim_versions[:-1]:
            if (stored := self.documents.get(version)) is None:
                continue
            older, names = stored
            classes = {active.classes[n]: index for n, index in names.classes.items() if n in active.classes}
            plans = {active.plans[n]: index for n, index in names.plans.items() if n in active.plans}
            settings = interim.merge_settings(older, settings, classes, plans)
        return settings

    def _report_changes(self) -> None:
        now = (self.view.mode, self.view.interim_versions)
        if now != self._last_reported:
            self._last_reported = now
            self._store_document(self.view.version)
            self.node.resend_settings()
            log.info(
                "agreement",
                mode=self.view.mode.value,
                version=self.view.version,
                interim=",".join(self.view.interim_versions),
                by_time=self.view.timed_out,
            )

    async def stop(self) -> None:
        await self._disconnect()

    def reload(self) -> None:
        """After SIGHUP: takes over the version now in force."""
        self.view.set_version(self.node.config.version, self._now_us())
        self._report_changes()

    def status(self) -> dict[str, object]:
        view = self.view
        return {
            "version": view.version,
            "mode": view.mode.value,
            "interim": list(view.interim_versions),
            "others_differ": view.others_differ,
            "last_heard_bucket": view.last_bucket,
            "silent_buckets": self.silent_buckets,
            "rereads": self.rereads,
            "expected": view.expected,
        }
