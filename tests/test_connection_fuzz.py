"""A short run of drawn beginnings of connections; by hand: `python -m benchmarks.connection_fuzz`."""

import asyncio
from pathlib import Path

import pytest

from millfront.node import clients
from tests.connection_fuzz import PARALLEL, first_fault
from tests.test_gatekeeper_calls import quick  # noqa: F401


@pytest.mark.parametrize("seed", [1, 2])
def test_no_beginning_of_a_connection_keeps_others_from_being_served(tmp_path: Path, seed: int) -> None:
    """Guards against issue 65, 1, and against CONNECT, which ended its connection without an answer."""
    assert asyncio.run(first_fault(tmp_path, seed, 20 * PARALLEL)) == ""


def test_a_planted_fault_of_the_codec_is_found(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Checks the search: a codec that keeps HEAD in mind, as before issue 65, 1, raises in a time-out."""
    reject_message = clients.ClientConnection.reject_message

    def keeps_head(self: clients.ClientConnection, status: int, why: str) -> None:
        self.codec._is_head_request = True
        reject_message(self, status, why)

    monkeypatch.setattr(clients.ClientConnection, "reject_message", keeps_head)
    assert "LocalProtocolError" in asyncio.run(first_fault(tmp_path, 1, 20 * PARALLEL))
