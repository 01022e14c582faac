"""Operation keys in one process: the claims of its requests and, on a core machine, the replica's records.
No I/O, no clock.

Messages to other members' replicas use the register's persistent connections; rows to be synced go out
through `OperationsIO`.
"""

from typing import TYPE_CHECKING, Any, Protocol

from millfront.membership.record import Liveness
from millfront.operations.answer_transfer import AnswerTransfer
from millfront.operations.claims import OperationClaims
from millfront.operations.gathering import Gathering
from millfront.operations.messages import (
    CAUGHT_UP,
    CLAIM,
    CLAIM_REPLY,
    FINISH,
    FINISH_ACK,
    GATHER,
    RECORDS,
    WITHDRAW,
    CaughtUp,
    Claim,
    ClaimReply,
    Finish,
    FinishAck,
    Gather,
    Message,
    Records,
    Withdraw,
)
from millfront.operations.rows import Batch, Reply
from millfront.operations.store import OperationStore
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
        self.transfer = AnswerTransfer(self.name, self.region_of)
        self._known_before: dict[str, int] = {}  # what the members of the core have told: `CaughtUp`

    # ---- Peers ---------------------------------------------------------------------------------------

    def now(self) -> float:
        """The present time in seconds on the monotonic clock."""
        return self.gatekeeper.io.now()

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
            case t if t == CAUGHT_UP:
                known_before = CaughtUp.from_wire(message).known_before
                self._known_before[sender] = max(known_before, self._known_before.get(sender, 0))
                self.gatekeeper.reconfiguration.close_when_caught_up(now)
            case _ if self.store is not None:
                self._call_store(now, via, message, self.store)

    def _call_store(self, now: float, via: Any, message: Message, store: OperationStore) -> None:
        self._update_core(now, store)
        kind, epoch = message["t"], self._epoch()
        if kind == CLAIM:
            self._reply(store.claim(now, via, Claim.from_wire(message), epoch))
        elif kind == WITHDRAW:
            store.withdraw(now, Withdraw.from_wire(message))
        elif kind == FINISH:
            finish = Finish.from_wire(message)
            if store.finish(now, via, finish):
                self.transfer.add(finish.operation)
        elif kind == GATHER and (records := store.page(now, Gather.from_wire(message), epoch)) is not None:
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
        if value is not None and value.version > store.epoch:
            core = Core.from_value(value)
            store.on_core_change(now, core.epoch, bool(core.old_members))
            self.transfer.core_changed(core, store.answered)

    def caught_up_members(self, core: Core) -> set[str]:
        """The members of a joint core's new member set that know every claim granted before it."""
        return {name for name in core.members if self._known_before.get(name, 0) >= core.epoch}

    def _reply(self, replies: list[Reply]) -> None:
        for reply in replies:
            message = reply.message | {"m": self.name}
            if reply.via is SELF:
                self.handle_message(SELF, message)
            else:
                self.gatekeeper.io.reply(reply.via, message)

    def _handle_records(self, now: float, sender: str, records: Records) -> None:
        if self.store is None:
            return
        self.store.add_records(now, records)
        next_request = self.gathering.handle_records(now, sender, records)
        if next_request is not None:
            self.send(sender, next_request)
        elif records.last:
            self.tick(now)
        self._flush()

    # ---- the disk and time ---------------------------------------------------------------------------

    def _flush(self) -> None:
        if self.store is not None and (batch := self.store.next_batch()) is not None:
            self.gatekeeper.io.persist_operations(batch)

    def synced(self, batch: Batch, ok: bool) -> None:
        """The disk has synced the batch (`ok`) or has failed to."""
        assert self.store is not None
        if not ok:
            self.gatekeeper.note("operations", "the disk failed to sync: no operation key is granted here")
        self._reply(self.store.synced(batch, ok))
        if batch.known_before is not None and ok:
            held = f"{len(self.store.operations)} operations"
            self.gatekeeper.note(
                "operations", f"knows every claim granted before core {batch.known_before}: {held}"
            )
            self.tick(self.gatekeeper.now)
        self._flush()

    def tick(self, now: float) -> None:
        """Run the periodic work; called on each tick of the process."""
        store, core = self.store, self.core()
        if store is None:
            return
        self._update_core(now, store)
        store.tick(now)
        if core is not None and self._epoch() == core.epoch:
            self._catch_up(now, core, store)
        self._pass_answers_on(now, store)
        self._flush()

    def _pass_answers_on(self, now: float, store: OperationStore) -> None:
        """Send stored answers to the members that hold them since the core has changed."""
        for answer in self.transfer.take():
            result = store.stored_result(now, answer.operation)
            if result is None:  # past its window
                continue
            for receiver in self.transfer.receivers(answer, result.regions):
                self.send(receiver, result.to_wire())

    def _catch_up(self, now: float, core: Core, store: OperationStore) -> None:
        """Gather the claims that this replica lacks under this core, or tell the members that it has them."""
        stays = self.name in core.members
        if store.knowledge.is_caught_up(core):
            if core.old_members and stays:
                self._announce(core, store.knowledge.known_before)
        elif stays or (self.name in core.old_members and not store.knowledge.intact):
            if (known_before := self.gathering.known_before(core, store.knowledge)) is not None:
                store.mark_known(known_before)
            for name, message in self.gathering.tick(now, core, store.knowledge, self.nearest()):
                self.send(name, message)

    def _announce(self, core: Core, known_before: int) -> None:
        """Tell the core's members, one of which completes the change; again on each tick until then."""
        message = CaughtUp(known_before).to_wire()
        for name in core.all_members:
            self.send(name, message | {"m": self.name})
