"""Requests with an operation key: claimed before they are sent, and their answers kept for repeats.

The decisions are `millfront.operations.claims`; this module ties them to the proxy's requests and the loop.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from millfront.dataplane.client_request import ATTEMPT_ID, ClientRequest
from millfront.node.http import Fields, Message
from millfront.operations.claims import OperationClaims, Outcome, PendingClaim
from millfront.operations.messages import StoredAnswer, operation_id

if TYPE_CHECKING:
    from millfront.dataplane.proxy import Proxy

KEY = b"millfront-operation-key"
KIND = "keyed"  # of routes whose requests carry a key
WIDEN_S = 0.1  # two ways to another region and a sync: then all members of the core are asked
CLAIM_SHARE = 0.22  # of the target time that a request waits for a majority at most
KEPT_S = 0.15  # that an answer waits at most for the owner and the successor of its key
AT_WORK_MARGIN_S = 1.0  # beyond the route's deadline a request that was claimed may be at work
AGAIN_S = 0.3  # after which a client may ask again while the first request is at work


class KeyedRequests:
    """The keyed requests of one proxy."""

    def __init__(self, proxy: "Proxy", claims: OperationClaims) -> None:
        self.proxy, self.claims = proxy, claims

    # ---- before it is sent ---------------------------------------------------------------------------

    def begin(self, request: ClientRequest, key: bytes) -> None:
        """Claim the request's key; it is sent once that is granted, or answered."""
        tenant = request.tenant.name if request.tenant is not None else ""
        operation = operation_id(tenant, key.decode("latin-1"))
        at_work_s = request.route.deadline + AT_WORK_MARGIN_S
        pending = self.claims.begin(operation, at_work_s, partial(self._decided, request))
        if pending is not None and not request.finished:
            request.claim = pending
            loop, wait = asyncio.get_running_loop(), CLAIM_SHARE * request.route.target_time
            loop.call_later(min(WIDEN_S, wait / 2), self.claims.widen, pending)
            loop.call_later(wait, self.claims.expire, pending)

    def _decided(self, request: ClientRequest, outcome: Outcome, answer: StoredAnswer | None) -> None:
        if outcome is Outcome.RUN:
            self._granted(request)
            return
        request.claim = None
        if request.finished:
            return
        if outcome is not Outcome.REFUSED:
            self.proxy.not_counted(request)
        if answer is not None:
            self.proxy.finish(request)
            request.caller.served(_message(answer))
        elif outcome is Outcome.AT_WORK:
            self.proxy.refuse(request, 409, AGAIN_S)
        elif outcome is Outcome.UNKNOWN:
            self.proxy.refuse(request, 502, 0.0)
        else:
            self.proxy.give_up(request)

    def _granted(self, request: ClientRequest) -> None:
        if request.finished:  # its client left meanwhile
            self.withdraw(request)
        else:
            self.proxy.go(request)

    # ---- after it was sent ---------------------------------------------------------------------------

    def answered(self, request: ClientRequest, answer: Message, deliver: Callable[[], None]) -> None:
        """A server has run it: its answer is kept, then delivered."""
        stored = _stored(answer) if request.claim is not None else None  # most requests have no key
        self._finish(request, stored, deliver)

    def unknown(self, request: ClientRequest) -> None:
        """It was sent, and no answer came, or a longer one than is kept."""
        self._finish(request, None, lambda: None)

    def _finish(
        self, request: ClientRequest, answer: StoredAnswer | None, deliver: Callable[[], None]
    ) -> None:
        claim, request.claim = request.claim, None
        if claim is None:
            deliver()
            return
        homes, _ = self.proxy.homes(request)
        self.claims.finish(claim, answer, homes, deliver)
        if claim.kept is not None:
            asyncio.get_running_loop().call_later(KEPT_S, self.claims.let_go, claim)

    def withdraw(self, request: ClientRequest) -> None:
        """It was not run by any server, and will not be."""
        claim: PendingClaim | None = request.claim
        request.claim = None
        if claim is not None:
            self.claims.withdraw(claim)


def _stored(answer: Message) -> StoredAnswer:
    assert isinstance(answer.start, int)
    pairs = zip(answer.fields, answer.raw_fields, strict=True)
    kept = [raw for (name, _), raw in pairs if name != ATTEMPT_ID]
    fields = tuple((name.decode("latin-1"), value.decode("latin-1")) for name, value in kept)
    return StoredAnswer(answer.start, fields, answer.body)


def _message(answer: StoredAnswer) -> Message:
    raw: Fields = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in answer.fields]
    return Message(answer.status, [(name.lower(), value) for name, value in raw], raw, answer.body)
