"""Whether all gatekeepers act on one version of a document, learnt through the counter service alone. No I/O.

Once in each bucket of `period_us` of the Unix clock, every gatekeeper adds 1 to two counter names: the
bucket's roll call, and the bucket's name for the version it acts on. In the same calls it reads both names of
the previous bucket by adding 0. The roll call gives the number of gatekeepers, the version's name how many of
them act on that version. Gatekeepers exchange no messages and need not know each other: the counter's names
are the registers, and their lifetimes the leases (docs/design/agreement.md).

While a gatekeeper cannot tell that all are on its version, it is *unsure*: it acts on interim settings merged
from every version it took since the last agreement (millfront.agreement.interim). It stops doing so only when
a bucket shows all expected gatekeepers on its version, or after `max_unsure_us`. A late answer about an older
bucket does not undo an agreement.
"""

from dataclasses import dataclass, field
from enum import Enum

MAX_NAME_BYTES = 64  # the counter's protocol: a name is 1 to 64 bytes without spaces


class Mode(Enum):
    AGREED = "agreed"  # all expected gatekeepers were counted on this version, or the interim timed out
    UNSURE = "unsure"  # acts on the settings merged from `interim_versions`


@dataclass(frozen=True, slots=True)
class BucketCounts:
    """The counts of one bucket, as read from the counter."""

    bucket: int
    total: int  # gatekeepers counted in it
    same_version: int  # of them on this gatekeeper's version


def bucket_of(unix_us: int, period_us: int) -> int:
    return unix_us // period_us


def counter_names(prefix: str, document: str, bucket: int, version: str) -> tuple[str, str]:
    """Returns the counter names of the bucket's roll call, and of the version in that bucket.

    :raises ValueError: the name is over MAX_NAME_BYTES or has a space"""
    roll = f"{prefix}:{document}:{bucket}"
    versioned = f"{roll}:{version}"
    if len(versioned.encode()) > MAX_NAME_BYTES or " " in versioned:
        raise ValueError(f"counter name {versioned!r}: expected {MAX_NAME_BYTES} bytes or fewer, no spaces")
    return roll, versioned


@dataclass(slots=True)
class AgreementView:
    """One gatekeeper's view of one document: its version, and whether all others act on that version too.

    :param expected: gatekeepers in the fleet (PeersTotal, or what the operators' file says)
    :param max_unsure_us: longest duration of an interim without agreement
    """

    version: str
    since_us: int
    expected: int
    max_unsure_us: int
    mode: Mode = Mode.UNSURE
    interim_versions: tuple[str, ...] = ()  # versions merged while unsure, the newest last
    others_differ: bool = False  # the last counted bucket had gatekeepers on another version
    last_bucket: int = -1  # the newest bucket that was read
    timed_out: bool = False
    history: list[tuple[int, Mode, tuple[str, ...]]] = field(default_factory=list)
    _published: dict[int, str] = field(default_factory=dict)  # by bucket: the version that was counted

    def __post_init__(self) -> None:
        if not self.interim_versions:
            self.interim_versions = (self.version,)
            self._record(self.since_us)

    def set_version(self, version: str, now_us: int) -> None:
        """A new version of the document took effect in this process (after SIGHUP)."""
        if version == self.version:
            return
        current = self.interim_versions if self.mode is Mode.UNSURE else (self.version,)
        self.interim_versions = (*(v for v in current if v != version), version)
        self.version, self.since_us = version, now_us
        self.mode, self.timed_out = Mode.UNSURE, False
        self._record(now_us)

    def version_to_publish(self, bucket: int) -> str:
        """Returns the version to count in the bucket now, and remembers it."""
        self._published[bucket] = self.version
        return self.version

    def record_bucket(self, counts: BucketCounts, now_us: int) -> None:
        """Takes in a bucket's counts. Ignores a bucket not newer than the last, and one in which this
        gatekeeper was counted on another version, since it says nothing about the present one."""
        published = self._published.pop(counts.bucket, None)
        for old in [bucket for bucket in self._published if bucket < counts.bucket]:
            del self._published[old]
        if counts.bucket <= self.last_bucket or published is None:
            return
        self.last_bucket = counts.bucket
        if published != self.version:
            return
        self.others_differ = counts.same_version < counts.total
        if self.mode is Mode.UNSURE and counts.total >= self.expected and counts.same_version == counts.total:
            self._enter_agreed(now_us, by_time=False)

    def tick(self, now_us: int) -> None:
        """Ends an interim that has lasted for max_unsure_us."""
        if self.mode is Mode.UNSURE and now_us - self.since_us >= self.max_unsure_us:
            self._enter_agreed(now_us, by_time=True)

    @property
    def wants_reload(self) -> bool:
        """Others act on another version, so the document on disk may be newer than the one in force."""
        return self.others_differ

    def _enter_agreed(self, now_us: int, by_time: bool) -> None:
        self.mode, self.interim_versions, self.timed_out = Mode.AGREED, (self.version,), by_time
        self._record(now_us)

    def _record(self, now_us: int) -> None:
        self.history.append((now_us, self.mode, self.interim_versions))
        del self.history[:-16]  # keeps the last changes only
