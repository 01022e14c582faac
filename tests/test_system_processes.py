"""Three real processes on loopback, as `make run-system` starts them: one is killed and loses its disk, then
another is killed; acknowledged configurations survive and new ones are accepted."""

import importlib
import json
import os
import shutil
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from tests.test_config import ROOT


@pytest.fixture
def system(monkeypatch: pytest.MonkeyPatch) -> Any:
    monkeypatch.syspath_prepend(str(ROOT / "examples"))
    return importlib.import_module("try_system")


def test_what_was_put_outlives_a_kill_a_wiped_disk_and_another_kill(system: Any, tmp_path: Path) -> None:
    servers = {"i-0": (system.serve_in_background(system.toy_server("i-0")), "north")}
    cloud = system.serve_in_background(system.platform(servers))
    plain, ctl, post = system.ports(3)
    files = [system.settings(tmp_path, number, cloud, plain, ctl, post) for number in range(3)]
    running: dict[int, subprocess.Popen[bytes]] = {}

    def start(number: int) -> None:
        environment = os.environ | {"MILLFRONT_CONFIG": str(files[number])}
        command = [sys.executable, "-B", "-m", "millfront", "gatekeeper"]
        running[number] = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL)

    def kill(number: int) -> None:
        running[number].kill()
        running.pop(number).wait(10)

    def at(number: int, path: str) -> str:
        return f"http://127.0.0.{number + 1}:{ctl}{path}"

    def put(number: int, version: int) -> None:
        system.wait_until("a version", "PUT", at(number, "/v1/config"), system.configuration(version))

    try:
        for number in range(3):
            start(number)
        put(1, 1)
        kill(1)
        put(0, 2)
        shutil.rmtree(tmp_path / "south")
        files[1].write_text(files[1].read_text().replace("fresh = true", "fresh = false"))
        start(1)
        ends = time.monotonic() + 10.0
        report: dict[str, Any] = {"replica": {"state": ""}}
        while report["replica"]["state"] != "voting" and time.monotonic() < ends:
            report = json.loads(system.wait_until("a statement", "GET", at(1, "/v1/gatekeeper")))
        assert report["version"] == "00000002" and report["replica"]["held"]["config"] == 2
        kill(0)
        put(1, 3)  # the member whose disk was lost votes again: two of three
        assert json.loads(system.wait_until("a read", "GET", at(2, "/v1/config")))["revision"] == "00000003"
    finally:
        for number in list(running):
            kill(number)
