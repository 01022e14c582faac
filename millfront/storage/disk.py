"""The register's database: one lmdb environment, synced before anything is acknowledged. Thin I/O.

Layout: key ``format`` holds the format number. Every other key holds a value: its stamp as JSON, a newline,
and ``t`` with the text or ``z`` with the text compressed by zlib, in UTF-8. Format 1 stored a value as one
JSON list, which is still read. An unreadable database is set aside, never deleted, and the replica recovers
from the other members.

Map size: lmdb writes a changed value next to the old one and reuses the old pages two syncs later, so three
versions of the longest value must fit (docs/design/catching-up.md).
"""

import json
import zlib
from collections.abc import Iterable
from pathlib import Path

import lmdb

from millfront.register.values import Value
from millfront.storage.lmdb_folder import DiskError, LmdbFolder

FORMAT = 2
COMPRESS_MIN_CHARS = 4096
MAP_BYTES = 24 * 1024 * 1024
FOLDER = "registry"
EARLIER_ROLE = "office"  # former name of the role, after which the platform names the role's folder


def _folder(state_dir: Path) -> Path:
    """The database folder; until it exists, one under the role's former name is used if there is one."""
    folder, earlier = state_dir / FOLDER, state_dir.parent / EARLIER_ROLE / FOLDER
    return earlier if earlier.exists() and not folder.exists() else folder


class Disk:
    """The register's values on one machine's disk."""

    def __init__(self, state_dir: str) -> None:
        self._lmdb = LmdbFolder(_folder(Path(state_dir)), MAP_BYTES)

    def load(self) -> tuple[dict[str, Value], str]:
        """Read all values.

        :returns: the values, and why the stored data was set aside (empty if it was readable)
        :raises DiskError: no database can be opened here
        """
        problem = ""
        if self._lmdb.folder.exists():
            try:
                return self._read(), ""
            except (lmdb.Error, ValueError, OSError, zlib.error) as error:
                problem = f"{error}"
                self._lmdb.set_aside()
        try:
            self._lmdb.open()
        except (lmdb.Error, OSError) as error:
            raise DiskError(str(error)) from None
        return {}, problem

    @property
    def folder(self) -> Path:
        """The folder of the database."""
        return self._lmdb.folder

    def close(self) -> None:
        """Close the database; the next load or store opens it again."""
        self._lmdb.close()

    def _read(self) -> dict[str, Value]:
        values = {}
        with self._lmdb.open().begin() as transaction:
            stored = transaction.get(b"format")
            if stored is not None and int(bytes(stored)) > FORMAT:
                raise ValueError(f"expected register format {FORMAT} or older, got {int(bytes(stored))}")
            for key, value in transaction.cursor():
                if bytes(key) != b"format":
                    values[bytes(key).decode()] = _decode(bytes(value))
        return values

    def store(self, values: dict[str, Value], drop: Iterable[str] = ()) -> None:
        """Write and sync all changes or none; blocks until the disk has synced.

        :param drop: keys to delete
        :raises DiskError: nothing was changed
        """
        try:
            with self._lmdb.open().begin(write=True) as transaction:
                transaction.put(b"format", b"%d" % FORMAT)
                for key, value in values.items():
                    held = transaction.get(key.encode())
                    if held is None or _stamp(bytes(held)) < (value.version, value.tie):
                        transaction.put(key.encode(), _encode(value))
                for key in drop:
                    transaction.delete(key.encode())
        except lmdb.MapFullError:
            raise DiskError(f"the register's map of {MAP_BYTES} bytes is full: nothing was changed") from None
        except (lmdb.Error, OSError, ValueError) as error:
            raise DiskError(str(error)) from None


def _encode(value: Value) -> bytes:
    data, mark = value.data.encode(), b"t"
    if len(value.data) >= COMPRESS_MIN_CHARS:
        data, mark = zlib.compress(data, 1), b"z"
    return json.dumps(value.stamp).encode() + b"\n" + mark + data


def _decode(stored: bytes) -> Value:
    """:raises ValueError, zlib.error: the stored bytes can't be decoded"""
    head, end, data = stored.partition(b"\n")
    if not end:
        return Value.from_wire(json.loads(stored))  # format 1
    text = zlib.decompress(data[1:]) if data[:1] == b"z" else data[1:]
    return Value.from_wire([*json.loads(head), text.decode()])


def _stamp(stored: bytes) -> tuple[int, str]:
    stamp = json.loads(stored.partition(b"\n")[0])
    return stamp[0], stamp[1]
