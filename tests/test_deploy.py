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
# Modules that are imported directly but installed as a dependency of a requirement.
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
    assert {"python3", "python3-pip"} <= set(packages)  # the build command runs these


def test_every_requirement_is_pinned() -> None:
    assert REQUIREMENTS
    for line in REQUIREMENTS:
        assert re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]*==[0-9][0-9a-z.]*", line), line
    assert len(pinned()) == len(REQUIREMENTS)


def test_every_module_imported_is_a_requirement() -> None:
    outside = imported() - STANDARD
    assert {"anyio", "h11", "lmdb"} <= outside  # guards against an empty walk
    assert {COMES_WITH.get(name, name) for name in outside} - pinned() == set()


def test_what_the_build_and_the_roles_name_exists() -> None:
    words = re.findall(r"[^\s();|&]+", SYSTEM["build"])
    paths = {word for word in words if "/" in word or word.endswith(".txt")} | {"millfront"}
    assert {"requirements.txt", "target/deps", "target/ready"} <= paths
    for path in paths:
        prefix, _, name = path.partition("target/deps/")
        if not prefix and name:  # installed there by pip from the requirements
            assert name in pinned(), path
        elif not path.startswith("target/"):  # made by the build itself
            assert (ROOT / path).exists(), path
    main = ast.parse((ROOT / "millfront/__main__.py").read_text())
    known = {node.value for node in ast.walk(main) if isinstance(node, ast.Constant)}
    assert SYSTEM["roles"]
    for role in SYSTEM["roles"].values():
        port, _, path = role["metrics"].partition("/")
        *python, command, option, value = role["run"].split()
        assert python == ["python3", "-m", "millfront"]
        assert command in known, command
        assert (option, value) == ("--metrics-port", port)
        assert f"/{path}" == METRICS
