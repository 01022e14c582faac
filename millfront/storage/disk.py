"""The register's disk: one lmdb environment, synced before anything is acknowledged. Thin I/O.

Layout: key ``format`` holds the format's number; each other key a value: its stamp as JSON, a line's end,
``t`` and the text or ``z`` and the text packed (zlib), in UTF-8. Format 1 had a value as one JSON list, which
is still read. What can't be read is set aside, never deleted, and the replica recovers from the others.

The map: lmdb writes a changed value beside the old one and uses the old one's pages again two syncs later, so
three versions of the longest value must fit (docs/design/catching-up.md).
"""

import json
import zlib
from collections.abc import Iterable
from pathlib import Path

import lmdb

from millfront.register.values import Value
from millfront.storage.lmdb_folder import DiskError, LmdbFolder

FORMAT = 2
COMPRESS_MIN_CHARS = 4096  # characters
MAP_BYTES = 24 * 1024 * 1024
FOLDER = "registry"
EARLIER_ROLE = "office"  # what the role was called: the platform names a role's folder after it


def _folder(state_dir: Path) -> Path:
    """Where the data lies: a role that was renamed and has none yet finds it under its earlier name."""
    folder, earlier = state_dir / FOLDER, state_dir.parent / EARLIER_ROLE / FOLDER
    return earlier if earlier.exists() and not folder.exists() else folder


class Disk:
    """The register's values on the disk of one machine."""

    def __init__(self, state_dir: str) -> None:
        self._lmdb = LmdbFolder(_folder(Path(state_dir)), MAP_BYTES)

    def load(self) -> tuple[dict[str, Value], str]:
        """What is kept, and what was wrong with it (empty: nothing).

        :raises DiskError: nothing can be kept here
        """
        why = ""
        if self._lmdb.folder.exists():
            try:
                return self._read(), ""
            except (lmdb.Error, ValueError, OSError, zlib.error) as error:
                why = f"{error}"
                self._lmdb.set_aside()
        try:
            self._lmdb.open()
        except (lmdb.Error, OSError) as error:
            raise DiskError(str(error)) from None
        return {}, why

    @property
    def folder(self) -> Path:
        """Where the data lies."""
        return self._lmdb.folder

    def close(self) -> None:
        """Close the database; the next load or store opens it again."""
        self._lmdb.close()

    def _read(self) -> dict[str, Value]:
        found = {}
        with self._lmdb.open().begin() as transaction:
            stored = transaction.get(b"format")
            if stored is not None and int(bytes(stored)) > FORMAT:
                raise ValueError(f"format {int(bytes(stored))} is newer than {FORMAT}")
            for key, value in transaction.cursor():
                if bytes(key) != b"format":
                    found[bytes(key).decode()] = _decode(bytes(value))
        return found

    def store(self, values: dict[str, Value], drop: Iterable[str] = ()) -> None:
        """Sync all or nothing; waits for the disk.

        :param drop: keys that are not kept any longer

        :raises DiskError: nothing of it counts
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
            raise DiskError(f"the map of {MAP_BYTES} bytes is full: nothing was changed") from None
        except (lmdb.Error, OSError, ValueError) as error:
            raise DiskError(str(error)) from None


def _encode(value: Value) -> bytes:
    data, mark = value.data.encode(), b"t"
    if len(value.data) >= COMPRESS_MIN_CHARS:
        data, mark = zlib.compress(data, 1), b"z"
    return json.dumps(value.stamp).encode() + b"\n" + mark + data


def _decode(kept: bytes) -> Value:
    """:raises ValueError, zlib.error: it can't be read"""
    head, end, data = kept.partition(b"\n")
    if not end:
        return Value.from_wire(json.loads(kept))  # format 1
    text = zlib.decompress(data[1:]) if data[:1] == b"z" else data[1:]
    return Value.from_wire([*json.loads(head), text.decode()])


def _stamp(kept: bytes) -> tuple[int, str]:
    stored = json.loads(kept.partition(b"\n")[0])
    return stored[0], stored[1]
