"""One client's request on its way through the data plane: what is known of it, and its state until its one
answer. No I/O."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from millfront.control.configuration import Route, Tenant
from millfront.dataplane.load_balancer import ServerState
from millfront.dataplane.retries import RequestProgress
from millfront.node.http import Message
from millfront.node.stages.send import ServerSideFlow
from millfront.operations.claims import PendingClaim

ATTEMPT_ID = b"millfront-attempt-id"  # the client's; an answer bears that of its own request


def promise(answer: Message | None) -> bool:
    """Whether to the client this says that it has not run and never will, which a server says by
    Millfront-Not-Executed alone."""
    return answer is not None and answer.start in (408, 429, 503)


@dataclass(frozen=True, slots=True)
class Arrival:
    """What the flows of the present program ask of a request."""

    message: Message
    timeout_us: int


@dataclass(frozen=True, slots=True)
class Sending:
    """The chosen server for one try, and its time limit in microseconds."""

    backend: str
    timeout_us: int = 0


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One client's request, open until its one answer."""

    arrival: Arrival
    attempt: bytes
    route: Route
    service: str
    host: str
    path: str
    key: str
    tenant: Tenant | None
    came_us: int
    progress: RequestProgress
    caller: Any = None
    finished: bool = False
    body_received: bool = True
    streams: int = -1
    counted: bool = False
    flows: dict[int, ServerSideFlow] = field(default_factory=dict)
    seen: dict[int, ServerState] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None
    answer: Message | None = None  # a server's own error, to be relayed if nothing better comes
    revoked: bool = False
    operation_key: bytes = b""
    claim: PendingClaim | None = None  # of its operation key, from the claim until the end

    @property
    def deadline_us(self) -> int:
        """When the client's time limit ends, in microseconds on the proxy's clock."""
        return self.came_us + self.arrival.timeout_us
