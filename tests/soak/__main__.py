"""Randomized soak of entries on the platform.

Usage:
  soak [--seeds=A-B] [--seconds=S] [--gap=S] [--entries=N] [--engines=N]
       [--ledgers=N] [--callers=N] [--jobs=N] [--keep=DIR]
  soak --help

Each seed is played by a process of its own, so that none inherits what another left.

Options:
  --seeds=A-B    Seeds; one number plays one, in this process [default: 1].
  --jobs=N       Seeds played at the same time [default: 1].
  --seconds=S    Seconds of faults, before recovery is looked at [default: 15].
  --gap=S        Mean seconds between the beginnings of two faults [default: 0.8].
  --entries=N    Entry processes [default: 3].
  --engines=N    Engines [default: 4].
  --ledgers=N    Plain upstreams [default: 3].
  --callers=N    Callers [default: 12].
  --keep=DIR     Where logs of seeds that failed are kept [default: target/soak].
"""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from docopt import docopt

from soak.run import Size, soak

MAX_SHOWN = 20
"""Broken promises of a seed that are printed; the rest is in its folder."""


def run_seed(seed, args):
    """Play one seed here; return 1 if a promise was broken."""
    size = Size(
        float(args["--seconds"]),
        float(args["--gap"]),
        int(args["--entries"]),
        int(args["--engines"]),
        int(args["--ledgers"]),
        int(args["--callers"]),
    )
    run = soak(seed, size, Path(args["--keep"]))
    print("\n  ".join([f"seed {seed}: {run.summary()}", *run.failures[:MAX_SHOWN]]))
    return 1 if run.failures else 0


def run_in_subprocess(seed, args):
    """Play one seed in a process of its own."""
    names = ("seconds", "gap", "entries", "engines", "ledgers", "callers", "keep")
    options = [f"--{name}={args[f'--{name}']}" for name in names]
    command = [sys.executable, "-m", "soak", f"--seeds={seed}", *options]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    print((completed.stdout + completed.stderr).rstrip(), flush=True)
    return completed.returncode


def main(argv=None):
    """Play the seeds; return 1 if a promise was broken."""
    args = docopt(__doc__, argv)
    first, _, last = args["--seeds"].partition("-")
    if not last:
        return run_seed(int(first), args)
    seeds = range(int(first), int(last) + 1)
    with ThreadPoolExecutor(int(args["--jobs"])) as pool:
        codes = list(pool.map(lambda seed: run_in_subprocess(seed, args), seeds))
    failed = [seed for seed, code in zip(seeds, codes, strict=True) if code]
    print(f"{len(seeds)} seeds, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
