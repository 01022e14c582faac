"""A node put together: the peers round the host, and its planned end."""

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
from millfront.node.counter import Counter
from millfront.node.drain import Drain, Reason
from millfront.node.endings import ExchangeError
from millfront.node.handover import Handover
from millfront.node.host import Clock, Host
from millfront.node.members import Members
from millfront.node.operators_line import OperatorsLine, Refused
from millfront.node.parts import Parts
from millfront.node.pool import Pool
from millfront.node.retune import OVERLAP_US, Tuning
from millfront.node.stages.admit import Admit
from millfront.node.stages.book import Book
from millfront.node.stages.route import Route
from millfront.node.stages.send import Send, ServerSideFlow
from millfront.node.stages.take_in import TakeIn

log = Log(__name__)

LAST_READ_S = 0.5
AGAIN_S = 0.1  # before a task that failed is started anew
LOOK_S = 0.02  # between two looks at who is still to be sent away


class Node:
    def __init__(self, config: Config) -> None:
        self.config = config
        settings, node = config.settings, config.node
        self.clock = Clock()
        self.host = Host(settings, config.seed, self.clock)
        self.members = Members(self.clock, node.connect_timeout_us, node.keepalive_us, config.most_flows)
        self.pool = Pool(self.host, self.members, node, config.discovery)
        self.counter: Counter | None = None
        self.tuning = Tuning(settings, node)
        self.book = Book(self.host, node.max_units)
        self.ways = BodySlots(
            max(1, config.memory_mb * 1024 * 1024 // BODIES_MEMORY_DIVISOR // BODY_BUFFER_BYTES)
        )
        self.send = Send(self.clock, self.members, Route(self.members), self.book, self.ways, self._begin)
        self.admit = Admit(self.host, min(node.max_open, config.most_clients))
        self.take_in = TakeIn(self.tuning, node.max_units)
        self.server = VirtualServer(
            self.clock, self.host, self.take_in, self.admit, self.ready, config.most_clients
        )
        self.server.buffer_budget = BufferBudget(config.memory_mb * 1024 * 1024 // RESPONSES_MEMORY_DIVISOR)
        self.fronts = [self.server]  # and what is switched on beside it
        self.parts = Parts()
        self.drain = Drain()
        self.operators_line = OperatorsLine(
            {"check": self.check, "drain-on": self.drain_on, "drain-off": self.drain_off}
        )
        self.handover: Handover | None = None
        # What the settings in force are made into before the module has them: agreement's interim, where on.
        self.interim: Callable[[api.Settings], api.Settings] | None = None
        self._tasks: TaskGroup
        self._sending_away = anyio.Event()

    def ready(self) -> bool:
        """What the front is told: this gatekeeper is able to serve, and clients are wanted here."""
        return self.members.any_ready() and self.drain.accepts_clients

    # ---- what operators ask, by a signal or on their line ----------------------------------------

    def stop(self) -> None:
        """Send clients away and end. For good."""
        self._send_away_for(Reason.END)

    def check(self) -> str:
        if self.drain.ending:
            raise Refused("ends")
        if self.server.address is None or not self.members.any_ready():
            raise Refused("no pool member is known yet")
        return "serves" if self.drain.accepts_clients else "serves; clients are sent away"

    def drain_on(self) -> str:
        self._send_away_for(Reason.OPERATORS)
        return "clients are sent away"

    def drain_off(self) -> str:
        if self.drain.ending:
            raise Refused("ends")
        if not self.drain.accepts_clients:
            self.drain.remove_reason(Reason.OPERATORS)
            log.info("drain off")
        return "clients are taken"

    def _send_away_for(self, reason: Reason) -> None:
        if reason not in self.drain.reasons:
            self.drain.add_reason(reason, self.clock.now())
            log.info("clients are sent away", why=reason.name)
        self._sending_away.set()

    async def run(self, *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until stop() and everything taken is answered."""
        config = self.config
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self.host.start_flow = self.send
            self.host.close_idle = self._close_idle
            self.host.start_count = self._no_counter
            if config.counter is not None:
                self._count_at(config.counter)
            tasks.start_soon(self._kept_up, self.host.timers.run)
            tasks.start_soon(self._kept_up, self.members.run)
            self.host.start()
            try:
                self.pool.take(config.known, cached=True)
            except ExchangeError as ended:
                log.warning("the known list can't be used", why=ended)
            if (folder := config.folder) is not None:
                self.handover = Handover(folder, config.name, self._told, self._alone)
                self._succeed(await self.handover.ask())
                tasks.start_soon(self._kept_up, self.handover.run)
            tasks.start_soon(self._kept_up, self.pool.watch)
            if config.admin is not None:
                self._open_line(config.admin)
            await self.parts.start(lambda run: tasks.start_soon(self._kept_up, run))
            try:
                address = await tasks.start(self.server.run, config.listen)
            except OSError as wrong:
                raise ConfigError(f"listen: {config.listen}: {wrong.strerror}") from None
            log.info("serves", name=config.name, settings=config.version, address=address)
            task_status.started(address)
            try:
                await self._send_away()
                await self._wind_down()
                await self.parts.stop()
            finally:
                self.operators_line.close()
            tasks.cancel_scope.cancel()

    def _succeed(self, text: bytes | None) -> None:
        """Begin with what a predecessor told, if that can be used."""
        if text is None:
            return
        gateway, names = self.host.gateway, self.pool.names()
        try:
            known = takeover.begin(gateway, text, self.tuning.plans, names, self.clock.now())
        except takeover.Unusable as wrong:
            log.warning("what the predecessor told can't be used: a plain start", why=wrong)
            takeover.divide(gateway)  # it runs beside this one all the same
            return
        log.info("takes over", customers=known)

    def _told(self) -> bytes:
        gateway = self.host.gateway
        takeover.divide(gateway)
        members = {number: name for name, number in self.pool.names().items()}
        return takeover.told(gateway, self.tuning.plan_names, members)

    def _alone(self) -> None:
        if not self.drain.ending:  # an ending process leaves its half to the other
            takeover.reunite(self.host.gateway)

    def _open_line(self, address: Address) -> None:
        try:
            log.info("operators are answered", address=self.operators_line.listen(address))
        except OSError as wrong:
            raise ConfigError(f"admin_addr: {address}: {wrong.strerror}") from None

    def retune(self, told: Config) -> None:
        """A new configuration, checked as a whole: go over to it, and serve on meanwhile. Addresses to listen
        at and limits take effect at the next start."""
        before, self.config = self.config, told
        self.move(told.discovery, told.counter)
        if (told.settings, told.node) == (before.settings, before.node):
            return
        log.info(
            "settings change",
            settings=told.version,
            before=before.version,
            classes=",".join(told.node.classes),
            plans=",".join(told.node.plans),
        )
        self._tell(self.tuning.take(told.settings, told.node, self.clock.now()))
        self.host.timers.after(OVERLAP_US, lambda: self._tell(self.tuning.settle(self.clock.now())))

    def retell(self) -> None:
        """The settings in force told to the module again: what makes them into the interim has changed."""
        self._tell(api.Retuned(self.tuning.settings))

    def _tell(self, retuned: api.Retuned) -> None:
        """By the configuration in force: an overlap may end after another one has come."""
        if self.interim is not None:
            retuned = replace(retuned, settings=self.interim(retuned.settings))
        told, node = self.config, self.config.node
        self.take_in.take(self.tuning, node.max_units)
        self.book.most_units = node.max_units
        self.admit.most_open = min(node.max_open, told.most_clients)
        self.members.retune(node.connect_timeout_us, node.keepalive_us)
        if self.counter is not None:
            self.counter.wait_us = told.settings.counter_timeout_us
        self.host.retune(retuned)

    def move(self, discovery: Address, counter: Address | None) -> None:
        if discovery != self.pool.discovery:
            log.info("discovery moves", before=self.pool.discovery, now=discovery)
            self.pool.move(discovery)
        if self.counter is not None and counter is not None and counter != self.counter.address:
            log.info("the counter moves", before=self.counter.address, now=counter)
            self._count_at(counter)

    def _count_at(self, address: Address) -> None:
        wait_us = self.config.settings.counter_timeout_us
        before, self.counter = (
            self.counter,
            Counter(self.host, address, wait_us, self.config.node.connect_timeout_us),
        )
        self.host.start_count = self.counter.call
        if before is not None:
            before.retire(self.counter)
        self._tasks.start_soon(self._kept_up, self.counter.run)

    async def _kept_up(self, task: Callable[..., Awaitable[None]], *args: object) -> None:
        """Guards the task group: one task's fault must not end the others, nor itself for good."""
        while True:
            try:
                return await task(*args)
            except Exception:
                log.exception("a task failed and starts anew")
            await anyio.sleep(AGAIN_S)

    async def _send_away(self) -> None:
        """Do what the drain says, until it ends with the gatekeeper and nobody new is brought."""
        while True:
            now = self.clock.now()
            for front in self.fronts:
                front.set_closing(self.drain.closes_after_response(now))
                if self.drain.closes_idle(now):
                    front.close_idle()
            if self.drain.stops_accepting(now):
                return
            if self.drain.accepts_clients:
                self._sending_away = anyio.Event()
                await self._sending_away.wait()
            await anyio.sleep(LOOK_S)

    async def _wind_down(self) -> None:
        for front in self.fronts:
            front.stop_accepting()
        if self.handover is not None:
            self.handover.leave()
        while any(front.unanswered_count() for front in self.fronts):
            for front in self.fronts:
                front.close_idle()
            await anyio.sleep(LOOK_S)
        for front in self.fronts:
            front.close_idle()
        with anyio.move_on_after(LAST_READ_S):  # clients are still reading their last answers
            while any(front.connection_count() for front in self.fronts):
                await anyio.sleep(0.02)
        for what, endings in (("client connections", self.server.endings), ("flows", self.book.endings)):
            said = ", ".join(f"{count} {ending.value}" for ending, count in endings.items())
            log.info("endings", of=what, were=said or "none")

    def _begin(self, flow: ServerSideFlow) -> bool:
        return self.host.begin(flow.opened, flow.number, flow.answer, flow)

    def _close_idle(self, backend: int) -> None:
        if member := self.members.get(backend):
            self.members.close_idle(member)

    def _no_counter(self, count: api.Count) -> None:
        self.host.counted(api.CounterAnswered(count.name, api.Outcome.CONNECT_FAILED, 0.0))
