"""Steps that check the imports and the texts of the source files."""

import ast
import pathlib

from behave import then

ROOT = pathlib.Path(__file__).parents[2]
SOURCES = ROOT / "src" / "_coltsfootroad"
PACKAGE = "_coltsfootroad"
# Joined at run time, so that this file does not contain the headers.
HEADERS = [
    "-".join(words)
    for words in (
        ("X", "Attempt", "Id"),
        ("X", "Response", "Signature"),
        ("X", "Deadline", "Milliseconds"),
        ("X", "Expected", "Instance"),
        ("X", "Not", "Executed"),
        ("X", "Prompt", "Prefix"),
        ("X", "Request", "Urgency"),
    )
]


def module_name(path: pathlib.Path) -> str:
    """Return the dotted name of a source file."""
    parts = path.relative_to(SOURCES.parent).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def imports() -> dict[str, set[str]]:
    """Return the modules of the package that each module imports."""
    paths = {module_name(path): path for path in SOURCES.rglob("*.py")}
    found = {}
    for name, path in paths.items():
        found[name] = set()
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                wanted = {f"{node.module}.{a.name}" for a in node.names}
                found[name] |= wanted & paths.keys()
    return found


@then("the modules of the package have no import cycle")
def no_import_cycles(context):
    del context
    graph = imports()
    done: set[str] = set()

    def visit(name: str, path: tuple[str, ...]) -> None:
        assert name not in path, " -> ".join((*path, name))
        if name in done:
            return
        for other in sorted(graph[name]):
            visit(other, (*path, name))
        done.add(name)

    for name in graph:
        visit(name, ())


@then("no module of {layer} imports one of {others}")
def layers(context, layer, others):
    del context
    forbidden = tuple(f"{PACKAGE}.{other}." for other in others.split())
    violations = [
        f"{name} imports {other}"
        for name, found in imports().items()
        if name.startswith(f"{PACKAGE}.{layer}.")
        for other in found
        if other.startswith(forbidden)
    ]
    assert not violations, violations


@then("no source file outside the platform folder contains its headers")
def check_headers(context):
    del context
    folders = ("src", "features", "examples", "benchmarks")
    violations = [
        f"{path.relative_to(ROOT)} contains {header}"
        for folder in folders
        for path in (ROOT / folder).rglob("*.py")
        if "platform_steps" not in path.name
        for header in HEADERS
        if header in path.read_text()
    ]
    assert not violations, violations
