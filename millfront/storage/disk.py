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
PACKED_FROM = 4096  # characters
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
        self._files = LmdbFolder(_folder(Path(state_dir)), MAP_BYTES)

    def load(self) -> tuple[dict[str, Value], str]:
        """What is kept, and what was wrong with it (empty: nothing).

        :raises DiskError: nothing can be kept here
        """
        why = ""
        if self._files.folder.exists():
            try:
                return self._read(), ""
            except (lmdb.Error, ValueError, OSError, zlib.error) as wrong:
                why = f"{wrong}"
                self._files.set_aside()
        try:
            self._files.open()
        except (lmdb.Error, OSError) as wrong:
            raise DiskError(str(wrong)) from None
        return {}, why

    @property
    def folder(self) -> Path:
        """Where the data lies."""
        return self._files.folder

    def close(self) -> None:
        """Close the database; the next load or store opens it again."""
        self._files.close()

    def _read(self) -> dict[str, Value]:
        found = {}
        with self._files.open().begin() as reading:
            told = reading.get(b"format")
            if told is not None and int(bytes(told)) > FORMAT:
                raise ValueError(f"format {int(bytes(told))} is newer than {FORMAT}")
            for key, value in reading.cursor():
                if bytes(key) != b"format":
                    found[bytes(key).decode()] = _value(bytes(value))
        return found

    def store(self, values: dict[str, Value], drop: Iterable[str] = ()) -> None:
        """Sync all or nothing; waits for the disk.

        :param drop: keys that are not kept any longer

        :raises DiskError: nothing of it counts
        """
        try:
            with self._files.open().begin(write=True) as writing:
                writing.put(b"format", b"%d" % FORMAT)
                for key, value in values.items():
                    held = writing.get(key.encode())
                    if held is None or _stamp(bytes(held)) < (value.version, value.tie):
                        writing.put(key.encode(), _packed(value))
                for key in drop:
                    writing.delete(key.encode())
        except lmdb.MapFullError:
            raise DiskError(f"the map of {MAP_BYTES} bytes is full: nothing was changed") from None
        except (lmdb.Error, OSError, ValueError) as wrong:
            raise DiskError(str(wrong)) from None


def _packed(value: Value) -> bytes:
    data, mark = value.data.encode(), b"t"
    if len(value.data) >= PACKED_FROM:
        data, mark = zlib.compress(data, 1), b"z"
    return json.dumps(value.stamp).encode() + b"\n" + mark + data


def _value(kept: bytes) -> Value:
    """:raises ValueError, zlib.error: it can't be read"""
    head, end, data = kept.partition(b"\n")
    if not end:
        return Value.from_wire(json.loads(kept))  # format 1
    text = zlib.decompress(data[1:]) if data[:1] == b"z" else data[1:]
    return Value.from_wire([*json.loads(head), text.decode()])


def _stamp(kept: bytes) -> tuple[int, str]:
    told = json.loads(kept.partition(b"\n")[0])
    return told[0], told[1]
