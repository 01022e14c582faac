"""The disk of operation keys: one lmdb environment beside the register's. Thin I/O.

A row is kept as the text that `millfront.operations.store` makes of it. What can't be read is set aside; the
replica then gathers from the others, as after the loss of the disk.
"""

from collections.abc import Iterable, Mapping
from pathlib import Path

import lmdb

from millfront.storage.lmdb_folder import DiskError, LmdbFolder

MAP_BYTES = 32 * 1024 * 1024  # the answers' bound, a third more in base64, and room for changed pages
FOLDER = "operations"


class OperationsDisk:
    """The rows of operation keys on the disk of one machine."""

    def __init__(self, state_dir: str) -> None:
        self._lmdb = LmdbFolder(Path(state_dir) / FOLDER, MAP_BYTES)

    def load(self) -> tuple[dict[str, str], str]:
        """The rows, and what was wrong with them (empty: nothing)."""
        try:
            with self._lmdb.open().begin() as transaction:
                return {bytes(name).decode(): bytes(row).decode() for name, row in transaction.cursor()}, ""
        except (lmdb.Error, OSError, ValueError) as error:
            if self._lmdb.folder.exists():
                self._lmdb.set_aside()
            return {}, str(error)

    def store(self, rows: Mapping[str, str], drop: Iterable[str]) -> None:
        """Sync all or nothing; waits for the disk.

        :raises DiskError: nothing of it counts
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
        """Close the files."""
        self._lmdb.close()
