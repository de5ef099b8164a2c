"""Randomized soak of entries on the platform.

Usage:
  soak [--seeds=A-B] [--seconds=S] [--gap=S] [--entries=N] [--engines=N]
       [--ledgers=N] [--callers=N] [--keep=DIR]
  soak --help

Options:
  --seeds=A-B    Seeds, played one after the other; one number plays one [default: 1].
  --seconds=S    Seconds of faults, before recovery is looked at [default: 15].
  --gap=S        Mean seconds between the beginnings of two faults [default: 0.8].
  --entries=N    Entry processes [default: 3].
  --engines=N    Engines [default: 4].
  --ledgers=N    Plain upstreams [default: 3].
  --callers=N    Callers [default: 12].
  --keep=DIR     Where logs of seeds that failed are kept [default: target/soak].
"""

import sys
from pathlib import Path

from docopt import docopt

from soak.run import Size, soak


def main(argv=None):
    """Play the seeds; return 1 if a promise was broken."""
    args = docopt(__doc__, argv)
    first, _, last = args["--seeds"].partition("-")
    size = Size(
        float(args["--seconds"]),
        float(args["--gap"]),
        int(args["--entries"]),
        int(args["--engines"]),
        int(args["--ledgers"]),
        int(args["--callers"]),
    )
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        found = soak(seed, size, Path(args["--keep"]))
        print(f"seed {seed}: {found.summary()}", flush=True)
        for line in found.broken[:20]:
            print(f"  {line}", flush=True)
        if found.broken:
            failed.append(seed)
    print(f"{len(failed)} failed: {failed}" if failed else "none failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
