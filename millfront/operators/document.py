"""The operators' file: JSON, with the types of this module; `millfront schema operators` prints its schema.

Absent sections are off. Nothing in it affects the platform's own settings.
"""

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from millfront.node.config import ConfigError
from millfront.operators.faults import Fault, InvalidDocument, find_faults

Positive = Annotated[float, msgspec.Meta(gt=0)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Bytes = Annotated[int, msgspec.Meta(ge=65_536)]
PathText = Annotated[str, msgspec.Meta(min_length=1)]


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base of the documents' types: unknown fields are faults."""


class Logs(Strict, frozen=True):
    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Admin(Strict, frozen=True):
    """Where the operators' own tools ask: `unix:/path` or a loopback `HOST:PORT`."""

    listen: PathText

    def __post_init__(self) -> None:
        if self.listen.startswith("unix:"):
            if not self.listen.removeprefix("unix:").startswith("/"):
                raise ValueError("listen: unix: requires an absolute path")
            return
        host, _, port = self.listen.rpartition(":")
        if not (host.startswith("127.") or host in ("[::1]", "localhost")) or not port.isdigit():
            raise ValueError("listen: neither unix:/PATH nor a loopback HOST:PORT")


class Http2(Strict, frozen=True):
    """HTTP/2 without TLS to clients."""

    listen: PathText | None = None  # HOST:PORT of a separate listener
    shared: bool = False  # also on the gatekeeper's own port, detected by the connection preface
    streams: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 100  # limit of open streams per connection
    connections: Annotated[int, msgspec.Meta(ge=1)] = (
        64  # limit on the listener; they use the clients' share of descriptors
    )

    members: bool = False  # also to pool members, with prior knowledge
    member_streams: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 32  # limit of open streams per connection
    member_connections: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 4  # limit per member

    def __post_init__(self) -> None:
        if self.listen is None and not self.shared and not self.members:
            raise ValueError("at least one of listen, shared and members is required")


class Plans(Strict, frozen=True):
    """Live plans from a book on the local disk."""

    file: PathText
    fleet_units_per_s: Positive  # stated capacity of all pool members together
    most_reserved_share: Share = 0.25  # of that capacity: a book that reserves more is rejected
    look_s: Annotated[float, msgspec.Meta(gt=0, le=0.5)] = 0.25  # between checks of the file


class Receiver(Strict, frozen=True):
    """Export over HTTP; docs/export-protocol.md says what the other side has to do."""

    address: PathText  # HOST:PORT
    path: PathText = "/v1"
    timeout_s: Seconds = 10.0
    first_wait_s: Seconds = 0.5  # after a failure; doubles with each further one
    most_wait_s: Seconds = 60.0


class Export(Strict, frozen=True):
    receiver: Receiver | None = None
    spool: PathText | None = None  # a folder, for installations without a receiver

    def __post_init__(self) -> None:
        if (self.receiver is None) == (self.spool is None):
            raise ValueError("exactly one of receiver and spool is required")


class Usage(Strict, frozen=True):
    """A ledger of what was used, for billing."""

    folder: PathText
    period_s: Annotated[int, msgspec.Meta(ge=1, le=86_400)] = 60
    segment_bytes: Bytes = 4 * 1024 * 1024
    segment_s: Seconds = 10.0  # age at which a segment is sealed, and may be exported, at the latest
    fsync: Literal["never", "interval", "always"] = "interval"
    fsync_s: Seconds = 1.0  # with `interval`, what a power failure may lose
    most_bytes: Bytes = 256 * 1024 * 1024  # of the ledger; beyond it usage is only counted, not recorded
    export: Export | None = None

    def __post_init__(self) -> None:
        if self.most_bytes < 2 * self.segment_bytes:
            raise ValueError("most_bytes: must be at least twice segment_bytes")


class Agreement(Strict, frozen=True):
    """Whether all gatekeepers act on one version of the settings, learnt at the counter.

    docs/agreement.md says what each field does."""

    period_s: Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 1.0  # of a bucket; takes 4 counter calls
    most_unsure_s: Annotated[float, msgspec.Meta(gt=0, le=3_600)] = 10.0  # the longest an interim lasts
    expected: Annotated[int, msgspec.Meta(ge=1, le=100_000)] | None = None  # gatekeepers; else PeersTotal
    prefix: Annotated[str, msgspec.Meta(min_length=1, max_length=12, pattern=r"^[A-Za-z0-9_.-]+$")] = "agree"
    # For rehearsals only: shifts this gatekeeper's clock.
    clock_offset_ms: Annotated[float, msgspec.Meta(ge=-60_000, le=60_000)] = 0.0


class Operators(Strict, frozen=True):
    logs: Logs = Logs()
    admin: Admin | None = None
    http2: Http2 | None = None
    plans: Plans | None = None
    usage: Usage | None = None
    agreement: Agreement | None = None


def parse(text: bytes) -> Operators:
    """:raises InvalidDocument: with every fault"""
    try:
        return msgspec.json.decode(text, type=Operators)
    except msgspec.ValidationError:
        found = find_faults(Operators, msgspec.json.decode(text))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        found = [Fault("$", f"is not JSON: {error}")]
    raise InvalidDocument("operators' file", found)


def load(path: str) -> Operators:
    """:raises ConfigError: the file can't be read or is invalid; the text lists every fault"""
    try:
        return parse(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"operators' file: {path}: {error.strerror}") from None
    except InvalidDocument as error:
        raise ConfigError(str(error)) from None
