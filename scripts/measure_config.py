"""Measure how long a change takes until it is in force on every entry.

Usage:
  measure_config.py [--entries=N] [--changes=N] [--idle=S] [--cut=N]

Options:
  --entries=N  Entries, each a process of its own [default: 12].
  --changes=N  Changes, half a second apart [default: 20].
  --idle=S     Seconds without changes in which calls are counted [default: 20].
  --cut=N      Cut the N entries that watch first from the store, just before the
               first change [default: 0].
"""

import os
import re
import statistics
import sys
import time
from datetime import datetime
from pathlib import Path

from docopt import docopt
from fleet import Fleet, wait_for
from relay import Relay

from persimmonhitch.catalog.election import ranked
from persimmonhitch.ids import Vm

LINE = re.compile(r"ts=(\S+) event=config_in_force version=(\d+)")
TICKS = os.sysconf("SC_CLK_TCK")


def times(log: Path) -> dict[int, float]:
    """Return when each version came into force, from an entry's log."""
    found = LINE.findall(log.read_text())
    return {int(v): datetime.fromisoformat(ts).timestamp() for ts, v in found}


def processor(pid: int) -> float:
    """Return the seconds of processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def start(fleet: Fleet, names: list[str], cut: int) -> Relay:
    """Start a store and entries, and wait until all are linked."""
    fleet.standin("store", "store")
    fleet.addresses("port", "store")
    relay = Relay(int(fleet.urls["store"].rpartition(":")[2]))
    fleet.urls["relay"] = f"http://127.0.0.1:{relay.port}"
    behind = set(ranked("r1", [Vm(name) for name in names])[:cut])
    for name in names:
        fleet.entry(name, store="relay" if name in behind else "store")
    fleet.addresses("http", *names)
    fleet.apply()
    for name in names:
        log = fleet.processes[name].log
        wait_for(
            lambda log=log: (
                log.read_text().count("event=peer_linked") >= len(names) - 1
            ),
            "links",
        )
        fleet.ready(name, 0)
    return relay


def delays(fleet: Fleet, names: list[str], changes: int) -> list[float]:
    """Return for each change the seconds until the last entry had it."""
    committed = {}
    for turn in range(changes):
        fleet.issue(("fretes", "chapters")[turn % 2])
        committed[turn + 2] = time.time()
        time.sleep(0.5)
    logs = [fleet.processes[name].log for name in names]
    wait_for(lambda: all(changes + 1 in times(log) for log in logs), "the last change")
    seen = [times(log) for log in logs]
    return [max(each[v] for each in seen) - at for v, at in committed.items()]


def calls(fleet: Fleet) -> dict[str, int]:
    """Return how often each call of the store was made."""
    return fleet.http.request("GET", fleet.urls["store"] + "/calls").json()


def main() -> int:
    """Print the figures."""
    args = docopt(__doc__)
    names = [f"entry-{n}" for n in range(int(args["--entries"]))]
    with Fleet() as fleet:
        relay = start(fleet, names, int(args["--cut"]))
        relay.set_cut(True)
        found = sorted(delays(fleet, names, int(args["--changes"])))
        print(f"entries {len(names)}, changes {len(found)}")
        print(f"in force everywhere after: median {statistics.median(found):.3f} s, ")
        print(f"  worst {found[-1]:.3f} s (from the answer to the operator)")
        pids = [fleet.processes[name].popen.pid for name in names]
        before, used = calls(fleet), [processor(pid) for pid in pids]
        idle = float(args["--idle"])
        time.sleep(idle)
        after = calls(fleet)
        share = [(processor(p) - u) / idle for p, u in zip(pids, used, strict=True)]
        rates = {call: (after[call] - before.get(call, 0)) / idle for call in after}
        shown = ", ".join(f"{call} {rate:.2f}" for call, rate in rates.items())
        print(f"store calls a second without changes: {shown}")
        print(
            f"processor of an entry, whole process: mean {statistics.mean(share):.4f}"
            f", most {max(share):.4f} of a core"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
