"""The layers: imports point down, and nowhere in a circle, those for type checking included."""

from __future__ import annotations

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent / "ploverhall"
# Lower ones first; storage and connectivity lie beside coordination, maintenance beside scheduling
LAYERS = ["transport", "protocol", "coordination", "scheduling", "autoscaling", "controller"]


def imports() -> dict[str, set[str]]:
    """Module -> modules of the package that it imports, wherever the import stands."""
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

    def walk(name: str, above: tuple[str, ...]) -> None:
        assert name not in above, f"a circle: {' -> '.join((*above[above.index(name) :], name))}"
        if name not in done:
            for below in graph[name]:
                walk(below, (*above, name))
            done.add(name)

    for name in graph:
        walk(name, ())
    assert len(done) > 40


def test_layers_point_down() -> None:
    for name, found in imports().items():
        for below in found:
            a, b = name.split(".")[1:2], below.split(".")[1:2]
            if a and b and a[0] in LAYERS and b[0] in LAYERS:
                assert LAYERS.index(b[0]) <= LAYERS.index(a[0]), f"{name} imports {below}"


def test_only_the_root_knows_all_parts() -> None:
    """A part that is handed the whole composition can't be played without it."""
    assert [n for n, found in imports().items() if "ploverhall.controller.controller" in found] == [
        "ploverhall.cli"
    ]
