"""Read KNOWN-RED.txt, the list of tests that fail because of an open bug."""

import sys
from pathlib import Path

LIST_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_ENTRIES = 3


def known_red() -> list[str]:
    """Return the entries of the list, without blank lines and comments."""
    if not LIST_FILE.exists():
        return []
    lines = LIST_FILE.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip() and not line.startswith("#")]


def main(args: list[str]) -> int:
    """Print the list, or only the test names with ``--names``."""
    lines = known_red()
    if len(lines) > MAX_ENTRIES:
        print(f"KNOWN-RED.txt has {len(lines)} lines; {MAX_ENTRIES} at most")
        return 1
    for line in lines:
        print(line.split()[0] if "--names" in args else f"known red: {line}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
