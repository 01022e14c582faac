"""The operators' file: JSON, typed here, its schema made from these types (`millfront schema operators`).

All of it is off where it is absent. Nothing in it reaches the platform's own settings.
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
    """A part of a document of ours: an unknown field is a fault."""


class Logs(Strict, frozen=True):
    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Admin(Strict, frozen=True):
    """Where the operators' own tools ask: `unix:/path` or a loopback `HOST:PORT`."""

    listen: PathText

    def __post_init__(self) -> None:
        if self.listen.startswith("unix:"):
            if not self.listen.removeprefix("unix:").startswith("/"):
                raise ValueError("listen: unix: wants an absolute path")
            return
        host, _, port = self.listen.rpartition(":")
        if not (host.startswith("127.") or host in ("[::1]", "localhost")) or not port.isdigit():
            raise ValueError("listen: neither unix:/PATH nor a loopback HOST:PORT")


class Http2(Strict, frozen=True):
    """HTTP/2 without TLS to clients."""

    listen: PathText | None = None  # HOST:PORT of a listener of its own
    shared: bool = False  # also on the gatekeeper's own port, told by the preface
    streams: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 100  # open at once on a connection
    connections: Annotated[int, msgspec.Meta(ge=1)] = (
        64  # on the listener; taken from the clients' descriptors
    )

    members: bool = False  # pool members are asked over it, with prior knowledge
    member_streams: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 32  # open at once on a connection
    member_connections: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 4  # to a member

    def __post_init__(self) -> None:
        if self.listen is None and not self.shared and not self.members:
            raise ValueError("one of listen, shared and members is wanted")


class Plans(Strict, frozen=True):
    """Live plans from a book on the local disk."""

    file: PathText
    fleet_units_per_s: Positive  # what the operators say all pool members together can do
    most_reserved_share: Share = 0.25  # of it: a book that reserves more is refused
    look_s: Annotated[float, msgspec.Meta(gt=0, le=0.5)] = 0.25  # between two looks at the file


class Receiver(Strict, frozen=True):
    """Export over HTTP; docs/export-protocol.md says what the other side has to do."""

    address: PathText  # HOST:PORT
    path: PathText = "/v1"
    timeout_s: Seconds = 10.0
    first_wait_s: Seconds = 0.5  # after a failure; doubles
    most_wait_s: Seconds = 60.0


class Export(Strict, frozen=True):
    receiver: Receiver | None = None
    spool: PathText | None = None  # a folder, for installations without a receiver

    def __post_init__(self) -> None:
        if (self.receiver is None) == (self.spool is None):
            raise ValueError("one of receiver and spool is wanted")


class Usage(Strict, frozen=True):
    """A ledger of what was used, for billing."""

    folder: PathText
    period_s: Annotated[int, msgspec.Meta(ge=1, le=86_400)] = 60
    segment_bytes: Bytes = 4 * 1024 * 1024
    segment_s: Seconds = 10.0  # a segment is sealed, and may be exported, at this age at the latest
    fsync: Literal["never", "interval", "always"] = "interval"
    fsync_s: Seconds = 1.0  # what a loss of power may take with `interval`
    most_bytes: Bytes = 256 * 1024 * 1024  # of the ledger; beyond it nothing more is recorded, and counted
    export: Export | None = None

    def __post_init__(self) -> None:
        if self.most_bytes < 2 * self.segment_bytes:
            raise ValueError("most_bytes: holds no two segments")


class Agreement(Strict, frozen=True):
    """Whether all gatekeepers act on one version of the settings, learnt at the counter.

    docs/agreement.md says what each field does."""

    period_s: Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 1.0  # of a bucket: 4 counter calls each
    most_unsure_s: Annotated[float, msgspec.Meta(gt=0, le=3_600)] = 10.0  # the longest an interim lasts
    expected: Annotated[int, msgspec.Meta(ge=1, le=100_000)] | None = None  # gatekeepers; else PeersTotal
    prefix: Annotated[str, msgspec.Meta(min_length=1, max_length=12, pattern=r"^[A-Za-z0-9_.-]+$")] = "agree"
    # Rehearsals alone: this gatekeeper's clock set off by so much.
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
    """:raises ConfigError: a file that can't be read or used; the text names every fault"""
    try:
        return parse(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"operators' file: {path}: {error.strerror}") from None
    except InvalidDocument as error:
        raise ConfigError(str(error)) from None
