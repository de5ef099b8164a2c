"""Measure the time until a configuration change is in force on every entry.

Usage:
  measure_config.py [--entries=N] [--changes=N] [--idle=S] [--cut=N]

Options:
  --entries=N  Entry processes [default: 12].
  --changes=N  Changes, half a second apart [default: 20].
  --idle=S     Seconds without changes in which store calls are counted
               [default: 20].
  --cut=N      Disconnect the N entries ranked first as watchers from the store before
               the first change [default: 0].
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

from persimmonhitch.catalog.election import rank_vms
from persimmonhitch.ids import Vm

IN_FORCE_LINE = re.compile(r"ts=(\S+) event=config_in_force version=(\d+)")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def times(log: Path) -> dict[int, float]:
    """Return the time at which each version came into force, from an entry's log."""
    matches = IN_FORCE_LINE.findall(log.read_text())
    return {int(v): datetime.fromisoformat(ts).timestamp() for ts, v in matches}


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def start(fleet: Fleet, names: list[str], cut: int) -> Relay:
    """Start a store and entries, and wait until all are linked."""
    fleet.standin("store", "store")
    fleet.record_urls("port", "store")
    relay = Relay(int(fleet.urls["store"].rpartition(":")[2]))
    fleet.urls["relay"] = f"http://127.0.0.1:{relay.port}"
    relayed = set(rank_vms("r1", [Vm(name) for name in names])[:cut])
    for name in names:
        fleet.entry(name, store="relay" if name in relayed else "store")
    fleet.record_urls("http", *names)
    fleet.apply_lists()
    for name in names:
        log = fleet.processes[name].log
        wait_for(
            lambda log=log: (
                log.read_text().count("event=peer_linked") >= len(names) - 1
            ),
            "links",
        )
        fleet.wait_ready(name, 0)
    return relay


def measure_delays(fleet: Fleet, names: list[str], changes: int) -> list[float]:
    """Return for each change the seconds until it was in force on all entries."""
    committed = {}
    for index in range(changes):
        fleet.issue_key(("fretes", "chapters")[index % 2])
        committed[index + 2] = time.time()
        time.sleep(0.5)
    logs = [fleet.processes[name].log for name in names]
    wait_for(lambda: all(changes + 1 in times(log) for log in logs), "the last change")
    by_entry = [times(log) for log in logs]
    return [max(each[v] for each in by_entry) - at for v, at in committed.items()]


def store_calls(fleet: Fleet) -> dict[str, int]:
    """Return the number of store calls by operation."""
    return fleet.http.request("GET", fleet.urls["store"] + "/calls").json()


def main() -> int:
    """Run the measurement and print the figures."""
    args = docopt(__doc__)
    names = [f"entry-{n}" for n in range(int(args["--entries"]))]
    with Fleet() as fleet:
        relay = start(fleet, names, int(args["--cut"]))
        relay.set_cut(True)
        delays = sorted(measure_delays(fleet, names, int(args["--changes"])))
        print(f"entries {len(names)}, changes {len(delays)}")
        print(f"in force everywhere after: median {statistics.median(delays):.3f} s, ")
        print(f"  worst {delays[-1]:.3f} s (from the answer to the operator)")
        pids = [fleet.processes[name].popen.pid for name in names]
        before, used = store_calls(fleet), [cpu_seconds(pid) for pid in pids]
        idle = float(args["--idle"])
        time.sleep(idle)
        after = store_calls(fleet)
        shares = [(cpu_seconds(p) - u) / idle for p, u in zip(pids, used, strict=True)]
        rates = {call: (after[call] - before.get(call, 0)) / idle for call in after}
        shown = ", ".join(f"{call} {rate:.2f}" for call, rate in rates.items())
        print(f"store calls a second without changes: {shown}")
        print(
            f"CPU of an entry, whole process: mean {statistics.mean(shares):.4f}"
            f", max {max(shares):.4f} of a core"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
