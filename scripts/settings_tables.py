"""Generate the tables of settings and metrics in docs/OPERATIONS.md.

Usage: settings_tables.py [--check]

With ``--check`` nothing is written; the exit code is 1 if the page differs.
"""

import re
import sys
import tomllib
from collections.abc import Callable
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path

from persimmonhitch.observe.metrics import INSTRUMENTS
from persimmonhitch.settings import table

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "OPERATIONS.md"
BLOCK = re.compile(r"(<!-- table (\S+) -->\n).*?(<!-- end -->)", re.S)


def programs() -> tuple[str, ...]:
    """Return the programs that read a settings file."""
    text = (ROOT / "pyproject.toml").read_text(encoding="utf-8")
    scripts = tomllib.loads(text)["project"]["scripts"]
    packages = (target.split(".")[1] for target in scripts.values())
    module_name = "persimmonhitch.{}.settings".format
    return tuple(name for name in packages if find_spec(module_name(name)) is not None)


def settings_table(program: str) -> str:
    """Return the table of settings of one program."""
    module = import_module(f"persimmonhitch.{program}.settings")
    return table(getattr(module, f"{program.capitalize()}Settings"))


def metrics_table() -> str:
    """Return the table of all metrics."""
    rows = ["| metric | labels | meaning |", "| --- | --- | --- |"]
    for spec in INSTRUMENTS:
        name = spec.name.replace(".", "_") + ("_seconds" if spec.unit == "s" else "")
        rows.append(f"| `{name}` | {', '.join(spec.labels) or '-'} | {spec.help} |")
    return "\n".join(rows)


def table_renderers() -> dict[str, Callable[[], str]]:
    """Return the function that renders each table, by table name."""
    renderers: dict[str, Callable[[], str]] = {"metrics": metrics_table}
    for program in programs():
        renderers[program] = lambda program=program: settings_table(program)
    return renderers


def regenerate(page: str) -> str:
    """Return the page with every table regenerated."""
    renderers = table_renderers()
    return BLOCK.sub(lambda m: f"{m[1]}{renderers[m[2]]()}\n{m[3]}", page)


def main(args: list[str]) -> int:
    """Write the page, or with ``--check`` return 1 if it is out of date."""
    old = PAGE.read_text(encoding="utf-8")
    new = regenerate(old)
    if "--check" in args:
        return 0 if old == new else 1
    PAGE.write_text(new, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
