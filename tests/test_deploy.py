"""A clean checkout builds with what deploy/system.toml and requirements.txt name, and with nothing else."""

import ast
import re
import sys
import tomllib
from pathlib import Path
from typing import Any

from millfront.gatekeeper.api import METRICS

ROOT = Path(__file__).parent.parent
SYSTEM: dict[str, Any] = tomllib.loads((ROOT / "deploy/system.toml").read_text())
REQUIREMENTS = [
    line
    for line in (ROOT / "requirements.txt").read_text().splitlines()
    if line.strip() and not line.startswith("#")
]
# What comes with a requirement and is imported by itself.
COMES_WITH = {"hyperframe": "h2"}
STANDARD = sys.stdlib_module_names | {"millfront"}


def pinned() -> set[str]:
    return {line.partition("==")[0] for line in REQUIREMENTS}


def imported() -> set[str]:
    """Top-level modules that any file of millfront/ imports, also inside functions."""
    found = set()
    for file in (ROOT / "millfront").rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.Import):
                found |= {alias.name.partition(".")[0] for alias in node.names}
            elif isinstance(node, ast.ImportFrom) and node.level == 0:
                found.add((node.module or "").partition(".")[0])
    return found


def test_the_packages_are_plain_debian_names() -> None:
    packages = SYSTEM["packages"]
    assert isinstance(packages, list) and len(set(packages)) == len(packages)
    assert all(re.fullmatch(r"[a-z0-9][a-z0-9+.-]+", name) for name in packages)
    assert {"python3", "python3-pip"} <= set(packages)  # what the build command runs


def test_every_requirement_is_pinned() -> None:
    assert REQUIREMENTS
    for line in REQUIREMENTS:
        assert re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]*==[0-9][0-9a-z.]*", line), line
    assert len(pinned()) == len(REQUIREMENTS)


def test_every_module_imported_is_a_requirement() -> None:
    outside = imported() - STANDARD
    assert {"anyio", "h11", "lmdb"} <= outside  # the walk sees them
    assert {COMES_WITH.get(name, name) for name in outside} - pinned() == set()


def test_what_the_build_and_the_roles_name_exists() -> None:
    words = re.findall(r"[^\s();|&]+", SYSTEM["build"])
    paths = {word for word in words if "/" in word or word.endswith(".txt")} | {"millfront"}
    assert {"requirements.txt", "target/deps", "target/ready"} <= paths
    for path in paths:
        made, _, name = path.partition("target/deps/")
        if not made and name:  # compiled there: what pip has put there by these requirements
            assert name in pinned(), path
        elif not path.startswith("target/"):  # which the build makes itself
            assert (ROOT / path).exists(), path
    main = ast.parse((ROOT / "millfront/__main__.py").read_text())
    known = {node.value for node in ast.walk(main) if isinstance(node, ast.Constant)}
    assert SYSTEM["roles"]
    for role in SYSTEM["roles"].values():
        port, _, path = role["metrics"].partition("/")
        *python, command, option, told = role["run"].split()
        assert python == ["python3", "-m", "millfront"]
        assert command in known, command
        assert (option, told) == ("--metrics-port", port)
        assert f"/{path}" == METRICS
