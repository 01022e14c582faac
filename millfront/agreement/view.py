"""Whether the fleet acts on one version of a document, learnt through the counter alone. No I/O.

Every gatekeeper adds 1, once in each bucket of `period_us` of the Unix clock, to two names: the bucket's
roll call and the bucket's name for the version it acts on, and in the same calls reads both names of the
bucket before (an addition of 0). The roll call says how many gatekeepers were heard; the version's name,
how many of them act on its version. No gatekeeper names another, no message passes between them: the
counter's names are the registers, their lives the leases (docs/design/agreement.md).

While a gatekeeper can't tell that all are on its version it is *unsure*: it acts by the interim of every
version it took since the last agreement (millfront.agreement.interim), and leaves that only once a bucket
shows every gatekeeper expected on its version, or once it has been unsure for `max_unsure_us`. Leaving is
one way: an agreement once seen is not undone by a late answer about an older bucket.
"""

from dataclasses import dataclass, field
from enum import Enum

MAX_NAME_BYTES = 64  # PROTOCOL: a counter name is 1 to 64 bytes without spaces


class Mode(Enum):
    AGREED = "agreed"  # every gatekeeper expected was heard on this version
    UNSURE = "unsure"  # acts by the interim of `interim_versions`


@dataclass(frozen=True, slots=True)
class BucketCounts:
    """One bucket as the counter told it."""

    bucket: int
    total: int  # gatekeepers heard in it
    same_version: int  # of them on this gatekeeper's version


def bucket_of(unix_us: int, period_us: int) -> int:
    return unix_us // period_us


def counter_names(prefix: str, document: str, bucket: int, version: str) -> tuple[str, str]:
    """The bucket's roll call and its name for the version, within the counter's 64 bytes."""
    roll = f"{prefix}:{document}:{bucket}"
    versioned = f"{roll}:{version}"
    if len(versioned.encode()) > MAX_NAME_BYTES or " " in versioned:
        raise ValueError(f"counter name {versioned!r}: over {MAX_NAME_BYTES} bytes or with a space")
    return roll, versioned


@dataclass(slots=True)
class AgreementView:
    """One gatekeeper's view of one document: its version, and whether all others act on it too.

    :param expected: gatekeepers in the fleet (PeersTotal, or the operators' count)
    :param max_unsure_us: the longest an interim lasts without agreement being seen
    """

    version: str
    since_us: int
    expected: int
    max_unsure_us: int
    mode: Mode = Mode.UNSURE
    interim_versions: tuple[str, ...] = ()  # the versions whose rules all hold while unsure, the newest last
    others_differ: bool = False  # the last bucket heard had gatekeepers on another version
    last_bucket: int = -1  # the newest bucket heard
    timed_out: bool = False
    history: list[tuple[int, Mode, tuple[str, ...]]] = field(default_factory=list)
    _published: dict[int, str] = field(default_factory=dict)  # by bucket, the version added to its name

    def __post_init__(self) -> None:
        if not self.interim_versions:
            self.interim_versions = (self.version,)
            self._record(self.since_us)

    def set_version(self, version: str, now_us: int) -> None:
        """A new version of the document is in force here (a SIGHUP, a file read anew)."""
        if version == self.version:
            return
        current = self.interim_versions if self.mode is Mode.UNSURE else (self.version,)
        self.interim_versions = (*(v for v in current if v != version), version)
        self.version, self.since_us = version, now_us
        self.mode, self.timed_out = Mode.UNSURE, False
        self._record(now_us)

    def version_to_publish(self, bucket: int) -> str:
        """The version to add to the bucket's name, now."""
        self._published[bucket] = self.version
        return self.version

    def record_bucket(self, counts: BucketCounts, now_us: int) -> None:
        """A bucket read whole. Older than one heard before, it says nothing new; one in which this gatekeeper
        was counted under another version says nothing of the present one."""
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
        """Time passes: an interim ends at its longest."""
        if self.mode is Mode.UNSURE and now_us - self.since_us >= self.max_unsure_us:
            self._enter_agreed(now_us, by_time=True)

    @property
    def wants_reload(self) -> bool:
        """Others act on another version: the document in its place may be newer than what is in force."""
        return self.others_differ

    def _enter_agreed(self, now_us: int, by_time: bool) -> None:
        self.mode, self.interim_versions, self.timed_out = Mode.AGREED, (self.version,), by_time
        self._record(now_us)

    def _record(self, now_us: int) -> None:
        self.history.append((now_us, self.mode, self.interim_versions))
        del self.history[:-16]  # what status shows: the last changes, not all
