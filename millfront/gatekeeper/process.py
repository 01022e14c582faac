"""One gatekeeper as a process: the loop, its connections and its disk round the pure parts, and its end."""

import asyncio
import gc
import os
import signal
import sys
import time
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from loguru import logger
from result import Err, Ok, Result

from millfront.control.configuration import Configuration, ConfigurationError, checked
from millfront.dataplane.proxy import Proxy
from millfront.discovery.platform_client import PlatformError, read_list
from millfront.discovery.server_list import PlatformList, ReadFailure
from millfront.environment import VARIABLE, Settings, load
from millfront.gatekeeper import api
from millfront.gatekeeper.node import BEAT_S, Gatekeeper
from millfront.node.config import Address
from millfront.operations.store import Batch
from millfront.register.replica import PersistRequest
from millfront.register.values import Value
from millfront.transport.connections import Line, Message, Transport

if TYPE_CHECKING:
    from millfront.storage.disk import Disk
    from millfront.storage.operations_disk import OperationsDisk

LOOK_BEATS = 8  # between two looks at the settings file, 2 s
LEAVE_S = 0.6  # of the grace, from SIGTERM until clients are no longer taken on
LAST_S = 0.3  # before the grace ends
LOOK_S = 0.02  # between two looks at whether anything is under way
LAST_LOOKS = 6


