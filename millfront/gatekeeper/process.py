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
from millfront.environment import CONFIG_VARIABLE, Settings, load
from millfront.gatekeeper import api
from millfront.gatekeeper.node import TICK_S, Gatekeeper
from millfront.node.config import Address
from millfront.operations.store import Batch
from millfront.register.replica import PersistRequest
from millfront.register.values import Value
from millfront.transport.connections import Connection, Message, Transport

if TYPE_CHECKING:
    from millfront.storage.disk import Disk
    from millfront.storage.operations_disk import OperationsDisk

SETTINGS_CHECK_TICKS = 8  # between two looks at the settings file, 2 s
DRAIN_SHARE = 0.6  # of the grace, from SIGTERM until clients are no longer taken on
END_MARGIN_S = 0.3  # before the grace ends
IDLE_CHECK_S = 0.02  # between two looks at whether anything is under way
IDLE_CHECKS = 6


class GatekeeperProcess:
    """The I/O of one gatekeeper: connections, disk, platform, signals."""

    def __init__(
        self,
        settings: Settings,
        stored: dict[str, Value] | None,
        disk: "Disk | None",
        metrics_port: int = 0,
        operations_disk: "OperationsDisk | None" = None,
        stored_operations: dict[str, str] | None = None,
        settings_modified_ns: int | None = None,
    ) -> None:
        """:param settings_modified_ns: when the settings file was changed last before it was read, in ns
        :param metrics_port: where metrics are scraped besides ``ctl``; 0: nowhere"""
        self.settings, self.disk, self.metrics_port = settings, disk, metrics_port
        self.operations_disk = operations_disk
        self.loop = asyncio.get_running_loop()
        seed = int.from_bytes(os.urandom(6))  # of this incarnation alone: a clock may step back
        incarnation = time.time_ns() // 1_000_000
        self.gatekeeper = Gatekeeper(settings, self, stored, self.now(), incarnation, seed, stored_operations)
        self.proxy = Proxy(self.gatekeeper, seed, self.now)
        self.transport = Transport(
            lambda line, message: self.gatekeeper.handle_message(self.now(), line, message),
            lambda back, message: self.gatekeeper.handle_datagram(self.now(), back, message),
            settings.listen_ip,
        )
        self.disk_executor, self.check_executor = ThreadPoolExecutor(1), ThreadPoolExecutor(1)
        self.operations_executor = ThreadPoolExecutor(1)
        self.control_apis: list[api.ControlApi] = []
        self.ending = asyncio.Event()
        self.settings_modified_ns = settings_modified_ns  # modification time of the file as last read
        self.tasks: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Seconds on the steady clock."""
        return time.monotonic()

    # ---- what the gatekeeper asks for (NodeIO) ---------------------------------------------------

    def send_datagram(self, address: str, message: Message) -> None:
        """Send one datagram to ``host:port``; it may be lost."""
        self.transport.send_datagram(address, message)

    def send(self, address: str, message: Message) -> None:
        """Send on the held connection to ``host:port``; lost where it can't be had."""
        self.transport.send(address, message)

    def reply(self, via: Any, message: Message) -> None:
        """Send on the connection that something came on; ``via`` is its `Connection`."""
        assert isinstance(via, Connection)
        via.send(message)

    def persist(self, persist: PersistRequest) -> None:
        """Sync it in the disk's thread, then tell `Gatekeeper.synced` whether it held."""
        self.start_task(self._persist(persist))

    def persist_operations(self, batch: Batch) -> None:
        """Sync it in a thread, then tell `Operations.synced` whether it held."""
        self.start_task(self._persist_operations(batch))

    def poll_platform(self, number: int) -> None:
        """Ask the platform for its list, then tell `Gatekeeper.polled`."""
        self.start_task(self._poll(number))

    def log(self, part: str, text: str) -> None:
        """Write a line to the log."""
        logger.info("{}: {}", part, text)

    def call_later(self, seconds: float, then: Callable[[], None]) -> None:
        """Call that after so long."""
        self.loop.call_later(seconds, then)

    def start_task(self, work: Any) -> None:
        """A task whose fault is its own."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (wrong := task.exception()) is not None:
            logger.opt(exception=wrong).error("gatekeeper: a task failed")

    async def _persist(self, persist: PersistRequest) -> None:
        from millfront.storage.lmdb_folder import DiskError

        assert self.disk is not None
        try:
            await self.loop.run_in_executor(self.disk_executor, self.disk.store, persist.values, persist.drop)
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
                await self.loop.run_in_executor(self.operations_executor, store, batch.rows, batch.drop)
            except DiskError as fault:
                logger.warning("disk: {}", fault)
                well = False
        self.gatekeeper.now = self.now()
        self.gatekeeper.operations.synced(batch, well)

    def check_configuration(
        self, text: str, then: Callable[[Result[Configuration, ConfigurationError]], None]
    ) -> None:
        """Read a long configuration in a thread, so that traffic goes on."""

        async def checking() -> None:
            then(await self.loop.run_in_executor(self.check_executor, checked, text))

        self.start_task(checking())

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
        await self.transport.listen(settings.listen_ip or settings.ip, settings.port)
        self.control_apis = api.create_apis(
            self.gatekeeper, self.now, settings.bindings, self.check_configuration
        )
        if self.metrics_port:
            self._listen_for_metrics()
        if "plain" in settings.bindings:
            self.proxy.server.listen(Address.parse(settings.bindings["plain"], "plain"))
        for made in (self.proxy.server, *(c.server for c in self.control_apis)):
            self.start_task(made.sweep())
        self.start_task(self.proxy.members.run())
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.ending.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        logger.info("gatekeeper: {} serves {}", settings.name, " ".join(settings.serves))
        beat = self.loop.create_task(self._tick_loop())
        await self.ending.wait()
        await self._shut_down()
        beat.cancel()

    def _listen_for_metrics(self) -> None:
        """A process serves also where its metrics can't be had."""
        address = f"{self.settings.ip}:{self.metrics_port}"
        try:
            self.control_apis += api.create_apis(
                self.gatekeeper, self.now, {"metrics": address}, self.check_configuration
            )
        except OSError as fault:
            logger.warning("metrics: can't be had at {}: {}", address, fault)

    async def _tick_loop(self) -> None:
        due = self.loop.time()
        while True:
            try:
                self.gatekeeper.tick(self.now())
                self.proxy.update_cold_owners()
                if self.gatekeeper.ticks % SETTINGS_CHECK_TICKS == 0:
                    self.check_settings_file()
            except Exception:  # one beat's fault must not stop all others
                logger.exception("gatekeeper: a beat failed")
            due = max(due + TICK_S, self.loop.time() - TICK_S)
            await asyncio.sleep(max(0.01, due - self.loop.time()))

    def check_settings_file(self) -> None:
        """The settings file may change without a signal."""
        changed = _modified_ns(os.environ)
        if changed is not None and changed != self.settings_modified_ns:
            if self.settings_modified_ns is not None:
                self.reload()
            self.settings_modified_ns = changed

    def reload(self) -> None:
        """The settings file has changed: its seeds hold from now on; a torn one changes nothing."""
        match load(os.environ):
            case Err(fault):
                logger.warning("settings: the file stays unread: {}", fault)
            case Ok(told):
                self.gatekeeper.set_seeds(told.seeds)
                logger.info("settings: read anew")

    async def _shut_down(self) -> None:
        """Say so to all, go on while clients come, send them away, finish what is open; stay a member
        of the core, and vote, until the core has changed."""
        grace = self.settings.bounds.grace_period
        end = self.now() + grace - END_MARGIN_S
        logger.info("gatekeeper: ends")
        self.gatekeeper.reconfiguration.leave(self.now())
        server = self.proxy.server
        await asyncio.sleep(DRAIN_SHARE * grace * 0.5)
        server.set_closing(True)
        await asyncio.sleep(DRAIN_SHARE * grace * 0.3)
        server.stop_accepting()
        looks = 0  # in a row at which nothing was under way: a request may still come on a kept connection
        while self.now() < end and looks < IDLE_CHECKS:
            server.close_idle()
            looks = 0 if self._has_open_work() else looks + 1
            await asyncio.sleep(IDLE_CHECK_S)

    def _has_open_work(self) -> bool:
        """Whether something is open that is to end before this process does."""
        server = self.proxy.server
        if self.proxy.open_requests > 0 or server.unanswered_count() or server.unsent_count():
            return True
        return not self.gatekeeper.reconfiguration.may_exit(self.now())


