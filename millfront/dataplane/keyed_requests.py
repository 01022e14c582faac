"""Requests with an operation key: the key is claimed before sending, and the answer is stored for repeats.

`millfront.operations.claims` takes the decisions; this module connects them to the proxy's requests and the
event loop.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from millfront.dataplane.client_request import ATTEMPT_ID, ClientRequest
from millfront.node.http import Fields, Message
from millfront.operations.claims import DECISION_TIMEOUT_S, OperationClaims, Outcome, PendingClaim
from millfront.operations.messages import StoredAnswer, operation_id

if TYPE_CHECKING:
    from millfront.dataplane.proxy import Proxy

OPERATION_KEY = b"millfront-operation-key"
KEYED_KIND = "keyed"  # kind of routes whose requests carry a key
WIDEN_AFTER_S = 0.1  # two trips to another region and a disk sync; then all core members are asked
CLAIM_SHARE = 0.22  # of the target time: the longest wait for a majority, within DECISION_TIMEOUT_S
STORE_WAIT_S = 0.15  # longest time an answer waits until the key's owner and successor have stored it
RUNNING_MARGIN_S = 1.0  # time beyond the route's deadline that a claimed request may still be running
RETRY_AFTER_S = 0.3  # for a repeat that comes while the first request is running


class KeyedRequests:
    """The requests with operation keys of one proxy."""

    def __init__(self, proxy: "Proxy", claims: OperationClaims) -> None:
        self.proxy, self.claims = proxy, claims

    # ---- before it is sent ---------------------------------------------------------------------------

    def begin(self, request: ClientRequest, key: bytes) -> None:
        """Claim the request's key. The request is sent when the claim is granted, and answered otherwise."""
        tenant = request.tenant.name if request.tenant is not None else ""
        operation = operation_id(tenant, key.decode("latin-1"))
        running_s = request.route.deadline + RUNNING_MARGIN_S
        pending = self.claims.begin(operation, running_s, partial(self._on_claim_decision, request))
        if pending is not None and not request.finished:
            request.claim = pending
            loop = asyncio.get_running_loop()
            wait = min(CLAIM_SHARE * request.route.target_time, DECISION_TIMEOUT_S)
            loop.call_later(min(WIDEN_AFTER_S, wait / 2), self.claims.widen, pending)
            loop.call_later(wait, self.claims.expire, pending)

    def _on_claim_decision(
        self, request: ClientRequest, outcome: Outcome, answer: StoredAnswer | None
    ) -> None:
        if outcome is Outcome.RUN:
            self._on_claim_granted(request)
            return
        request.claim = None
        if request.finished:
            return
        if outcome is not Outcome.REFUSED:
            self.proxy.refund_quota(request)
        if answer is not None:
            self.proxy.finish(request)
            request.caller.served(_message(answer))
        elif outcome is Outcome.AT_WORK:
            self.proxy.refuse(request, 409, RETRY_AFTER_S)
        elif outcome is Outcome.UNKNOWN:
            self.proxy.refuse(request, 502, 0.0)
        else:
            self.proxy.give_up(request)

    def _on_claim_granted(self, request: ClientRequest) -> None:
        if request.finished:  # its client has disconnected
            self.withdraw(request)
        else:
            self.proxy.dispatch(request)

    # ---- after it was sent ---------------------------------------------------------------------------

    def complete(self, request: ClientRequest, answer: Message, deliver: Callable[[], None]) -> None:
        """A server has run it: store its answer, then deliver it."""
        stored = _stored(answer) if request.claim is not None else None  # most requests have no key
        self._finish(request, stored, deliver)

    def complete_unknown(self, request: ClientRequest) -> None:
        """It was sent, but no answer came, or one too long to store."""
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
        if claim.on_stored is not None:
            asyncio.get_running_loop().call_later(STORE_WAIT_S, self.claims.stop_waiting, claim)

    def withdraw(self, request: ClientRequest) -> None:
        """Release the claim: no server has run the request or will run it."""
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