class GatekeeperProcess:
    """The I/O of one gatekeeper: connections, disk, platform, signals."""

    def __init__(
        self,
        settings: Settings,
        kept: dict[str, Value] | None,
        disk: "Disk | None",
        metrics_port: int = 0,
        operations_disk: "OperationsDisk | None" = None,
        kept_operations: dict[str, str] | None = None,
        settings_of: int | None = None,
    ) -> None:
        """:param settings_of: when the settings file was changed last before it was read, in ns
        :param metrics_port: where metrics are scraped besides ``ctl``; 0: nowhere"""
        self.settings, self.disk, self.metrics_port = settings, disk, metrics_port
        self.operations_disk = operations_disk
        self.loop = asyncio.get_running_loop()
        seed = int.from_bytes(os.urandom(6))  # of this incarnation alone: a clock may step back
        incarnation = time.time_ns() // 1_000_000
        self.gatekeeper = Gatekeeper(settings, self, kept, self.now(), incarnation, seed, kept_operations)
        self.proxy = Proxy(self.gatekeeper, seed, self.now)
        self.wire = Transport(
            lambda line, message: self.gatekeeper.message(self.now(), line, message),
            lambda back, message: self.gatekeeper.datagram(self.now(), back, message),
            settings.listen_ip,
        )
        self.threads, self.readers = ThreadPoolExecutor(1), ThreadPoolExecutor(1)
        self.operations_threads = ThreadPoolExecutor(1)
        self.control_apis: list[api.ControlApi] = []
        self.ending = asyncio.Event()
        self.file_of = settings_of  # when the settings file was changed, as far as it was read
        self.tasks: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Seconds on the steady clock."""
        return time.monotonic()

    # ---- what the gatekeeper asks for (NodeIO) ---------------------------------------------------

    def datagram(self, address: str, message: Message) -> None:
        """Send one datagram to ``host:port``; it may be lost."""
        self.wire.datagram(address, message)

    def line(self, address: str, message: Message) -> None:
        """Send on the held connection to ``host:port``; lost where it can't be had."""
        self.wire.line(address, message)

    def back(self, via: Any, message: Message) -> None:
        """Send on the connection that something came on; ``via`` is its `Line`."""
        assert isinstance(via, Line)
        via.send(message)

    def persist(self, persist: PersistRequest) -> None:
        """Sync it in the disk's thread, then tell `Gatekeeper.synced` whether it held."""
        self.start(self._persist(persist))

    def persist_operations(self, batch: Batch) -> None:
        """Sync it in a thread, then tell `Operations.synced` whether it held."""
        self.start(self._persist_operations(batch))

    def poll(self, number: int) -> None:
        """Ask the platform for its list, then tell `Gatekeeper.polled`."""
        self.start(self._poll(number))

    def say(self, part: str, text: str) -> None:
        """Write a line to the log."""
        logger.info("{}: {}", part, text)

    def later(self, seconds: float, then: Callable[[], None]) -> None:
        """Call that after so long."""
        self.loop.call_later(seconds, then)

    def start(self, work: Any) -> None:
        """A task whose fault is its own."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (wrong := task.exception()) is not None:
            logger.opt(exception=wrong).error("gatekeeper: a task failed")

    async def _persist(self, persist: PersistRequest) -> None:
        from millfront.storage.lmdb_folder import DiskError

        assert self.disk is not None
        try:
            await self.loop.run_in_executor(self.threads, self.disk.store, persist.values, persist.drop)
        except DiskError as fault:
            logger.warning("disk: {}", fault)
            self.gatekeeper.synced(self.now(), persist, False)
            return
        self.gatekeeper.synced(self.now(), persist, True)

    async def _persist_operations(self, batch: Batch) -> None:
        from millfront.storage.lmdb_folder import DiskError

        well = self.operations_disk is not None
        if self.operations_disk is not None:
            store = self.operations_disk.store
            try:
                await self.loop.run_in_executor(self.operations_threads, store, batch.rows, batch.drop)
            except DiskError as fault:
                logger.warning("disk: {}", fault)
                well = False
        self.gatekeeper.now = self.now()
        self.gatekeeper.operations.synced(batch, well)

    def check(self, text: str, then: Callable[[Result[Configuration, ConfigurationError]], None]) -> None:
        """Read a long configuration in a thread, so that traffic goes on."""

        async def checking() -> None:
            then(await self.loop.run_in_executor(self.readers, checked, text))

        self.start(checking())

    async def _poll(self, number: int) -> None:
        found: PlatformList | ReadFailure = ReadFailure.UNREACHABLE
        try:
            found = await read_list(self.settings.cloud)
        except PlatformError as fault:
            found = fault.failure
            logger.info("discovery: the platform's list can't be had: {}", fault)
        finally:
            self.gatekeeper.polled(self.now(), number, found)

    # ---- lifecycle ---------------------------------------------------------------------------------

    async def run(self) -> None:
        """Listen, serve until SIGTERM or SIGINT, then end within the grace period.

        :raises OSError: an address can't be listened at
        """
        settings = self.settings
        await self.wire.listen(settings.listen_ip or settings.ip, settings.port)
        self.control_apis = api.of(self.gatekeeper, self.now, settings.bindings, self.check)
        if self.metrics_port:
            self._listen_for_scrapes()
        if "plain" in settings.bindings:
            self.proxy.server.listen(Address.parse(settings.bindings["plain"], "plain"))
        for made in (self.proxy.server, *(c.server for c in self.control_apis)):
            self.start(made.sweep())
        self.start(self.proxy.members.run())
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.ending.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        logger.info("gatekeeper: {} serves {}", settings.name, " ".join(settings.serves))
        beat = self.loop.create_task(self._beat())
        await self.ending.wait()
        await self._end()
        beat.cancel()

    def _listen_for_scrapes(self) -> None:
        """A process serves also where its metrics can't be had."""
        address = f"{self.settings.ip}:{self.metrics_port}"
        try:
            self.control_apis += api.of(self.gatekeeper, self.now, {"metrics": address}, self.check)
        except OSError as fault:
            logger.warning("metrics: can't be had at {}: {}", address, fault)

    async def _beat(self) -> None:
        due = self.loop.time()
        while True:
            try:
                self.gatekeeper.beat(self.now())
                self.proxy.update_cold_owners()
                if self.gatekeeper.beats % LOOK_BEATS == 0:
                    self.look()
            except Exception:  # one beat's fault must not stop all others
                logger.exception("gatekeeper: a beat failed")
            due = max(due + BEAT_S, self.loop.time() - BEAT_S)
            await asyncio.sleep(max(0.01, due - self.loop.time()))

    def look(self) -> None:
        """The settings file may change without a signal."""
        changed = _changed_at(os.environ)
        if changed is not None and changed != self.file_of:
            if self.file_of is not None:
                self.reload()
            self.file_of = changed

    def reload(self) -> None:
        """The settings file has changed: its seeds hold from now on; a torn one changes nothing."""
        match load(os.environ):
            case Err(fault):
                logger.warning("settings: the file stays unread: {}", fault)
            case Ok(told):
                self.gatekeeper.reseed(told.seeds)
                logger.info("settings: read anew")

    async def _end(self) -> None:
        """Say so to all, go on while clients come, send them away, finish what is open; stay a member
        of the core, and vote, until the core has changed."""
        grace = self.settings.bounds.grace_period
        end = self.now() + grace - LAST_S
        logger.info("gatekeeper: ends")
        self.gatekeeper.reconfiguration.leave(self.now())
        server = self.proxy.server
        await asyncio.sleep(LEAVE_S * grace * 0.5)
        server.set_closing(True)
        await asyncio.sleep(LEAVE_S * grace * 0.3)
        server.stop_accepting()
        looks = 0  # in a row at which nothing was under way: a request may still come on a kept connection
        while self.now() < end and looks < LAST_LOOKS:
            server.close_idle()
            looks = 0 if self._under_way() else looks + 1
            await asyncio.sleep(LOOK_S)

    def _under_way(self) -> bool:
        """Whether something is open that is to end before this process does."""
        server = self.proxy.server
        if self.proxy.open_requests > 0 or server.unanswered_count() or server.unsent_count():
            return True
        return not self.gatekeeper.reconfiguration.may_exit(self.now())


