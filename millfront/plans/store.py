"""The plan book on the local disk: replaced atomically, one writer at a time, with a history of versions."""

import fcntl
import hashlib
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from millfront.operators.faults import InvalidDocument
from millfront.operators.files import write_atomically
from millfront.plans import book as books
from millfront.plans.book import Book


class Conflict(Exception):
    """The book is not the version that the change was based on."""


def tag(text: bytes) -> str:
    """An entity tag (RFC 9110, 8.8.3) of a book's bytes."""
    return f'"{hashlib.blake2b(text, digest_size=12).hexdigest()}"'


class BookStore:
    """The book's file, named in the operators' file, with a lock file and a history folder beside it."""

    def __init__(self, file: str | os.PathLike[str]) -> None:
        self.file = Path(file)
        self.history = self.file.with_name(self.file.name + ".history")

    def read(self) -> tuple[bytes, str]:
        """The text and its tag, both empty if there is no book yet. Raises OSError."""
        try:
            text = self.file.read_bytes()
        except FileNotFoundError:
            return b"", ""
        return text, tag(text)

    def write(self, text: bytes, version: int, expected: str) -> str:
        """Replaces the book if its tag is still the expected one; returns the new tag.

        A crash leaves either the old book or the new one. The history is written first: a version in the
        history that never came into force does no harm.

        :raises Conflict: the book was changed meanwhile, or the version does not go up
        :raises OSError: the disk is full or not writable; the book is unchanged
        """
        with self._locked():
            current, current_tag = self.read()
            if current_tag != expected:
                raise Conflict("the book has changed meanwhile")
            if current and version <= books.decode(current).version:
                raise Conflict(f"version {version} does not go up")
            self.history.mkdir(exist_ok=True)
            write_atomically(self.history / f"{version:09d}.json", text)
            write_atomically(self.file, text)
        return tag(text)

    def versions(self) -> list[int]:
        """Version numbers in the history, in ascending order."""
        if not self.history.is_dir():
            return []
        return sorted(int(p.stem) for p in self.history.glob("*.json") if p.stem.isdigit())

    def version(self, number: int) -> bytes:
        return (self.history / f"{number:09d}.json").read_bytes()

    def last_good(self) -> Book | None:
        """The newest readable version in the history, used to start when the book's file is damaged."""
        for number in reversed(self.versions()):
            try:
                return books.decode(self.version(number))
            except (OSError, InvalidDocument):
                continue
        return None

    @contextmanager
    def _locked(self) -> Iterator[None]:
        self.file.parent.mkdir(parents=True, exist_ok=True)
        with open(self.file.with_name(self.file.name + ".lock"), "w") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield
