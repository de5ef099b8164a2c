"""Run a randomized soak test of entries on a simulated platform.

Usage:
  soak [--seeds=A-B] [--seconds=S] [--gap=S] [--entries=N] [--engines=N]
       [--ledgers=N] [--callers=N] [--parts=N] [--jobs=N] [--keep=DIR]
  soak --help

Each seed runs in its own process, so that no seed inherits state of another.

Options:
  --seeds=A-B    Range of seeds; a single number runs in this process [default: 1].
  --jobs=N       Seeds run in parallel [default: 1].
  --seconds=S    Seconds of faults before recovery is checked [default: 15].
  --gap=S        Mean seconds between the starts of two faults [default: 0.8].
  --entries=N    Entry processes [default: 3].
  --engines=N    Engines [default: 4].
  --ledgers=N    Upstreams without models [default: 3].
  --callers=N    Callers [default: 12].
  --parts=N      Prompt parts that crash upstreams [default: 1].
  --keep=DIR     Directory for the logs of failed seeds [default: target/soak].
"""

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from docopt import docopt

from soak.run import Size, soak

MAX_SHOWN = 20
"""Failed checks printed for each seed; its directory has the full list."""


def run_seed(seed, args):
    """Run one seed in this process; return 1 if a check failed."""
    size = Size(
        float(args["--seconds"]),
        float(args["--gap"]),
        int(args["--entries"]),
        int(args["--engines"]),
        int(args["--ledgers"]),
        int(args["--callers"]),
        poison_parts=int(args["--parts"]),
    )
    run = soak(seed, size, Path(args["--keep"]))
    print("\n  ".join([f"seed {seed}: {run.summary()}", *run.failures[:MAX_SHOWN]]))
    return 1 if run.failures else 0


def run_in_subprocess(seed, args):
    """Run one seed in a new process; return its exit code."""
    names = (
        "seconds",
        "gap",
        "entries",
        "engines",
        "ledgers",
        "callers",
        "parts",
        "keep",
    )
    options = [f"--{name}={args[f'--{name}']}" for name in names]
    command = [sys.executable, "-m", "soak", f"--seeds={seed}", *options]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    print((completed.stdout + completed.stderr).rstrip(), flush=True)
    return completed.returncode


def main(argv=None):
    """Run the seeds; return 1 if a check failed."""
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
