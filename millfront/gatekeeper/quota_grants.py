"""Tenants' quotas in one gatekeeper: it grants tokens as a member of the core, and obtains tokens for its
own requests. No I/O, no clock; docs/design/admission.md.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from millfront.control.configuration import Tenant
from millfront.membership.gossip import weight
from millfront.membership.record import Liveness
from millfront.quotas.allowance import token_lifetime_s
from millfront.quotas.granter import Grant, Granter
from millfront.quotas.messages import (
    REPLY,
    REQUEST,
    Message,
    MessageError,
    TokenReply,
    TokenRequest,
)
from millfront.quotas.requester import Decision, DecisionCallback, GranterInfo, TokenRequester
from millfront.quotas.share import ShareOfAllowance, StoredShare
from millfront.register.recovery import SELF
from millfront.register.replica import PersistRequest, ReplicaState
from millfront.register.values import FIRST_AGREED_EPOCH, LOCAL_PREFIX

if TYPE_CHECKING:
    from millfront.gatekeeper.node import Gatekeeper

STORED_SHARE_KEY = LOCAL_PREFIX + "quota-share"  # of the share in force, among the replica's local values
KINDS = frozenset((REQUEST, REPLY))
FIRST_REQUEST_ID_BITS = 32


class QuotaGrants:
    """Grants tokens to other processes, and obtains tokens for this process's requests."""

    def __init__(self, gatekeeper: "Gatekeeper", now: float) -> None:
        self.gatekeeper = gatekeeper
        replica = gatekeeper.replica
        stored = StoredShare.from_value(replica.values.get(STORED_SHARE_KEY)) if replica is not None else None
        self._first_start = replica is not None and replica.state is ReplicaState.NEW
        self.share = ShareOfAllowance(gatekeeper.name, gatekeeper.subscriber.lease_s, stored)
        bounds = gatekeeper.settings.bounds
        self.granter = Granter(bounds, now, gatekeeper.invariants)
        first_request_id = gatekeeper.random.getrandbits(FIRST_REQUEST_ID_BITS)
        self.requester = TokenRequester(self, gatekeeper.name, token_lifetime_s(bounds), first_request_id)
        self._granters: list[GranterInfo] = []
        # By requester and request id, of this gossip tick and of the one before
        self._replies: dict[tuple[str, int], TokenReply] = {}
        self._earlier_replies: dict[tuple[str, int], TokenReply] = {}
        self._unsaved = False

    # ---- updates -------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Called on each tick of the gatekeeper."""
        self.update_share(now)
        self._granters = self._granters_by_distance()

    def gossip_tick(self, now: float) -> None:
        """Called on each gossip tick of the gatekeeper."""
        self.granter.tick(now)
        self.requester.tick(now)
        self._earlier_replies, self._replies = self._replies, {}

    def update_share(self, now: float) -> None:
        """Adapt the share to the core in force here; persist a changed share once the replica votes."""
        subscriber = self.gatekeeper.subscriber
        if self.share.update(now, subscriber.core, subscriber.confirmed_by_majority()):
            self._unsaved = True
        replica, core = self.gatekeeper.replica, subscriber.core
        full = self._first_start and core is not None and core.epoch == FIRST_AGREED_EPOCH
        self.granter.set_share(now, self.share.in_force(), full)
        if self._unsaved and replica is not None and replica.votes:
            self._unsaved = False
            stored = self.share.stored().to_value()
            self.gatekeeper.io.persist(
                PersistRequest({STORED_SHARE_KEY: stored}, (SELF, {"t": "stored", "r": ""}))
            )

    def core_changed(self, now: float) -> None:
        """Called when another core is in force here."""
        self.update_share(now)
        self._granters = self._granters_by_distance()

    def _granters_by_distance(self) -> list[GranterInfo]:
        """The members of the core, the nearest first, without unreachable ones. Each process orders equally
        near ones differently, so that they share the work."""
        gatekeeper = self.gatekeeper
        records, core = gatekeeper.membership.records, gatekeeper.subscriber.core
        if core is None:
            return []
        names = [
            name
            for name in core.all_members
            if name == gatekeeper.name
            or name not in records
            or records[name].liveness is not Liveness.UNREACHABLE
        ]
        names.sort(key=lambda name: (gatekeeper.distance(name), weight(gatekeeper.name, name)))
        return [GranterInfo(name, gatekeeper.distance(name).other_region) for name in names]

    # ---- RequesterContext -------------------------------------------------------------------------------

    def granters(self) -> list[GranterInfo]:
        """The reachable granters, the nearest first."""
        return self._granters

    def grant_locally(self, tenant: str, tokens: float) -> Grant | None:
        """Grant from this process's own share; None without a lease, a share or a limit of that tenant."""
        now = self.now_s()
        if now >= self.gatekeeper.subscriber.lease_until():
            return None
        return self.granter.grant(now, tenant, tokens)

    def send_request(self, name: str, request: TokenRequest) -> None:
        """Send a token request to a member of the core; it may be lost."""
        core = self.gatekeeper.subscriber.core
        if core is not None and name in core.all_members:
            self.gatekeeper.io.send_datagram(core.all_members[name], request.to_wire())

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Call `callback` after that many seconds."""
        self.gatekeeper.io.call_later(seconds, callback)

    def now_s(self) -> float:
        """Seconds on the process's monotonic clock."""
        return self.gatekeeper.io.now()

    # ---- requests and messages -------------------------------------------------------------------------

    def request(
        self, now: float, tenant: Tenant, max_wait_s: float, prefetch: int, callback: DecisionCallback
    ) -> Decision | None:
        """Obtain a token for a request; see `TokenRequester.request`."""
        return self.requester.request(now, tenant.name, max_wait_s, prefetch, callback)

    def is_scarce(self, now: float, tenant: Tenant) -> bool:
        """Whether a granter recently had no token of the tenant left."""
        return self.requester.is_scarce(now, tenant.name)

    def handle_message(self, back: str, message: Message) -> None:
        """Handle a token request or reply from the process at `back`; malformed messages are dropped."""
        try:
            if message["t"] == REQUEST:
                self._handle_request(back, TokenRequest.from_wire(message))
            else:
                self.requester.handle_reply(self.now_s(), TokenReply.from_wire(message))
        except MessageError as error:
            self.gatekeeper.note("quotas", f"malformed message from {back}: {error}")

    def _handle_request(self, back: str, request: TokenRequest) -> None:
        """Answer a request; one repeated after a lost or late reply gets the same reply."""
        key = (back, request.request_id)
        reply = self._replies.get(key) or self._earlier_replies.get(key)
        if reply is None:
            reply = self._replies[key] = self._reply(request)
        self.gatekeeper.io.send_datagram(back, reply.to_wire())

    def _reply(self, request: TokenRequest) -> TokenReply:
        grant = self.grant_locally(request.tenant, request.tokens)
        if grant is None:
            return TokenReply(request.request_id, 0.0, 0.0, available=False)
        return TokenReply(request.request_id, grant.tokens, grant.retry_after_s)
