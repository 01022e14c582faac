"""Settings, events and actions of the gateway: plain data, and the hash that all must compute alike.

Times are microseconds of the host's clock, which has no particular origin and never goes back.
Ids are the host's own and are handed back unaltered.
"""

from dataclasses import dataclass
from enum import Enum


class Repeat(Enum):
    """Whether a request may be sent again once it may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The backends among which duplicates of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class BackendState(Enum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """How to read a list of backends."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Outcome(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


class Standing(Enum):
    """What an attempt is charged to: the customer's quota, units leased from a reservation, or neither."""

    INSIDE = "inside"
    RESERVED = "reserved"
    BEYOND = "beyond"


@dataclass(frozen=True, slots=True)
class RequestClass:
    aim_us: int  # target latency
    deadline_us: int
    worth: float  # of an answer within the aim
    late_worth: float  # of a later one
    repeat: Repeat
    group: Group
    window_us: int  # in which a keyed request may be sent again
    stream: bool


@dataclass(frozen=True, slots=True)
class Plan:
    """Quotas hold for each customer over all gateways together; 0 means no such quota."""

    rate: float  # units a second
    burst: float
    open_limit: int  # attempts in flight
    worth_factor: float
    over_worth: float
    over_cost: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


@dataclass(frozen=True, slots=True)
class Allowed:
    probes: bool
    cancel: bool
    second_copies: bool
    retry_after: bool
    max_attempts: int
    max_retry_after_us: int


@dataclass(frozen=True, slots=True)
class Rules:
    drain_grace_us: int
    cold_from: float
    ramp_us: int
    fall_multiple: float
    fall_us: int


@dataclass(frozen=True, slots=True)
class Settings:
    me: int  # this gateway's number, 0 to peers - 1
    peers: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    allowed: Allowed
    rules: Rules
    weights_known: bool
    counter: bool
    counter_timeout_us: int
    most_units: float = 0.0  # of one request; 0: unknown
    handshake_price: float = 0.0  # of a new connection to a backend, as a share of a request's worth


@dataclass(frozen=True, slots=True)
class BackendEntry:
    backend: int
    zone: int
    kind: int
    cell: int
    state: BackendState
    weight: float
    started_us: int


@dataclass(frozen=True, slots=True)
class Started:
    """The gateway starts; sent once, before any other event."""


@dataclass(frozen=True, slots=True)
class BackendList:
    kind: ListKind
    entries: tuple[BackendEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    request: int
    cls: int
    plan: int
    customer: int
    patience_us: int
    units: float
    spread: int
    first: int
    terms: Plan | None = None  # live plans: the plan in force, instead of `plan`
    reserves: bool = False  # a reservation of the customer is in force: Short tells when its plan runs short
    whole: bool = True  # else its body is still arriving and not kept: one attempt, and RequestWhole follows


@dataclass(frozen=True, slots=True)
class RequestWhole:
    """The last byte of the body has arrived: the request's time counts from now."""

    request: int
    patience_us: int


@dataclass(frozen=True, slots=True)
class Retuned:
    """New settings. Known classes and plans keep their positions; new and changed ones are appended."""

    settings: Settings
    plans: tuple[tuple[int, int], ...] = ()  # of changed plans: former position, new position


@dataclass(frozen=True, slots=True)
class RequestGone:
    request: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    request: int
    attempt: int
    backend: int
    outcome: Outcome
    closed: bool
    latency_us: int
    true_units: float


@dataclass(frozen=True, slots=True)
class StreamStarted:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    name: int
    outcome: Outcome
    total: float


@dataclass(frozen=True, slots=True)
class UnitsLeased:
    """Units of a reservation that this gateway may send beyond the customer's plan; negative: withdrawn."""

    customer: int
    units: float


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    backend: int
    outcome: Outcome
    latency_us: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


Event = (
    Started
    | BackendList
    | RequestArrived
    | RequestWhole
    | Retuned
    | RequestGone
    | AttemptEnded
    | StreamStarted
    | CounterAnswered
    | UnitsLeased
    | ProbeEnded
    | PeerMessage
    | TimerFired
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; with timeout_us 0 it runs until the client gives up."""

    request: int
    backend: int
    timeout_us: int
    standing: Standing = Standing.INSIDE


@dataclass(frozen=True, slots=True)
class Refuse:
    request: int
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Count:
    name: int
    amount: float
    ttl_us: int


@dataclass(frozen=True, slots=True)
class Short:
    """A customer with a reservation asks for more than its plan surely admits: units may be leased."""

    customer: int
    units: float
    held: float  # leased units not used yet
    gateways: int


@dataclass(frozen=True, slots=True)
class Probe:
    backend: int


@dataclass(frozen=True, slots=True)
class Watch:
    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class Tell:
    """A message to one peer, or to all (peer None)."""

    peer: int | None
    payload: bytes


@dataclass(frozen=True, slots=True)
class CloseIdle:
    backend: int


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | SetTimer
    | Count
    | Short
    | Probe
    | Watch
    | FetchList
    | Tell
    | CloseIdle
    | Log
)


def stable_hash(*parts: int) -> int:
    """A 64-bit hash (splitmix) of integers, the same at every gateway."""
    state = 0
    for part in parts:
        state = (state ^ part) + 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
        state = (state ^ state >> 30) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        state = (state ^ state >> 27) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
        state ^= state >> 31
    return state