@dataclass(frozen=True, slots=True)
class Disks:
    """What a machine with a disk keeps, and what was there at the start."""

    register: "Disk | None" = None
    stored: dict[str, Value] | None = None
    operations: "OperationsDisk | None" = None
    stored_operations: dict[str, str] | None = None


def _open_disks(settings: Settings) -> Disks:
    if settings.state_dir is None or "control" not in settings.serves:
        return Disks()
    from millfront.storage.disk import Disk  # lmdb: only where there is a disk
    from millfront.storage.lmdb_folder import DiskError
    from millfront.storage.operations_disk import OperationsDisk

    register, operations = Disk(settings.state_dir), OperationsDisk(settings.state_dir)
    try:
        stored, why = register.load()
    except DiskError as fault:
        logger.warning("disk: nothing can be stored here: {}", fault)
        return Disks()
    stored_operations, why_not = operations.load()
    for wrong in (why, why_not):
        if wrong:
            logger.warning("disk: what was stored can't be read and is set aside: {}", wrong)
    return Disks(register, stored, operations, stored_operations)


def _modified_ns(environment: Mapping[str, str]) -> int | None:
    """When the settings file was changed last, in ns; None where it can't be told."""
    try:
        return os.stat(environment.get(CONFIG_VARIABLE, "")).st_mtime_ns
    except OSError:
        return None


def run(environment: Mapping[str, str], metrics_port: int = 0) -> int:
    """Serve until SIGTERM. Exit code 0 after a planned end, 2 where the settings can't be used.

    :param metrics_port: where metrics are scraped besides ``ctl``; 0: nowhere
    """
    settings_modified_ns = _modified_ns(environment)
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
            disks.stored,
            disks.register,
            metrics_port,
            disks.operations,
            disks.stored_operations,
            settings_modified_ns,
        ).run()

    asyncio.run(serve())
    return 0
