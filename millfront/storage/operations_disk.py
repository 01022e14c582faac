"""The database of operation keys: one lmdb environment next to the register's. Thin I/O.

Rows are stored as the text that `millfront.operations.store` produces. An unreadable database is set aside;
the replica then gathers records from the other members, as after the loss of its disk.
"""

from collections.abc import Iterable, Mapping
from pathlib import Path

import lmdb

from millfront.storage.lmdb_folder import DiskError, LmdbFolder

MAP_BYTES = 32 * 1024 * 1024  # the limit on answers, a third more for base64, and room for changed pages
FOLDER = "operations"


class OperationsDisk:
    """The rows of operation keys on one machine's disk."""

    def __init__(self, state_dir: str) -> None:
        self._lmdb = LmdbFolder(Path(state_dir) / FOLDER, MAP_BYTES)

    def load(self) -> tuple[dict[str, str], str]:
        """The rows, and why the stored data was set aside (empty if it was readable)."""
        try:
            with self._lmdb.open().begin() as transaction:
                return {bytes(name).decode(): bytes(row).decode() for name, row in transaction.cursor()}, ""
        except (lmdb.Error, OSError, ValueError) as error:
            if self._lmdb.folder.exists():
                self._lmdb.set_aside()
            return {}, str(error)

    def store(self, rows: Mapping[str, str], drop: Iterable[str]) -> None:
        """Write and sync all changes or none; blocks until the disk has synced.

        :raises DiskError: nothing was changed
        """
        try:
            with self._lmdb.open().begin(write=True) as transaction:
                for name in drop:
                    transaction.delete(name.encode())
                for name, row in rows.items():
                    transaction.put(name.encode(), row.encode())
        except (lmdb.Error, OSError) as error:
            raise DiskError(str(error)) from None

    def close(self) -> None:
        """Close the database."""
        self._lmdb.close()
