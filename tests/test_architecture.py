"""Check the layers: imports only go to lower layers and form no cycle.

Imports for type checking count too.
"""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "ploverhall"
# Lowest first; storage and connectivity are on the level of coordination, maintenance on that of
# scheduling
LAYERS = ["transport", "protocol", "coordination", "scheduling", "autoscaling", "controller"]


def imports() -> dict[str, set[str]]:
    """Return the modules of the package that each module imports, also inside functions."""
    names = {}
    for path in ROOT.rglob("*.py"):
        parts = path.relative_to(ROOT.parent).with_suffix("").parts
        names[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    out: dict[str, set[str]] = {}
    for name, path in names.items():
        found = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                found.update(a.name for a in node.names)
            elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
                found.update(
                    f"{node.module}.{a.name}" if f"{node.module}.{a.name}" in names else node.module
                    for a in node.names
                )
        out[name] = {f for f in found if f in names and f != name}
    return out


def test_no_import_cycle() -> None:
    graph, done = imports(), set[str]()

    def visit(name: str, importers: tuple[str, ...]) -> None:
        assert name not in importers, (
            f"import cycle: {' -> '.join((*importers[importers.index(name) :], name))}"
        )
        if name not in done:
            for imported in graph[name]:
                visit(imported, (*importers, name))
            done.add(name)

    for name in graph:
        visit(name, ())
    assert len(done) > 40


def test_layers_import_only_lower_layers() -> None:
    for name, found in imports().items():
        for imported in found:
            a, b = name.split(".")[1:2], imported.split(".")[1:2]
            if a and b and a[0] in LAYERS and b[0] in LAYERS:
                assert LAYERS.index(b[0]) <= LAYERS.index(a[0]), f"{name} imports {imported}"


def test_only_the_cli_imports_the_controller() -> None:
    """A component that receives the whole controller could not be tested without it."""
    assert [n for n, found in imports().items() if "ploverhall.controller.controller" in found] == [
        "ploverhall.cli"
    ]
