"""The run command: errors name the invalid field, a valid configuration serves until SIGTERM."""

import json
import logging
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from millfront.logs import RateLimitFilter
from millfront.node.config import from_json
from tests.peers import configuration, row, settings

ROOT = Path(__file__).parent.parent


def command(*words: str, given: str = "") -> subprocess.CompletedProcess[str]:
    """Runs the command line to completion."""
    line = [sys.executable, "-B", "-m", "millfront", *words]
    return subprocess.run(line, cwd=ROOT, capture_output=True, text=True, input=given, timeout=60)


def started(tmp_path: Path, data: object, **environment: str) -> subprocess.Popen[str]:
    path = tmp_path / "config.json"
    path.write_text(data if isinstance(data, str) else json.dumps(data))
    given = os.environ | {"NODE_CONFIG": str(path)} | environment
    command = [sys.executable, "-B", "-m", "millfront"]
    return subprocess.Popen(command, cwd=ROOT, env=given, stderr=subprocess.PIPE, text=True)


def good() -> dict[str, Any]:
    return configuration([row("s-0", "127.0.0.1:1")], "127.0.0.1:1", settings())


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"listen": "nowhere"}, "listen: 'nowhere'"),
        ({"discovery": None}, "discovery: None"),
        ({"seed": "x"}, "seed: 'x'"),
        ({"limits": {"sockets": 3}}, "limits.sockets: 3"),
        ({"settings": settings() | {"Rules": {}}}, "settings: settings lack DrainGraceUs"),
        ({"settings": settings(MaxOpen="many")}, "settings: MaxOpen: 'many' is not a number"),
        ({"settings": settings(MostTries=0)}, "settings: allowed.max_attempts"),
        ({"settings": settings(MostTries="4")}, "settings: MostTries: '4' is not a number"),
        (
            {"settings": settings() | {"FamilyInfo": {"CountWaitUs": 1, "SharedCounter": True}}},
            "counter: is missing",
        ),
        ("{", "NODE_CONFIG"),
        ("[]", "NODE_CONFIG"),
    ],
)
def test_a_bad_field_is_named(tmp_path: Path, change: dict[str, Any] | str, named: str) -> None:
    process = started(tmp_path, change if isinstance(change, str) else good() | change)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 2
    assert named in errors and "Traceback" not in errors


def test_an_address_in_use_is_named(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listen = f"127.0.0.1:{taken.getsockname()[1]}"
        process = started(tmp_path, good() | {"listen": listen})
        _, errors = process.communicate(timeout=20)
    assert process.returncode == 2
    assert f"listen: {listen}" in errors and "Traceback" not in errors


def test_a_kind_of_warning_is_logged_once_a_second() -> None:
    def passes(text: str, level: int, at: float) -> bool:
        record = logging.LogRecord("node", level, "", 0, text, ("detail",), None)
        record.created = at
        return seldom.filter(record)

    seldom = RateLimitFilter()
    seen = [passes("cut: %s", logging.WARNING, at) for at in (10.0, 10.5, 10.9, 11.0, 11.5)]
    assert seen == [True, False, False, True, False]
    assert passes("other: %s", logging.WARNING, 11.5) and passes("cut: %s", logging.INFO, 11.5)


def test_no_configuration_is_named(tmp_path: Path) -> None:
    process = started(tmp_path, {}, NODE_CONFIG="")
    assert "NODE_CONFIG: is not set" in process.communicate(timeout=20)[1]
    assert process.returncode == 2


def test_sighup_follows_the_file_over_the_environment_and_an_unusable_file_changes_nothing(
    tmp_path: Path,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as old, socket.create_server(("127.0.0.1", 0)) as new:
        addresses = [f"127.0.0.1:{server.getsockname()[1]}" for server in (old, new)]
        process = started(tmp_path, good(), NODE_DISCOVERY=addresses[0])
        assert process.stderr is not None
        old.settimeout(10)
        new.settimeout(10)
        watch = old.accept()[0]
        next(line for line in process.stderr if "serves " in line)
        (tmp_path / "config.json").write_text(json.dumps(good() | {"discovery": "nowhere"}))
        process.send_signal(signal.SIGHUP)
        assert "discovery: 'nowhere'" in next(line for line in process.stderr if "SIGHUP" in line)
        assert process.poll() is None
        (tmp_path / "config.json").write_text(json.dumps(good() | {"discovery": addresses[1]}))
        process.send_signal(signal.SIGHUP)
        with new.accept()[0] as asked:
            assert asked.recv(100).startswith(b"GET /v1/servers HTTP/1.1")
        assert watch.recv(100).startswith(b"GET /v1/servers?watch=1") and watch.recv(100) == b""
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=20) == 0
        process.stderr.close()


def test_the_run_command_serves_and_ends_on_sigterm(tmp_path: Path) -> None:
    process = started(tmp_path, good(), NODE_NAME="n7")
    assert process.stderr is not None
    line = next(line for line in process.stderr if "serves " in line)
    assert "serves name=n7 " in line
    host, _, port = line.split("address=")[1].rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as client:
        client.sendall(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        assert client.recv(100).startswith(b"HTTP/1.1 200 OK")
        process.send_signal(signal.SIGTERM)
        assert client.recv(100) == b""
    assert process.communicate(timeout=20)[1].count("Traceback") == 0
    assert process.returncode == 0


def test_a_version_names_the_rules_not_the_gatekeeper_nor_the_layout() -> None:
    """Gatekeepers with one document must report one version, and different documents different versions."""
    from millfront.node.config import version_of

    document = settings()
    same = {key: document[key] for key in reversed(list(document))}
    assert version_of(document) == version_of(same)
    other = document | {"Allowed": document["Allowed"] | {"MostTries": 2}}
    assert version_of(document) != version_of(other)
    data = configuration([], "127.0.0.1:1", document)
    mine, yours = from_json(data), from_json(data | {"settings": document | {"Me": 1, "MyZone": 0}})
    assert mine.version == yours.version
    assert mine.version != from_json(data | {"settings": other}).version
