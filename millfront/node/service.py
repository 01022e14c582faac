"""A gateway node: connects the host of the decisions with its peers, applies settings, drains and stops."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio
from anyio.abc import TaskGroup, TaskStatus

from millfront import interface as api
from millfront import takeover
from millfront.logs import Log
from millfront.node.bodies import (
    BODIES_MEMORY_DIVISOR,
    BODY_BUFFER_BYTES,
    RESPONSES_MEMORY_DIVISOR,
    BodySlots,
    BufferBudget,
)
from millfront.node.clients import VirtualServer
from millfront.node.config import Address, Config, ConfigError
from millfront.node.counter import CounterClient
from millfront.node.drain import Drain, Reason
from millfront.node.endings import ExchangeError
from millfront.node.handover import Handover
from millfront.node.host import Clock, Host
from millfront.node.members import Members
from millfront.node.operators_line import CommandRefused, OperatorsLine
from millfront.node.parts import Parts
from millfront.node.pool import Pool
from millfront.node.retune import OVERLAP_US, ActiveSettings
from millfront.node.stages.admit import Admit
from millfront.node.stages.book import OutcomeRecorder
from millfront.node.stages.route import Route
from millfront.node.stages.send import Send, ServerSideFlow
from millfront.node.stages.take_in import RequestParser

log = Log(__name__)

FINAL_READ_TIMEOUT_S = 0.5
TASK_RESTART_DELAY_S = 0.1
DRAIN_CHECK_INTERVAL_S = 0.02


class Node:
    def __init__(self, config: Config) -> None:
        self.config = config
        settings, node = config.settings, config.node
        self.clock = Clock()
        self.host = Host(settings, config.seed, self.clock)
        self.members = Members(
            self.clock, node.connect_timeout_us, node.keepalive_us, config.max_member_connections
        )
        self.pool = Pool(self.host, self.members, node, config.discovery)
        self.counter: CounterClient | None = None
        self.active_settings = ActiveSettings(settings, node)
        self.outcome_recorder = OutcomeRecorder(self.host, node.max_units)
        self.body_slots = BodySlots(
            max(1, config.memory_mb * 1024 * 1024 // BODIES_MEMORY_DIVISOR // BODY_BUFFER_BYTES)
        )
        self.send = Send(
            self.clock,
            self.members,
            Route(self.members),
            self.outcome_recorder,
            self.body_slots,
            self._begin_stream,
        )
        self.admit = Admit(self.host, min(node.max_open, config.max_clients))
        self.request_parser = RequestParser(self.active_settings, node.max_units)
        self.server = VirtualServer(
            self.clock, self.host, self.request_parser, self.admit, self.ready, config.max_clients
        )
        self.server.buffer_budget = BufferBudget(config.memory_mb * 1024 * 1024 // RESPONSES_MEMORY_DIVISOR)
        self.servers = [self.server]  # and those of optional parts
        self.parts = Parts()
        self.drain = Drain()
        self.operators_line = OperatorsLine(
            {"check": self.check, "drain-on": self.drain_on, "drain-off": self.drain_off}
        )
        self.handover: Handover | None = None
        # Adjusts the settings in force for the decision module; set by the agreement part if that is enabled.
        self.interim: Callable[[api.Settings], api.Settings] | None = None
        self._tasks: TaskGroup
        self._drain_started = anyio.Event()

    def ready(self) -> bool:
        """Health as reported to the load balancer in front: a pool member is ready, and no drain is on."""
        return self.members.any_ready() and self.drain.accepts_clients

    # ---- commands of operators, by signal or on their line ---------------------------------------

    def stop(self) -> None:
        """Drains clients, then stops. Can't be revoked."""
        self._start_drain(Reason.END)

    def check(self) -> str:
        if self.drain.ending:
            raise CommandRefused("ends")
        if self.server.address is None or not self.members.any_ready():
            raise CommandRefused("no pool member is known yet")
        return "serves" if self.drain.accepts_clients else "serves; clients are sent away"

    def drain_on(self) -> str:
        self._start_drain(Reason.OPERATORS)
        return "clients are sent away"

    def drain_off(self) -> str:
        if self.drain.ending:
            raise CommandRefused("ends")
        if not self.drain.accepts_clients:
            self.drain.remove_reason(Reason.OPERATORS)
            log.info("drain ended")
        return "clients are taken"

    def _start_drain(self, reason: Reason) -> None:
        if reason not in self.drain.reasons:
            self.drain.add_reason(reason, self.clock.now())
            log.info("drain started", why=reason.name)
        self._drain_started.set()

    async def run(self, *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until stop() is called and every accepted request is answered.

        :raises ConfigError: it can't listen at a configured address
        """
        config = self.config
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self.host.start_flow = self.send
            self.host.close_idle = self._close_idle
            self.host.start_count = self._fail_count
            if config.counter is not None:
                self._use_counter(config.counter)
            tasks.start_soon(self._supervise, self.host.timers.run)
            tasks.start_soon(self._supervise, self.members.run)
            self.host.start()
            try:
                self.pool.apply_list(config.initial_list, cached=True)
            except ExchangeError as error:
                log.warning("initial server list can't be used", why=error)
            if (folder := config.folder) is not None:
                self.handover = Handover(folder, config.name, self._dump_state, self._on_peer_exit)
                self._load_state(await self.handover.fetch_state())
                tasks.start_soon(self._supervise, self.handover.run)
            tasks.start_soon(self._supervise, self.pool.watch)
            if config.admin is not None:
                self._open_operators_line(config.admin)
            await self.parts.start(lambda run: tasks.start_soon(self._supervise, run))
            try:
                address = await tasks.start(self.server.run, config.listen)
            except OSError as error:
                raise ConfigError(f"listen: {config.listen}: {error.strerror}") from None
            log.info("serves", name=config.name, settings=config.version, address=address)
            task_status.started(address)
            try:
                await self._run_drain()
                await self._wind_down()
                await self.parts.stop()
            finally:
                self.operators_line.close()
            tasks.cancel_scope.cancel()

    def _load_state(self, text: bytes | None) -> None:
        """Starts with a predecessor's state, if there is one and it is valid."""
        if text is None:
            return
        gateway, names = self.host.gateway, self.pool.backend_ids()
        try:
            customer_count = takeover.load_state(
                gateway, text, self.active_settings.plans, names, self.clock.now()
            )
        except takeover.InvalidState as error:
            log.warning("predecessor's state can't be used; starting without it", why=error)
            takeover.halve_shares(gateway)  # the predecessor is running all the same
            return
        log.info("takes over", customers=customer_count)

    def _dump_state(self) -> bytes:
        gateway = self.host.gateway
        takeover.halve_shares(gateway)
        members = {number: name for name, number in self.pool.backend_ids().items()}
        return takeover.dump_state(gateway, self.active_settings.plan_names, members)

    def _on_peer_exit(self) -> None:
        if not self.drain.ending:  # a stopping process leaves its half to the other one
            takeover.restore_shares(self.host.gateway)

    def _open_operators_line(self, address: Address) -> None:
        try:
            log.info("operators are answered", address=self.operators_line.listen(address))
        except OSError as error:
            raise ConfigError(f"admin_addr: {address}: {error.strerror}") from None

    def apply_config(self, config: Config) -> None:
        """Switches to a new configuration, already checked as a whole, while serving. Listen addresses and
        limits take effect at the next start."""
        previous, self.config = self.config, config
        self.set_addresses(config.discovery, config.counter)
        if (config.settings, config.node) == (previous.settings, previous.node):
            return
        log.info(
            "settings change",
            settings=config.version,
            before=previous.version,
            classes=",".join(config.node.classes),
            plans=",".join(config.node.plans),
        )
        self._apply_settings(self.active_settings.update(config.settings, config.node, self.clock.now()))
        self.host.timers.after(
            OVERLAP_US, lambda: self._apply_settings(self.active_settings.end_overlap(self.clock.now()))
        )

    def resend_settings(self) -> None:
        """Sends the settings in force to the decision module again, after a change in what `interim` makes of
        them."""
        self._apply_settings(api.Retuned(self.active_settings.settings))

    def _apply_settings(self, retuned: api.Retuned) -> None:
        """Takes limits from the configuration in force: an overlap may end after a newer one has begun."""
        if self.interim is not None:
            retuned = replace(retuned, settings=self.interim(retuned.settings))
        config, node = self.config, self.config.node
        self.request_parser.update(self.active_settings, node.max_units)
        self.outcome_recorder.max_units = node.max_units
        self.admit.max_open = min(node.max_open, config.max_clients)
        self.members.set_timeouts(node.connect_timeout_us, node.keepalive_us)
        if self.counter is not None:
            self.counter.timeout_us = config.settings.counter_timeout_us
        self.host.apply_settings(retuned)

    def set_addresses(self, discovery: Address, counter: Address | None) -> None:
        if discovery != self.pool.discovery:
            log.info("discovery address changed", before=self.pool.discovery, now=discovery)
            self.pool.set_discovery(discovery)
        if self.counter is not None and counter is not None and counter != self.counter.address:
            log.info("counter address changed", before=self.counter.address, now=counter)
            self._use_counter(counter)

    def _use_counter(self, address: Address) -> None:
        wait_us = self.config.settings.counter_timeout_us
        previous, self.counter = (
            self.counter,
            CounterClient(self.host, address, wait_us, self.config.node.connect_timeout_us),
        )
        self.host.start_count = self.counter.call
        if previous is not None:
            previous.retire(self.counter)
        self._tasks.start_soon(self._supervise, self.counter.run)

    async def _supervise(self, task: Callable[..., Awaitable[None]], *args: object) -> None:
        """Restarts a task that fails: its fault must neither end the task group nor the task for good."""
        while True:
            try:
                return await task(*args)
            except Exception:
                log.exception("task failed; restarting it")
            await anyio.sleep(TASK_RESTART_DELAY_S)

    async def _run_drain(self) -> None:
        """Applies the drain to the servers, until a planned stop no longer accepts clients."""
        while True:
            now = self.clock.now()
            for server in self.servers:
                server.set_closing(self.drain.closes_after_response(now))
                if self.drain.closes_idle(now):
                    server.close_idle()
            if self.drain.stops_accepting(now):
                return
            if self.drain.accepts_clients:
                self._drain_started = anyio.Event()
                await self._drain_started.wait()
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def _wind_down(self) -> None:
        for server in self.servers:
            server.stop_accepting()
        if self.handover is not None:
            self.handover.stop()
        while any(server.unanswered_count() for server in self.servers):
            for server in self.servers:
                server.close_idle()
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)
        for server in self.servers:
            server.close_idle()
        with anyio.move_on_after(FINAL_READ_TIMEOUT_S):  # clients may still be reading their last responses
            while any(server.connection_count() for server in self.servers):
                await anyio.sleep(0.02)
        for what, endings in (
            ("client connections", self.server.endings),
            ("flows", self.outcome_recorder.endings),
        ):
            counts = ", ".join(f"{count} {ending.value}" for ending, count in endings.items())
            log.info("endings", of=what, were=counts or "none")

    def _begin_stream(self, flow: ServerSideFlow) -> bool:
        return self.host.begin_stream(flow.open_request, flow.number, flow.response, flow)

    def _close_idle(self, backend: int) -> None:
        if member := self.members.get(backend):
            self.members.close_idle(member)

    def _fail_count(self, count: api.Count) -> None:
        self.host.counter_answered(api.CounterAnswered(count.name, api.Outcome.CONNECT_FAILED, 0.0))
