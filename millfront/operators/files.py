"""Writes files atomically and durably: after a power failure a file is complete or absent."""

import os
from pathlib import Path


def write_atomically(path: Path, data: bytes, mode: int = 0o600) -> None:
    """Writes and syncs a temporary file, renames it to `path`, and syncs the folder.

    A crash leaves the old or the new file, and possibly the temporary one, whose name ends in `.new`.

    :raises OSError: the disk refused the write; the file is unchanged
    """
    temporary = path.with_name(path.name + ".new")
    try:
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, mode)
        with open(fd, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    fsync_path(path.parent)


def fsync_path(path: Path) -> None:
    """Makes a file or a folder durable with fsync."""
    fd = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
