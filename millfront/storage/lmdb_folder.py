"""One lmdb environment in its own folder: opened on first use, synced with each write, and set aside if it is
unreadable. Thin I/O."""

import os
from pathlib import Path

import lmdb


class DiskError(Exception):
    """The disk can't be used, or its data can't be read."""


class LmdbFolder:
    """An environment of fixed size; its folder is created and synced when it is first opened."""

    def __init__(self, folder: Path, map_bytes: int) -> None:
        self.folder, self.map_bytes = folder, map_bytes
        self._env: lmdb.Environment | None = None

    def open(self) -> lmdb.Environment:
        """The environment, opened if necessary.

        :raises lmdb.Error, OSError: it can't be opened
        """
        if self._env is None:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._env = lmdb.open(str(self.folder), map_size=self.map_bytes, lock=False, max_readers=4)
            descriptor = os.open(self.folder, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        return self._env

    def close(self) -> None:
        """Close the environment; `open` opens it again."""
        if self._env is not None:
            self._env.close()
            self._env = None

    def set_aside(self) -> None:
        """Rename the folder, so that a new one can be created and no data is deleted."""
        self.close()
        number = 0
        while (aside := self.folder.with_name(f"{self.folder.name}.aside-{number}")).exists():
            number += 1
        os.rename(self.folder, aside)
