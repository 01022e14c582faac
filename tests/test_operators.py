"""The operators' file, the command line and the log; and that features that are off cost nothing."""

import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import jsonschema
import pytest

from millfront.operators import document
from millfront.operators.faults import InvalidDocument
from millfront.plans import book as books
from tests.test_config import ROOT, command, good, started

USAGE: dict[str, Any] = {"folder": "/tmp/x"}


@pytest.mark.parametrize(
    ("data", "named"),
    [
        ({"plan": {}}, "$.plan: no such field; did you mean 'plans'?"),
        ({"logs": {"level": "loud"}}, "$.logs.level: Invalid enum value 'loud'"),
        ({"plans": {"file": "a"}}, "$.plans.fleet_units_per_s: is missing"),
        ({"plans": {"file": "", "fleet_units_per_s": 1}}, "$.plans.file: "),
        ({"admin": {"listen": "0.0.0.0:80"}}, "$.admin: listen: neither unix:/PATH nor a loopback"),
        ({"admin": {"listen": "unix:relative"}}, "$.admin: listen: unix: requires an absolute path"),
        (
            {"usage": USAGE | {"most_bytes": 65536}},
            "$.usage: most_bytes: must be at least twice segment_bytes",
        ),
        ({"usage": USAGE | {"export": {}}}, "$.usage.export: exactly one of receiver and spool is required"),
        ({"usage": USAGE | {"export": {"receiver": {}}}}, "$.usage.export.receiver.address: is missing"),
        ([], "$: Expected `object`"),
        ("{", "$: is not JSON"),
    ],
)
def test_a_fault_in_the_operators_file_is_named_by_its_path(data: object, named: str) -> None:
    with pytest.raises(InvalidDocument) as wrong:
        document.parse((data if isinstance(data, str) else json.dumps(data)).encode())
    assert any(str(fault).startswith(named) for fault in wrong.value.faults), wrong.value


def test_the_example_is_valid_and_the_platform_runs_without_it() -> None:
    told = document.parse((ROOT / "deploy" / "operators.json").read_bytes())
    assert told.plans is not None and told.usage is not None and told.admin is not None
    run = (ROOT / "deploy" / "balancer.toml").read_text()
    assert "MILLFRONT_OPERATOR" not in run and "--operator" not in run


@pytest.mark.parametrize("name", ["operators", "plans"])
def test_the_published_schema_is_the_types_and_takes_the_examples(name: str) -> None:
    published = (ROOT / "docs" / "schema" / f"{name}.json").read_text()
    assert published == command("schema", name).stdout
    checker = jsonschema.Draft202012Validator(json.loads(published))
    if name == "operators":
        checker.validate(json.loads((ROOT / "deploy" / "operators.json").read_text()))
        assert not checker.is_valid({"plan": {}})
    else:
        text = (ROOT / "docs" / "live-plans.md").read_text()
        book = next(
            json.loads(block)
            for block in re.findall(r"```json\n(.*?)```", text, re.DOTALL)
            if "version" in block
        )
        checker.validate(book)
        assert books.check(books.decode(json.dumps(book).encode()), (), 225.0) == []


def test_an_invalid_operators_file_ends_the_start_with_every_fault(tmp_path: Path) -> None:
    path = tmp_path / "operators.json"
    path.write_text('{"plan": 1, "logs": {"format": "xml"}}')
    process = started(tmp_path, good(), MILLFRONT_OPERATOR=str(path))
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 2 and "Traceback" not in errors
    assert "$.plan: no such field" in errors and "$.logs.format" in errors


def test_the_log_is_one_json_object_per_line_if_configured(tmp_path: Path) -> None:
    path = tmp_path / "operators.json"
    path.write_text('{"logs": {"format": "json"}}')
    process = started(tmp_path, good(), MILLFRONT_OPERATOR=str(path))
    assert process.stderr is not None
    line = next(json.loads(line) for line in process.stderr if '"serves"' in line)
    assert line["level"] == "info" and line["address"].startswith("127.0.0.1:") and "timestamp" in line
    process.terminate()
    lines = [json.loads(line) for line in process.communicate(timeout=20)[1].splitlines()]
    assert process.returncode == 0 and all("event" in line for line in lines)


