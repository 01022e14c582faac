"""One gatekeeper as a process: the event loop, connections and disk around the pure parts, and shutdown."""

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
from millfront.gatekeeper.shutdown import ShutdownSchedule
from millfront.node.config import Address
from millfront.operations.rows import Batch
from millfront.register.replica import PersistRequest
from millfront.register.values import Value
from millfront.transport.connections import Connection, Message, Transport

if TYPE_CHECKING:
    from millfront.storage.disk import Disk
    from millfront.storage.operations_disk import OperationsDisk

SETTINGS_CHECK_TICKS = 8  # between checks of the settings file, 2 s
IDLE_CHECK_S = 0.02  # between checks whether any work is open
IDLE_CHECKS = 6  # in a row without open work, after which the process ends


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
        """:param stored: the register's values on disk; None: this process has no replica
        :param metrics_port: an additional port for metrics besides ``ctl``; 0: none
        :param stored_operations: the rows of operation keys on disk
        :param settings_modified_ns: modification time of the settings file before it was read, in ns"""
        self.settings, self.disk, self.metrics_port = settings, disk, metrics_port
        self.operations_disk = operations_disk
        self.loop = asyncio.get_running_loop()
        seed = int.from_bytes(os.urandom(6))  # unique to this incarnation, as the clock may step back
        incarnation = time.time_ns() // 1_000_000
        self.gatekeeper = Gatekeeper(settings, self, stored, self.now(), incarnation, seed, stored_operations)
        self.proxy = Proxy(self.gatekeeper, seed, self.now)
        self.transport = Transport(
            lambda via, message: self.gatekeeper.handle_message(self.now(), via, message),
            lambda back, message: self.gatekeeper.handle_datagram(self.now(), back, message),
            settings.listen_ip,
        )
        self.disk_executor, self.check_executor = ThreadPoolExecutor(1), ThreadPoolExecutor(1)
        self.operations_executor = ThreadPoolExecutor(1)
        self.control_apis: list[api.ControlApi] = []
        self.ending = asyncio.Event()
        self.settings_modified_ns = settings_modified_ns  # modification time of the file as last read
        self.tasks: set[asyncio.Task[None]] = set()
        self.failed_part = ""  # the part of this process that has ended by itself

    def now(self) -> float:
        """Seconds on the monotonic clock."""
        return time.monotonic()

    # ---- NodeIO ----------------------------------------------------------------------------------

    def send_datagram(self, address: str, message: Message) -> None:
        """Send one datagram to ``host:port``; it may be lost."""
        self.transport.send_datagram(address, message)

    def send(self, address: str, message: Message) -> None:
        """Send on the persistent connection to ``host:port``; lost if it can't be opened."""
        self.transport.send(address, message)

    def reply(self, via: Any, message: Message) -> None:
        """Send on the `Connection` ``via`` that a message arrived on."""
        assert isinstance(via, Connection)
        via.send(message)

    def persist(self, persist: PersistRequest) -> None:
        """Sync the values in the disk's thread, then call `Gatekeeper.synced` with the outcome."""
        self.start_task(self._persist(persist))

    def persist_operations(self, batch: Batch) -> None:
        """Sync the batch in a thread, then call `Operations.synced` with the outcome."""
        self.start_task(self._persist_operations(batch))

    def poll_platform(self, number: int) -> None:
        """Fetch the platform's list of servers, then call `Gatekeeper.polled`."""
        self.start_task(self._poll(number))

    def log(self, part: str, text: str) -> None:
        """Write a line to the log."""
        logger.info("{}: {}", part, text)

    def call_later(self, seconds: float, then: Callable[[], None]) -> None:
        """Call `then` after that many seconds."""
        self.loop.call_later(seconds, then)

    def start_task(self, work: Any) -> "asyncio.Task[None]":
        """Run a coroutine as a task; its exception is logged and affects nothing else."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            logger.opt(exception=error).error("gatekeeper: background task failed")

    def start_part(self, name: str, work: Any) -> None:
        """Run a coroutine that this process can't serve without: when it ends, the process shuts down."""

        def ended(task: "asyncio.Task[None]") -> None:
            if task.cancelled() or self.ending.is_set():
                return
            logger.error("gatekeeper: {} has ended: this process shuts down", name)
            self.failed_part = name
            self.ending.set()

        self.start_task(work).add_done_callback(ended)

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

        ok = self.operations_disk is not None
        if self.operations_disk is not None:
            store = self.operations_disk.store
            try:
                await self.loop.run_in_executor(self.operations_executor, store, batch.rows, batch.drop)
            except DiskError as fault:
                logger.warning("disk: {}", fault)
                ok = False
        self.gatekeeper.now = self.now()
        self.gatekeeper.operations.synced(batch, ok)

    def check_configuration(
        self, text: str, then: Callable[[Result[Configuration, ConfigurationError]], None]
    ) -> None:
        """Parse and check a long configuration in a thread, so that traffic is not held up."""

        async def checking() -> None:
            then(await self.loop.run_in_executor(self.check_executor, checked, text))

        self.start_task(checking())

    async def _poll(self, number: int) -> None:
        result: PlatformList | ReadFailure = ReadFailure.UNREACHABLE
        try:
            result = await read_list(self.settings.cloud)
        except PlatformError as fault:
            result = fault.failure
            logger.info("discovery: cannot fetch the platform's list of servers: {}", fault)
        finally:
            self.gatekeeper.polled(self.now(), number, result)

    # ---- lifecycle ---------------------------------------------------------------------------------

    async def run(self) -> int:
        """Listen, serve until SIGTERM or SIGINT, then shut down within the grace period.

        :returns: the exit code: 1 if a part of the process has ended by itself, else 0
        :raises OSError: an address to listen at is not available
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
        for server in (self.proxy.server, *(c.server for c in self.control_apis)):
            server.on_fault = self.gatekeeper.count_connection_fault
            self.start_part(f"the server at {server.address}", server.sweep())
        self.start_part("the connections to servers", self.proxy.members.run())
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.ending.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        logger.info("gatekeeper: {} serves {}", settings.name, " ".join(settings.serves))
        self.start_part("the periodic work", self._tick_loop())
        await self.ending.wait()
        await self._shut_down()
        return 1 if self.failed_part else 0

    def _listen_for_metrics(self) -> None:
        """Serve metrics on their own port; if it is not available the process runs without."""
        address = f"{self.settings.ip}:{self.metrics_port}"
        try:
            self.control_apis += api.create_apis(
                self.gatekeeper, self.now, {"metrics": address}, self.check_configuration
            )
        except OSError as fault:
            logger.warning("metrics: cannot listen at {}: {}", address, fault)

    async def _tick_loop(self) -> None:
        due = self.loop.time()
        while True:
            try:
                self.gatekeeper.tick(self.now())
                self.proxy.update_cold_owners()
                if self.gatekeeper.ticks % SETTINGS_CHECK_TICKS == 0:
                    self.check_settings_file()
            except Exception:  # a fault in one tick must not stop the later ones
                logger.exception("gatekeeper: tick failed")
            due = max(due + TICK_S, self.loop.time() - TICK_S)
            await asyncio.sleep(max(0.01, due - self.loop.time()))

    def check_settings_file(self) -> None:
        """Reload the settings file if its modification time has changed: it may change without a signal."""
        modified_ns = _modified_ns(os.environ)
        if modified_ns is not None and modified_ns != self.settings_modified_ns:
            if self.settings_modified_ns is not None:
                self.reload()
            self.settings_modified_ns = modified_ns

    def reload(self) -> None:
        """Reload the settings file and apply its seeds; an invalid or half-written file changes nothing."""
        match load(os.environ):
            case Err(fault):
                logger.warning("settings: reload rejected, the old settings stay in force: {}", fault)
            case Ok(settings):
                self.gatekeeper.set_seeds(settings.seeds)
                logger.info("settings: reloaded, seeds applied")

    async def _shut_down(self) -> None:
        """Announce the shutdown and serve on while clients still arrive. Then refuse further requests and
        finish the open ones. A core member keeps voting until the core has replaced it."""
        schedule = ShutdownSchedule.of(self.settings.bounds)
        started = self.now()
        logger.info("gatekeeper: shutting down")
        self.gatekeeper.reconfiguration.leave(started)
        server = self.proxy.server
        await asyncio.sleep(schedule.announce_s)
        server.set_closing(True)
        await asyncio.sleep(schedule.stop_admitting_s - schedule.announce_s)
        server.stop_accepting()
        self.proxy.admitting = False
        idle_checks = 0  # in a row; a request may still arrive on a kept-alive connection
        while self.now() < started + schedule.exit_s and idle_checks < IDLE_CHECKS:
            server.close_idle()
            idle_checks = 0 if self._has_open_work() else idle_checks + 1
            await asyncio.sleep(IDLE_CHECK_S)
        self.proxy.give_up_waiting()
        logger.info("gatekeeper: exits with {} requests open", len(self.proxy.open_requests))

    def _has_open_work(self) -> bool:
        """Whether something is open that must end before this process does."""
        server = self.proxy.server
        if self.proxy.open_requests or server.unanswered_count() or server.unsent_count():
            return True
        return not self.gatekeeper.reconfiguration.may_exit(self.now())


@dataclass(frozen=True, slots=True)
class Disks:
    """The disk stores of a machine, and what they held at the start; all None without a disk."""

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
        stored, damage = register.load()
    except DiskError as fault:
        logger.warning("disk: register not usable, this process runs without a replica: {}", fault)
        return Disks()
    stored_operations, operations_damage = operations.load()
    for reason in (damage, operations_damage):
        if reason:
            logger.warning("disk: unreadable data set aside: {}", reason)
    return Disks(register, stored, operations, stored_operations)


def _modified_ns(environment: Mapping[str, str]) -> int | None:
    """Modification time of the settings file in ns; None if it can't be read."""
    try:
        return os.stat(environment.get(CONFIG_VARIABLE, "")).st_mtime_ns
    except OSError:
        return None


def run(environment: Mapping[str, str], metrics_port: int = 0) -> int:
    """Serve until SIGTERM. Returns exit code 0 after a shutdown, 1 if a part of the process ended by itself,
    2 if the settings are invalid.

    :param metrics_port: an additional port for metrics besides ``ctl``; 0: none
    """
    settings_modified_ns = _modified_ns(environment)
    match load(environment):
        case Err(fault):
            print(f"millfront: {fault}", file=sys.stderr)
            return 2
        case Ok(settings):
            pass
    logger.remove()
    log_format = "{time:HH:mm:ss.SSS} {level} {message}"
    logger.add(sys.stderr, format=log_format, level=settings.log_level, serialize=settings.log_json)
    disks = _open_disks(settings)
    gc.collect()
    gc.freeze()

    async def serve() -> int:
        return await GatekeeperProcess(
            settings,
            disks.stored,
            disks.register,
            metrics_port,
            disks.operations,
            disks.stored_operations,
            settings_modified_ns,
        ).run()

    return asyncio.run(serve())
