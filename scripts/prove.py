"""Run mutation tests: each test must fail without the mechanism that it covers.

Usage:
  prove [POINT ...]

Each mutation of ``tests/mutations*.toml`` disables one mechanism in a copy of the tree
and runs the test that covers it there; the test must fail.
"""

import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 180.0
COPIED_PATHS = ("src", "tests", "scripts", "examples", "pyproject.toml")


def apply_edits(tree: Path, edits: list[dict[str, str]]) -> None:
    """Apply the edits; each pattern must match exactly once."""
    for edit in edits:
        path = tree / "src" / "persimmonhitch" / edit["file"]
        text = path.read_text()
        if text.count(edit["old"]) != 1:
            raise SystemExit(f"{edit['file']}: {edit['old']!r} must match exactly once")
        path.write_text(text.replace(edit["old"], edit["new"]))


def passes(tree: Path, test: str) -> bool:
    """Return whether a test passes in a tree."""
    command = [sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider", test]
    env = {**os.environ, "PYTHONPATH": str(tree / "src"), "UPDATE_GOLDEN": ""}
    completed = subprocess.run(
        command, cwd=tree, env=env, capture_output=True, timeout=TIMEOUT_S, check=False
    )
    return completed.returncode == 0


def run_case(case: dict) -> str:
    """Run one mutation; return its result as a line."""
    with tempfile.TemporaryDirectory() as folder:
        tree = Path(folder)
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, tree / name)
            else:
                shutil.copy(source, tree / name)
        apply_edits(tree, case["edit"])
        passed = passes(tree, case["test"])
    verdict = "STILL PASSES" if passed else "fails"
    return f"{case['point']:>2} {verdict:12} {case['test']} without: {case['without']}"


def main(points: list[str]) -> int:
    """Run all mutations, or those of the given points; return 1 if a test passes."""
    files = sorted((ROOT / "tests").glob("mutations*.toml"))
    cases = [case for f in files for case in tomllib.loads(f.read_text())["case"]]
    lines = []
    for case in cases:
        if not points or str(case["point"]) in points:
            lines.append(run_case(case))
            print(lines[-1], flush=True)
    return 1 if any("STILL PASSES" in line for line in lines) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