def test_what_is_off_is_not_imported() -> None:
    """Guards memory and start time of a 32 MB gatekeeper: a top-level import would load these modules."""
    code = (
        "import sys, millfront.__main__, millfront.daemon, millfront.benchlink\n"
        "off = ('msgspec', 'structlog', 'click', 'zstandard', 'millfront.plans', 'millfront.usage',"
        " 'millfront.operators', 'millfront.cli')\n"
        "sys.exit(' '.join(m for m in sys.modules if m in off) or 0)"
    )
    ended = subprocess.run([sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert ended.returncode == 0, ended.stderr


@pytest.mark.parametrize(
    ("words", "code", "says"),
    [
        (["--version"], 0, "millfront, version"),
        (
            ["check", "examples/config.json", "deploy/operators.json"],
            0,
            "deploy/operators.json: sound (operators)",
        ),
        (["check", "examples/page_server.py"], 2, "is not JSON"),
        (["check", "nowhere.json"], 2, "can't be read"),
        (["schema", "operators"], 0, "json-schema.org/draft/2020-12"),
        (["schema", "plans"], 0, '"reservations"'),
        (["completion", "bash"], 0, "_MILLFRONT_COMPLETE"),
        (["runn"], 2, "No such command 'runn'"),
        (["plans", "show"], 2, "one of --file and --admin is wanted"),
        (["plans", "--admin", "127.0.0.1:1", "show"], 4, "127.0.0.1:1"),
    ],
)
def test_commands_end_with_their_codes(words: list[str], code: int, says: str) -> None:
    ended = command(*words)
    assert ended.returncode == code and says in ended.stdout + ended.stderr
    assert "Traceback" not in ended.stderr and bool(ended.stderr) == (code != 0)


def test_check_names_each_fault_of_each_file_for_programs(tmp_path: Path) -> None:
    bad = tmp_path / "bad.json"
    bad.write_text('{"version": 0, "assignments": [{"customer": "x", "plan": "p"}]}')
    ended = command("check", "--json", str(bad), "examples/config.json")
    told = json.loads(ended.stdout)
    assert ended.returncode == 2 and not told["sound"]
    assert [len(entry["faults"]) for entry in told["files"]] == [2, 0]


def test_plans_are_edited_in_a_file_and_kept(tmp_path: Path) -> None:
    file = str(tmp_path / "book.json")

    def plans(*words: str, code: int = 0) -> Any:
        ended = command("plans", "--file", file, *words, "--json")
        assert ended.returncode == code, ended.stderr
        return json.loads(ended.stdout) if ended.stdout else None

    customer = "00000000b4d65521"
    plans("assign", "b4d65521", "collector", "--by", "ops", "--note", "launch")
    span = ["--from", "2026-12-02T08:00:00+10:00", "--until", "2026-12-02T09:00:00+10:00"]
    plans("reserve", "launch", customer, "--rate", "5", *span)
    plans("reserve", "launch", customer, "--rate", "5", "--units", "5", *span, code=2)
    plans("assign", customer, "casual", *span)  # splits the existing assignment in two
    told = plans("show", "--customer", customer, "--at", "2026-12-02T08:30:00+10:00")
    assert told["plan"] == "casual" and len(told["assignments"]) == 3
    assert plans("show", "--customer", customer, "--at", "2026-12-02T09:00:00+10:00")["plan"] == "collector"
    plans("release", "launch", customer)
    plans("release", "launch", customer, code=1)
    # No time zone: could be hours off
    plans("assign", customer, "x", "--from", "2026-12-02T08:00:00", code=2)
    old = tmp_path / "old.json"
    old.write_bytes((tmp_path / "book.json.history" / "000000001.json").read_bytes())
    assert len(plans("diff", str(old), code=1)["changes"]) == 4
    plans("apply", str(old), code=3)  # versions never go back
    newer = json.loads(old.read_text()) | {"version": 9}
    old.write_text(json.dumps(newer))
    plans("apply", str(old), "--if-match", '"stale"', code=3)
    plans("apply", str(old))
    versions = [entry["version"] for entry in plans("history")["versions"]]
    assert versions == [1, 2, 3, 4, 9]


def test_a_book_over_the_reserved_share_is_refused_by_the_command(tmp_path: Path) -> None:
    operator = tmp_path / "operators.json"
    told = {"file": str(tmp_path / "book.json"), "fleet_units_per_s": 100, "most_reserved_share": 0.1}
    operator.write_text(json.dumps({"plans": told}))
    span = ["--from", "2026-12-02T08:00:00Z", "--until", "2026-12-02T09:00:00Z"]
    words = ["plans", "--operator", str(operator), "reserve", "r", "1", *span]
    refused = command(*words, "--rate", "11")
    assert refused.returncode == 2 and "they come to 11 units a second; 10 is the most" in refused.stderr
    assert command(*words, "--rate", "10").returncode == 0