@dataclass(frozen=True, slots=True)
class Disks:
    """What a machine with a disk keeps, and what was there at the start."""

    register: "Disk | None" = None
    kept: dict[str, Value] | None = None
    operations: "OperationsDisk | None" = None
    kept_operations: dict[str, str] | None = None


def _open_disks(settings: Settings) -> Disks:
    if settings.state_dir is None or "control" not in settings.serves:
        return Disks()
    from millfront.storage.disk import Disk  # lmdb: only where there is a disk
    from millfront.storage.lmdb_folder import DiskError
    from millfront.storage.operations_disk import OperationsDisk

    register, operations = Disk(settings.state_dir), OperationsDisk(settings.state_dir)
    try:
        kept, why = register.load()
    except DiskError as fault:
        logger.warning("disk: nothing can be kept here: {}", fault)
        return Disks()
    kept_operations, why_not = operations.load()
    for wrong in (why, why_not):
        if wrong:
            logger.warning("disk: what was kept can't be read and is set aside: {}", wrong)
    return Disks(register, kept, operations, kept_operations)


def _changed_at(environment: Mapping[str, str]) -> int | None:
    """When the settings file was changed last, in ns; None where it can't be told."""
    try:
        return os.stat(environment.get(VARIABLE, "")).st_mtime_ns
    except OSError:
        return None


def run(environment: Mapping[str, str], metrics_port: int = 0) -> int:
    """Serve until SIGTERM. Exit code 0 after a planned end, 2 where the settings can't be used.

    :param metrics_port: where metrics are scraped besides ``ctl``; 0: nowhere
    """
    settings_of = _changed_at(environment)
    match load(environment):
        case Err(fault):
            print(f"millfront: {fault}", file=sys.stderr)
            return 2
        case Ok(settings):
            pass
    logger.remove()
    form = "{time:HH:mm:ss.SSS} {level} {message}"
    logger.add(sys.stderr, format=form, level=settings.log_level, serialize=settings.log_json)
    disks = _open_disks(settings)
    gc.collect()
    gc.freeze()

    async def serve() -> None:
        await GatekeeperProcess(
            settings,
            disks.kept,
            disks.register,
            metrics_port,
            disks.operations,
            disks.kept_operations,
            settings_of,
        ).run()

    asyncio.run(serve())
    return 0
