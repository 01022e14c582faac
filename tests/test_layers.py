"""The import graph of millfront: imports point down the layers, and packages form no import cycle."""

import ast
import re
from collections.abc import Iterator
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = "millfront"

# Layers of the whole system from the top; a part may import the parts after it, never those before it.
LAYERS = (
    "cli",
    "gatekeeper",
    "dataplane",
    "quotas",
    "discovery",
    "control",
    "operations",
    "storage",
    "register",
    "membership",
    "transport",
    "environment",
    "invariants",
)
# Runs above the layers and dispatches commands.
ENTRY = "__main__"
# The daemon in service, which does not import the whole system.
IN_SERVICE = frozenset(
    {
        "agreement",
        "benchlink",
        "choice",
        "daemon",
        "decisions",
        "http2",
        "interface",
        "logs",
        "node",
        "operators",
        "plans",
        "rehearsal",
        "settings",
        "takeover",
        "usage",
    }
)
# (module, imported part): why the import may point up. Every entry needs a reason.
EXCEPTIONS = {
    ("register/reconfiguration.py", "control"): "names the type of a protocol's field; nothing is called",
    ("register/snapshot.py", "control"): "a snapshot's configuration is checked before it is restored",
}


def typing_only(node: ast.AST) -> bool:
    """Whether the node is `if TYPE_CHECKING:`, whose body never runs."""
    return isinstance(node, ast.If) and isinstance(node.test, ast.Name) and node.test.id == "TYPE_CHECKING"


def imports(node: ast.AST) -> Iterator[str]:
    """Dotted names that are imported at run time, at module level or inside a function."""
    if isinstance(node, ast.Import):
        yield from (alias.name for alias in node.names)
    elif isinstance(node, ast.ImportFrom):
        assert node.level == 0, "a relative import"
        yield from (f"{node.module}.{alias.name}" for alias in node.names)
    children: list[ast.AST] = list(ast.iter_child_nodes(node))
    if typing_only(node):
        assert isinstance(node, ast.If)
        children = list(node.orelse)
    for child in children:
        yield from imports(child)


def part_of(module: Path) -> str:
    """The package, or the top-level module, that a file under millfront belongs to."""
    return module.parts[0].removesuffix(".py")


def dependencies(root: Path) -> set[tuple[str, str]]:
    """Pairs (file below `root`, imported part), without imports within a part.

    :param root: the package's folder, named like the first component of the imports
    """
    known = {part_of(path.relative_to(root)) for path in root.rglob("*.py")}
    found = set()
    for path in sorted(root.rglob("*.py")):
        module = path.relative_to(root)
        for name in imports(ast.parse(path.read_text())):
            head, _, rest = name.partition(".")
            to = rest.split(".")[0]
            if head == PACKAGE and to in known and to != part_of(module):
                found.add((module.as_posix(), to))
    return found


def upward(found: set[tuple[str, str]]) -> set[tuple[str, str]]:
    """The imports that point up: from a layer to an earlier one, or from the daemon in service to a layer."""
    wrong = set()
    for module, to in found:
        source = part_of(Path(module))
        if source == ENTRY:
            continue
        in_service, layer = source in IN_SERVICE, to in LAYERS
        later = not in_service and layer and LAYERS.index(to) < LAYERS.index(source)
        if to == ENTRY or later or (in_service and layer):
            wrong.add((module, to))
    return wrong


def test_every_part_of_the_package_has_a_place() -> None:
    root = ROOT / PACKAGE
    there = {part_of(path.relative_to(root)) for path in root.rglob("*.py")} - {"__init__"}
    assert there == {*LAYERS, *IN_SERVICE, ENTRY}


def test_imports_point_down() -> None:
    assert upward(dependencies(ROOT / PACKAGE)) == set(EXCEPTIONS)


def test_packages_of_the_system_form_no_import_cycle() -> None:
    graph: dict[str, set[str]] = {}
    for module, to in dependencies(ROOT / PACKAGE) - set(EXCEPTIONS):
        if to in LAYERS:
            graph.setdefault(part_of(Path(module)), set()).add(to)
    TopologicalSorter(graph).prepare()  # raises CycleError that names the cycle


def test_an_import_that_points_up_is_seen(tmp_path: Path) -> None:
    """Checks the checker: imports in functions, of packages and of names count; those for types do not."""
    root = tmp_path / PACKAGE
    for part in ("gatekeeper", "register", "node"):
        (root / part).mkdir(parents=True)
        (root / part / "__init__.py").write_text("")
    (root / "register" / "a.py").write_text("def f():\n    from millfront import gatekeeper\n")
    (root / "register" / "b.py").write_text("import millfront.gatekeeper.node\n")
    (root / "register" / "c.py").write_text(
        "if TYPE_CHECKING:\n    from millfront.gatekeeper import node\nelse:\n    import millfront.node\n"
    )
    (root / "gatekeeper" / "d.py").write_text("from millfront.register import a\n")
    (root / "node" / "e.py").write_text("from millfront.register.a import f\n")
    assert upward(dependencies(root)) == {
        ("register/a.py", "gatekeeper"),
        ("register/b.py", "gatekeeper"),
        ("node/e.py", "register"),
    }
    assert ("register/c.py", "node") in dependencies(root)


def test_files_that_the_page_of_the_architecture_names_are_there() -> None:
    page = (ROOT / "docs" / "architecture.md").read_text()
    named = set(re.findall(r"`([a-z_/]+\.(?:py|json|md))`", page))
    assert len(named) > 20
    assert [
        name for name in sorted(named) if not any((ROOT / p / name).exists() for p in ("", PACKAGE))
    ] == []
