"""The modules of the package import only from lower layers, and never in a cycle.

Every `import` statement counts: at the top of a module, in a function, or under TYPE_CHECKING.
"""

import ast
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[1]
PACKAGE = "ingress"

# From the lowest layer to the highest; the packages or modules of one layer must not import each other.
LAYERS = [
    ["ingress.errors"],
    ["ingress.decisions"],
    ["ingress.runtime", "ingress.protocols"],
    ["ingress.discovery"],
    ["ingress.upstream"],
    ["ingress.server"],
    ["ingress.process_group"],
    ["ingress.configuration"],
    ["ingress.checkpoint"],
    ["ingress.admin"],
    ["ingress.gateway_runner", "ingress.graceful_shutdown"],
    ["ingress.action_performer"],
    ["ingress.ingress"],
    ["ingress.__main__", "ingress.simulator_adapter"],
    ["ingress.endpoint_registry"],
    ["ingress.observability"],
    ["ingress.emulator"],
    ["ingress.ingressctl"],
]


def module_name(path: Path) -> str:
    """Return the dotted module name of a file of the package."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_names(tree: ast.AST) -> Iterator[str]:
    """Yield the dotted names of all imports; for `from x import y` both `x.y`, which may be a module, and `x`."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"relative import of {node.module}"
            assert node.module is not None
            for alias in node.names:
                yield f"{node.module}.{alias.name}"
                yield node.module


def read_imports() -> dict[str, set[str]]:
    """Return the modules of the package that each of its modules imports; `__init__` modules are left out."""
    paths = {module_name(path): path for path in (ROOT / PACKAGE).rglob("*.py")}
    packages = {name for name, path in paths.items() if path.name == "__init__.py"}
    return {
        name: {found for found in imported_names(ast.parse(path.read_text())) if found in paths} - packages - {name}
        for name, path in paths.items()
        if name not in packages
    }


def layer_entry(module: str) -> tuple[int, str]:
    """Return the number of the module's layer, and the package or module in LAYERS to which it belongs."""
    found = [
        (number, entry)
        for number, layer in enumerate(LAYERS)
        for entry in layer
        if module == entry or module.startswith(f"{entry}.")
    ]
    assert len(found) == 1, f"{module} belongs to {found or 'no layer'}"
    return found[0]


def breaks_layers(importer: str, imported: str) -> bool:
    """Report whether an import goes to a higher layer, or to another package of the same layer."""
    importer_layer, importer_entry = layer_entry(importer)
    imported_layer, imported_entry = layer_entry(imported)
    return importer_entry != imported_entry and imported_layer >= importer_layer


def circular_imports(imports: dict[str, set[str]]) -> set[tuple[str, str]]:
    """Return the imports that belong to a cycle, as pairs of importing and imported module."""

    def reachable(start: str) -> set[str]:
        seen: set[str] = set()
        pending = [start]
        while pending:
            for module in imports[pending.pop()] - seen:
                seen.add(module)
                pending.append(module)
        return seen

    reached = {module: reachable(module) for module in imports}
    return {(module, other) for module, others in imports.items() for other in others if module in reached[other]}


def test_imports_go_to_lower_layers() -> None:
    imports = read_imports()
    upward = {
        (importer, imported)
        for importer, modules in imports.items()
        for imported in modules
        if breaks_layers(importer, imported)
    }
    assert upward == set()


def test_no_module_imports_itself_through_others() -> None:
    assert circular_imports(read_imports()) == set()


def test_the_check_finds_a_cycle_and_an_upward_import() -> None:
    assert circular_imports({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}) == {("a", "b"), ("b", "c"), ("c", "a")}
    assert breaks_layers("ingress.decisions.quota", "ingress.ingress")
    assert breaks_layers("ingress.runtime.clock", "ingress.protocols.resp")
    assert not breaks_layers("ingress.decisions.quota", "ingress.decisions.settings")
    assert not breaks_layers("ingress.server.client_server", "ingress.upstream.connection_pool")
    source = "if TYPE_CHECKING:\n    from ingress.ingress import Ingress\ndef late():\n    import ingress.errors\n"
    assert set(imported_names(ast.parse(source))) == {"ingress.ingress.Ingress", "ingress.ingress", "ingress.errors"}
