"""Operation keys in one process: the claims of its requests, and on a core machine the replica's records. No
I/O, no clock.

What goes to another member's replica goes over the held connections of the register; what is to be synced
goes out through `OperationsIO`.
"""

from typing import TYPE_CHECKING, Any, Protocol

from millfront.membership.record import Liveness
from millfront.operations.claims import OperationClaims
from millfront.operations.gathering import Gathering
from millfront.operations.messages import (
    CLAIM,
    CLAIMED,
    FINISH,
    FINISHED,
    GATHER,
    RECORDS,
    WITHDRAW,
    Claim,
    Claimed,
    Finish,
    Finished,
    Gather,
    Message,
    Records,
    Withdraw,
)
from millfront.operations.store import NO_EPOCH, Batch, OperationStore, Reply
from millfront.register.recovery import SELF
from millfront.register.values import CORE, Core

if TYPE_CHECKING:
    from millfront.gatekeeper.node import Gatekeeper


class OperationsIO(Protocol):
    """What operations ask of a process's I/O."""

    def persist_operations(self, batch: Batch) -> None:
        """Sync it, then tell `Operations.synced`."""


class Operations:
    """The operation keys of one process; `Gatekeeper` has one."""

    def __init__(self, gatekeeper: "Gatekeeper", kept: dict[str, str] | None, life: str) -> None:
        """:param kept: the rows that the disk has; None: this process has no replica"""
        self.gatekeeper, self.name = gatekeeper, gatekeeper.name
        self.claims = OperationClaims(self, life, gatekeeper.invariants)
        self.store: OperationStore | None = None
        if kept is not None:
            settings = gatekeeper.settings
            window = settings.bounds.dedupe_window
            self.store = OperationStore(kept, settings.fresh, window, gatekeeper.now)
        self.gathering = Gathering(self.name, gatekeeper.now)
        self._known_epoch = 0  # the epoch that the store was told of last

    # ---- Peers ---------------------------------------------------------------------------------------

    def core(self) -> Core | None:
        """The core in force."""
        return self.gatekeeper.subscriber.core

    def region_of(self, name: str) -> str | None:
        """Where a member is; None where that is not known."""
        record = self.gatekeeper.membership.records.get(name)
        return record.identity["region"] if record is not None and record.identity is not None else None

    def nearest(self) -> list[str]:
        """The members of the core, the nearest and soundest first."""
        return self.gatekeeper.near_replicas()

    def reachable(self, name: str) -> bool:
        """Whether a member can be expected to answer."""
        record = self.gatekeeper.membership.records.get(name)
        return name == self.name or (record is not None and record.liveness is not Liveness.UNREACHABLE)

    def send(self, name: str, message: Message) -> None:
        """To the replica of a member, which may be this process's own; it may be lost."""
        core = self.core()
        if name == self.name:
            self.handle_message(SELF, message)
        elif core is not None and name in core.all_members:
            self.gatekeeper.io.send(core.all_members[name], message)

    # ---- messages ------------------------------------------------------------------------------------

    def handle_message(self, via: Any, message: Message) -> None:
        """Something came on a held connection, or from this process itself."""
        now, sender = self.gatekeeper.now, message.get("m", self.name)
        match message["t"]:
            case t if t == CLAIMED:
                self.claims.claimed(sender, Claimed.of(message))
            case t if t == FINISHED:
                self.claims.finished(sender, Finished.of(message))
            case t if t == RECORDS:
                self._handle_records(now, sender, Records.of(message))
            case _ if self.store is not None:
                self._call_store(now, via, message, self.store)

    def _call_store(self, now: float, via: Any, message: Message, store: OperationStore) -> None:
        self._update_core(now, store)
        kind, epoch = message["t"], self._epoch()
        if kind == CLAIM:
            self._reply(store.claim(now, via, Claim.of(message), epoch))
        elif kind == WITHDRAW:
            store.withdraw(Withdraw.of(message))
        elif kind == FINISH:
            store.finish(now, via, Finish.of(message))
        elif kind == GATHER and (records := store.page(Gather.of(message), epoch)) is not None:
            self._reply([Reply(via, records.wire())])
        self._flush()

    def _epoch(self) -> int:
        """Of the core that this process's replica votes in; 0: it does not vote."""
        replica = self.gatekeeper.replica
        if replica is None or not replica.votes or CORE not in replica.values:
            return 0
        return replica.values[CORE].version

    def _update_core(self, now: float, store: OperationStore) -> None:
        """Tell the store of a change of the core that this process's replica knows of."""
        replica = self.gatekeeper.replica
        value = replica.values.get(CORE) if replica is not None else None
        if value is None or value.version <= self._known_epoch:
            return
        self._known_epoch = value.version
        core = Core.from_value(value)
        store.core_is(now, core.epoch, self.name in (core.old_members or core.members))

    def _reply(self, replies: list[Reply]) -> None:
        for reply in replies:
            message = reply.message | {"m": self.name}
            if reply.via is SELF:
                self.handle_message(SELF, message)
            else:
                self.gatekeeper.io.reply(reply.via, message)

    def _handle_records(self, now: float, sender: str, records: Records) -> None:
        asked = self.gathering.take(now, sender, records)
        if asked is not None:
            self.send(sender, asked)

    # ---- the disk and time ---------------------------------------------------------------------------

    def _flush(self) -> None:
        if self.store is not None and (batch := self.store.next_batch()) is not None:
            self.gatekeeper.io.persist_operations(batch)

    def synced(self, batch: Batch, well: bool) -> None:
        """The disk is done with it."""
        assert self.store is not None
        if not well:
            self.gatekeeper.note("operations", "the disk takes nothing: no key is granted here")
        if batch.completes and well:
            self.gatekeeper.note("operations", f"complete, with {len(self.store.operations)} operations")
        self._reply(self.store.synced(batch, well))
        self._flush()

    def tick(self, now: float) -> None:
        """Every beat of the process."""
        store, core = self.store, self.core()
        if store is None:
            return
        self._update_core(now, store)
        member = core is not None and self._epoch() == core.epoch and self.name in core.all_members
        store.tick(now, core.epoch if core is not None and member else NO_EPOCH)
        if core is not None and member and not store.complete:
            self._gather(now, core, store)
        self._flush()

    def _gather(self, now: float, core: Core, store: OperationStore) -> None:
        if (rows := self.gathering.found(core)) is not None:
            store.gathered(now, rows, core.epoch)
            return
        for name, message in self.gathering.beat(now, core):
            self.send(name, message)
