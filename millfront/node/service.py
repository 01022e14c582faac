"""A node put together: the peers round the host, and its planned end."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup, TaskStatus

from millfront import interface as api
from millfront.logs import Log
from millfront.node.clients import VirtualServer
from millfront.node.config import Address, Config, ConfigError
from millfront.node.counter import Counter
from millfront.node.endings import Ended
from millfront.node.host import Clock, Host
from millfront.node.members import Members
from millfront.node.parts import Parts
from millfront.node.pool import Pool
from millfront.node.stages.admit import Admit
from millfront.node.stages.book import Book
from millfront.node.stages.route import Route
from millfront.node.stages.send import Send
from millfront.node.stages.take_in import TakeIn

log = Log(__name__)

# After SIGTERM: the front brings new connections for up to 0.4 s, and keeps the ones it has until told.
ACCEPT_S = 0.42
LAST_READ_S = 0.5
AGAIN_S = 0.1  # before a task that failed is started anew
CLOSE_AT_REST_S = 0.1  # later: answers have said Connection: close meanwhile


class Node:
    def __init__(self, config: Config) -> None:
        self.config = config
        settings, node = config.settings, config.node
        self.clock = Clock()
        self.host = Host(settings, config.seed, self.clock)
        self.members = Members(self.clock, node.connect_timeout_us, node.keepalive_us, config.most_flows)
        self.pool = Pool(self.host, self.members, node, config.discovery)
        self.counter: Counter | None = None
        self.book = Book(self.host, node.most_units)
        self.send = Send(self.clock, self.members, Route(self.members), self.book)
        admit = Admit(self.host, min(node.max_open, config.most_clients))
        self.take_in = TakeIn(settings, node)
        self.server = VirtualServer(
            self.clock, self.host, self.take_in, admit, self.ready, config.most_clients
        )
        self.fronts = [self.server]  # and what is switched on beside it
        self.parts = Parts()
        self._tasks: TaskGroup
        self._stop = anyio.Event()

    def ready(self) -> bool:
        """Able to serve: a pool member is known, and no end is planned."""
        return self.members.any_ready() and not self._stop.is_set()

    def stop(self) -> None:
        self._stop.set()

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
            except Ended as ended:
                log.warning("the known list can't be used", why=ended)
            tasks.start_soon(self._kept_up, self.pool.watch)
            await self.parts.start(lambda run: tasks.start_soon(self._kept_up, run))
            try:
                address = await tasks.start(self.server.run, config.listen)
            except OSError as wrong:
                raise ConfigError(f"listen: {config.listen}: {wrong.strerror}") from None
            log.info("serves", name=config.name, address=address)
            task_status.started(address)
            await self._stop.wait()
            await self._wind_down()
            await self.parts.stop()
            tasks.cancel_scope.cancel()

    def move(self, discovery: Address, counter: Address | None) -> None:
        """A new configuration names these: go over to them, and serve on meanwhile."""
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

    async def _wind_down(self) -> None:
        await anyio.sleep(ACCEPT_S)
        for front in self.fronts:
            front.drain()
            front.stop_accepting()
        await anyio.sleep(CLOSE_AT_REST_S)
        while any(front.unanswered() for front in self.fronts):
            for front in self.fronts:
                front.close_at_rest()
            await anyio.sleep(0.02)
        for front in self.fronts:
            front.close_at_rest()
        with anyio.move_on_after(LAST_READ_S):  # clients are still reading their last answers
            while any(front.connected() for front in self.fronts):
                await anyio.sleep(0.02)
        for what, endings in (("client connections", self.server.endings), ("flows", self.book.endings)):
            said = ", ".join(f"{count} {ending.value}" for ending, count in endings.items())
            log.info("endings", of=what, were=said or "none")

    def _close_idle(self, backend: int) -> None:
        if member := self.members.get(backend):
            self.members.close_idle(member)

    def _no_counter(self, count: api.Count) -> None:
        self.host.counted(api.CounterAnswered(count.name, api.Outcome.CONNECT_FAILED, 0.0))
