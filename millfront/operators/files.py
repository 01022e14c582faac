"""Files that are there whole or not at all, also over a loss of power."""

import os
from pathlib import Path


def write_atomically(path: Path, data: bytes, mode: int = 0o600) -> None:
    """Written and synced aside, renamed, the folder synced.

    What a crash leaves beside the old file or the new one ends in `.new`.

    :raises OSError: the disk did not take it; the file is as it was
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
    """Make a file or a folder lasting."""
    fd = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
