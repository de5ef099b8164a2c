"""One soak from its seed to its verdict."""

import random
import shutil
import threading
import time
from dataclasses import dataclass

from soak.callers import Balancer, Caller
from soak.checks import Evidence, check_all
from soak.entries import Entry
from soak.limits import Needs
from soak.plan import RESTART_AFTER, Plan
from soak.platform import ZONES, Platform
from soak.poison import Crashes, PoisonCaller
from soak.records import Records
from soak.restores import Restores
from soak.upstreams import POISON, seeded

CALM = 2.0
"""Seconds of calls before the first fault."""
RECOVERY = 12.0
"""Seconds after the last fault within which calls are served again."""
LOOK, SERVED_PART = 1.5, 0.8
"""Seconds of calls that are looked at for it, and the part of them to be served."""
START = 20.0
MEMORY_MOST = 300.0


@dataclass(frozen=True)
class Size:
    """How much is played."""

    seconds: float = 15.0
    gap: float = 0.8
    entries: int = 3
    engines: int = 4
    ledgers: int = 3
    callers: int = 12
    poison: int = 2
    """Calls that crash each upstream that runs them."""


@dataclass(frozen=True)
class Found:
    """The outcome of one soak."""

    broken: list[str]
    calls: int
    served: int
    faults: int
    recovered_in: float | None
    most_memory: float

    def summary(self):
        """Return one line."""
        return (
            f"{len(self.broken)} broken, {self.served} of {self.calls} calls served, "
            f"{self.faults} faults, recovered in {self.recovered_in} s, "
            f"{self.most_memory:.0f} MB at most"
        )


class Soak:
    """All parts of one run."""

    def __init__(self, seed, size, folder):
        self.size = size
        self.folder = folder
        self.rng = random.Random(seed)
        self.records = Records()
        self.faults = []
        self.stopped = threading.Event()
        self.supervised = threading.Event()
        self.platform = Platform(
            self.records, seeded(self.rng), size.engines, size.ledgers
        )
        self.platform.on_poison = Crashes(self.platform, self.records, seed).crash
        self.seed = seed
        self.entries = [
            Entry(
                f"entry-{n}",
                ZONES[n % len(ZONES)],
                self.platform.server.port,
                folder,
                self.records,
            )
            for n in range(size.entries)
        ]
        self.most_memory = 0.0

    def log(self, text):
        """Note what the plan does."""
        line = f"{time.monotonic() - self.records.began:7.2f} {text}"
        self.faults.append(line)
        with (self.folder / "faults.log").open("a") as out:
            out.write(line + "\n")

    def play(self):
        """Play everything; return what was found."""
        for entry in self.entries:
            entry.start()
        supervisor = threading.Thread(target=self._supervise, daemon=True)
        self._await_start()
        supervisor.start()
        balancer = Balancer(self.entries)
        callers = [
            Caller(
                balancer,
                self.platform.operator,
                self.records,
                seeded(self.rng),
                self.stopped,
            )
            for _ in range(self.size.callers)
        ]
        operator, records = self.platform.operator, self.records
        callers += [
            PoisonCaller(balancer, operator, records, self.seed, n, self.stopped)
            for n in range(self.size.poison)
        ]
        for caller in callers:
            caller.start()
        needs = Needs(self.platform, self.records, self.seed)
        needs.start()
        restores = Restores(self.platform, self.records, self.seed, self.log)
        restores.start()
        time.sleep(CALM)
        plan = Plan(self.platform, self.entries, self.records, self.rng, self.log)
        plan.run(self.size.seconds, self.size.gap)
        plan.heal()
        needs.stop()
        restores.stop()
        restores.join()
        recovered_in = self._recovery()
        self.stopped.set()
        for caller in callers:
            caller.join()
        balancer.stop()
        self.supervised.set()
        supervisor.join()
        self._stop_entries()
        self.platform.stop()
        return self._found(recovered_in)

    def _await_start(self):
        end = time.monotonic() + START
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > end:
                self.records.break_promise("start: an entry did not become ready")
                return
            time.sleep(0.05)

    def _supervise(self):
        """Start entries anew that have ended, as the platform does."""
        while not self.supervised.wait(RESTART_AFTER):
            for entry in self.entries:
                self.most_memory = max(self.most_memory, entry.memory_mb())
                if not entry.alive() and not entry.terming:
                    entry.judge_end(entry.popen.returncode)
                    entry.start()

    def _recovery(self):
        """Return the seconds until calls are served again."""
        began = time.monotonic()
        while time.monotonic() - began < RECOVERY + LOOK:
            time.sleep(0.25)
            since = time.monotonic() - LOOK
            calls = [
                call
                for call in list(self.records.calls)
                if call.ended_at >= since > began - 1 and call.account == "large"
                if call.kind != "version" and call.left_at is None
                if not call.body.startswith(POISON)
            ]
            served = sum(call.status == 200 and call.whole for call in calls)
            if len(calls) >= 5 and served >= SERVED_PART * len(calls):
                return round(time.monotonic() - began, 1)
        self.records.break_promise("recovery: calls are not served again")
        return None

    def _stop_entries(self):
        threads = [threading.Thread(target=entry.term) for entry in self.entries]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for entry in self.entries:
            entry.close()

    def _found(self, recovered_in):
        if self.most_memory > MEMORY_MOST:
            self.records.break_promise(f"memory: {self.most_memory:.0f} MB")
        evidence = Evidence(
            self.records,
            self.platform.operator,
            self.platform.drained,
            {entry.name: entry.explained() for entry in self.entries},
        )
        broken = check_all(evidence)
        calls = [call for call in self.records.calls if call.left_at is None]
        served = sum(call.status == 200 and call.whole for call in calls)
        return Found(
            broken,
            len(calls),
            served,
            len(self.faults),
            recovered_in,
            self.most_memory,
        )


def soak(seed, size, keep):
    """Play one seed; keep its logs if a promise was broken."""
    folder = keep / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    found = Soak(seed, size, folder).play()
    if found.broken:
        (folder / "broken.log").write_text("\n".join(found.broken) + "\n")
    else:
        shutil.rmtree(folder)
    return found
