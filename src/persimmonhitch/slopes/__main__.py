"""Run one slope and print its table.

Usage:
  slopes list
  slopes NAME [--sizes=LIST]
  slopes (-h | --help)

Options:
  --sizes=LIST  Sizes separated by commas, in place of the slope's own.
  -h --help     Show this text.
"""

import sys
from datetime import UTC, datetime
from importlib import import_module
from typing import Final

from docopt import docopt

from .base import SLOPES, Reading, render

PLUGINS: Final = (
    "catalog",
    "codec",
    "links",
    "placement",
    "scrape",
    "store",
    "web",
    "working_set",
)
EXIT_UNKNOWN: Final = 2


def main(argv: list[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    args = docopt(__doc__, argv)
    for plugin in PLUGINS:
        import_module(f".{plugin}", __package__)
    if args["list"]:
        print("\n".join(SLOPES.names()))
        return 0
    slope = SLOPES.get(args["NAME"])
    if slope is None:
        print(f"no such slope; known: {', '.join(SLOPES.names())}", file=sys.stderr)
        return EXIT_UNKNOWN
    text = args["--sizes"]
    sizes = tuple(int(part) for part in text.split(",")) if text else slope.sizes
    readings: list[Reading] = []
    for reading in slope.run(sizes):
        readings.append(reading)
        print(reading, file=sys.stderr)
    print(f"{args['NAME']}, {datetime.now(UTC):%Y-%m-%d %H:%M} UTC\n")
    print(render(slope, readings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
