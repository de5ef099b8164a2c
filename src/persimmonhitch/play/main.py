"""Play the decisions under load and print what callers get.

Usage:
  persimmonhitch-play [PLAY [ARG...]]
  persimmonhitch-play --list

Without PLAY, plays "load": all load patterns for both deployments, our decisions
against the baseline, in one table. "persimmonhitch-play PLAY --help" tells more.

Options:
  --list     Print the names of all plays.
  -h --help  Print this.
"""

import pkgutil
import sys
from importlib import import_module
from typing import Final

from docopt import docopt

from .registry import PLAYS

DEFAULT: Final = "load"
EXIT_UNKNOWN: Final = 2


def _import_plays() -> None:
    """Import all modules of the package, so that the plays register themselves."""
    package = import_module(__package__)
    for module in pkgutil.iter_modules(package.__path__):
        import_module(f"{__package__}.{module.name}")


def main(argv: list[str] | None = None) -> int:
    """Run one play."""
    args = docopt(__doc__, argv, options_first=True)
    _import_plays()
    if args["--list"]:
        print("\n".join(PLAYS.names()))
        return 0
    name = args["PLAY"] or DEFAULT
    play = PLAYS.get(name)
    if play is None:
        known = ", ".join(PLAYS.names())
        print(f"no play named {name!r}; known: {known}", file=sys.stderr)
        return EXIT_UNKNOWN
    return play(args["ARG"])


if __name__ == "__main__":
    sys.exit(main())
