"""Operation keys in one process: the claims of its requests and, on a core machine, the replica's records.
No I/O, no clock.

Messages to other members' replicas use the register's persistent connections; rows to be synced go out
through `OperationsIO`.
"""

from typing import TYPE_CHECKING, Any, Protocol

from millfront.membership.record import Liveness
from millfront.operations.claims import OperationClaims
from millfront.operations.gathering import Gathering
from millfront.operations.messages import (
    CLAIM,
    CLAIM_REPLY,
    FINISH,
    FINISH_ACK,
    GATHER,
    RECORDS,
    WITHDRAW,
    Claim,
    ClaimReply,
    Finish,
    FinishAck,
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
    """The I/O that operation keys need."""

    def persist_operations(self, batch: Batch) -> None:
        """Sync the batch to disk, then call `Operations.synced`."""


class Operations:
    """The operation keys of one process; `Gatekeeper` has one."""

    def __init__(self, gatekeeper: "Gatekeeper", rows: dict[str, str] | None, incarnation: str) -> None:
        """:param rows: the rows on disk; None: this process has no replica
        :param incarnation: the name of this incarnation of the process"""
        self.gatekeeper, self.name = gatekeeper, gatekeeper.name
        self.claims = OperationClaims(self, incarnation, gatekeeper.invariants)
        self.store: OperationStore | None = None
        if rows is not None:
            settings = gatekeeper.settings
            window = settings.bounds.dedupe_window
            self.store = OperationStore(rows, settings.fresh, window, gatekeeper.now)
        self.gathering = Gathering(self.name, gatekeeper.now)
        self._known_epoch = 0  # the core's epoch that the store was given last

    # ---- Peers ---------------------------------------------------------------------------------------

    def core(self) -> Core | None:
        """The core in force."""
        return self.gatekeeper.subscriber.core

    def region_of(self, name: str) -> str | None:
        """The region of a member; None if unknown."""
        record = self.gatekeeper.membership.records.get(name)
        return record.identity["region"] if record is not None and record.identity is not None else None

    def nearest(self) -> list[str]:
        """The members of the core, the nearest first, unreachable ones last."""
        return self.gatekeeper.near_replicas()

    def reachable(self, name: str) -> bool:
        """Whether a member can be expected to answer."""
        record = self.gatekeeper.membership.records.get(name)
        return name == self.name or (record is not None and record.liveness is not Liveness.UNREACHABLE)

    def send(self, name: str, message: Message) -> None:
        """Send to a member's replica, which may be this process's own; the message may be lost."""
        core = self.core()
        if name == self.name:
            self.handle_message(SELF, message)
        elif core is not None and name in core.all_members:
            self.gatekeeper.io.send(core.all_members[name], message)

    # ---- messages ------------------------------------------------------------------------------------

    def handle_message(self, via: Any, message: Message) -> None:
        """Dispatch a message from a connection, or from this process itself (`SELF`)."""
        now, sender = self.gatekeeper.now, message.get("m", self.name)
        match message["t"]:
            case t if t == CLAIM_REPLY:
                self.claims.handle_claim_reply(sender, ClaimReply.from_wire(message))
            case t if t == FINISH_ACK:
                self.claims.handle_finish_ack(sender, FinishAck.from_wire(message))
            case t if t == RECORDS:
                self._handle_records(now, sender, Records.from_wire(message))
            case _ if self.store is not None:
                self._call_store(now, via, message, self.store)

    def _call_store(self, now: float, via: Any, message: Message, store: OperationStore) -> None:
        self._update_core(now, store)
        kind, epoch = message["t"], self._epoch()
        if kind == CLAIM:
            self._reply(store.claim(now, via, Claim.from_wire(message), epoch))
        elif kind == WITHDRAW:
            store.withdraw(Withdraw.from_wire(message))
        elif kind == FINISH:
            store.finish(now, via, Finish.from_wire(message))
        elif kind == GATHER and (records := store.page(Gather.from_wire(message), epoch)) is not None:
            self._reply([Reply(via, records.to_wire())])
        self._flush()

    def _epoch(self) -> int:
        """Epoch of the core that this process's replica votes in; 0 if it does not vote."""
        replica = self.gatekeeper.replica
        if replica is None or not replica.votes or CORE not in replica.values:
            return 0
        return replica.values[CORE].version

    def _update_core(self, now: float, store: OperationStore) -> None:
        """Pass a newer core that this process's replica knows to the store."""
        replica = self.gatekeeper.replica
        value = replica.values.get(CORE) if replica is not None else None
        if value is None or value.version <= self._known_epoch:
            return
        self._known_epoch = value.version
        core = Core.from_value(value)
        store.on_core_change(now, core.epoch, self.name in (core.old_members or core.members))

    def _reply(self, replies: list[Reply]) -> None:
        for reply in replies:
            message = reply.message | {"m": self.name}
            if reply.via is SELF:
                self.handle_message(SELF, message)
            else:
                self.gatekeeper.io.reply(reply.via, message)

    def _handle_records(self, now: float, sender: str, records: Records) -> None:
        next_request = self.gathering.handle_records(now, sender, records)
        if next_request is not None:
            self.send(sender, next_request)

    # ---- the disk and time ---------------------------------------------------------------------------

    def _flush(self) -> None:
        if self.store is not None and (batch := self.store.next_batch()) is not None:
            self.gatekeeper.io.persist_operations(batch)

    def synced(self, batch: Batch, ok: bool) -> None:
        """The disk has synced the batch (`ok`) or has failed to."""
        assert self.store is not None
        if not ok:
            self.gatekeeper.note("operations", "the disk failed to sync: no operation key is granted here")
        if batch.marks_complete and ok:
            self.gatekeeper.note("operations", f"complete, with {len(self.store.operations)} operations")
        self._reply(self.store.synced(batch, ok))
        self._flush()

    def tick(self, now: float) -> None:
        """Run the periodic work; called on each tick of the process."""
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
        if (rows := self.gathering.gathered_rows(core)) is not None:
            store.add_gathered(now, rows, core.epoch)
            return
        for name, message in self.gathering.tick(now, core):
            self.send(name, message)
