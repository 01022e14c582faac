"""A client's request in the data plane: its properties, and its state until it is answered once. No I/O."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from millfront.control.configuration import Route, Tenant
from millfront.dataplane.load_balancer import ServerState
from millfront.dataplane.retries import RequestProgress
from millfront.node.http import Message
from millfront.node.stages.send import ServerSideFlow
from millfront.operations.claims import PendingClaim

ATTEMPT_ID = b"millfront-attempt-id"  # chosen by the client; an answer carries the id of its request


def promises_not_run(answer: Message | None) -> bool:
    """Whether the client takes this answer as a promise that its request has not run and never will. Servers
    express that by Millfront-Not-Executed alone."""
    return answer is not None and answer.start in (408, 429, 503)


@dataclass(frozen=True, slots=True)
class Arrival:
    """The part of a request that server-side flows (`millfront.node`) read."""

    message: Message
    timeout_us: int


@dataclass(frozen=True, slots=True)
class AttemptTarget:
    """The server chosen for one attempt, and the attempt's time limit in microseconds (0: the client's)."""

    backend: str
    timeout_us: int = 0


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request, open until it is answered."""

    arrival: Arrival
    attempt_id: bytes
    route: Route
    service: str
    host: str
    path: str
    key: str
    tenant: Tenant | None
    arrived_us: int
    progress: RequestProgress
    caller: Any = None
    finished: bool = False
    body_received: bool = True
    streaming_flow: int = -1
    quota_counted: bool = False
    flows: dict[int, ServerSideFlow] = field(default_factory=dict)
    server_states: dict[int, ServerState] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None
    fallback_answer: Message | None = None  # a server's error, relayed if no attempt succeeds
    revoked: bool = False
    operation_key: bytes = b""
    claim: PendingClaim | None = None  # on its operation key, from the claim until the request ends

    @property
    def deadline_us(self) -> int:
        """End of the client's time limit, in microseconds on the proxy's clock."""
        return self.arrived_us + self.arrival.timeout_us
