"""A complete soak run for one seed."""

import random
import shutil
import threading
import time
from collections import Counter
from dataclasses import dataclass

from soak.answers import AnswerFaults, LateAnswers
from soak.callers import Balancer, Caller
from soak.checks import Evidence, check_all
from soak.entries import Entry
from soak.evacuations import Evacuator
from soak.limits import LimitFaults
from soak.other_writers import OtherWriter
from soak.plan import RESTART_DELAY_S, FaultPlan
from soak.platform import ZONES, Platform
from soak.poison import CrashHandler, PartPoisonCaller, PoisonCaller
from soak.records import Records
from soak.restores import StoreRestorer
from soak.resumers import ResumingCaller, VersionChooser
from soak.upstreams import POISON_PREFIX, derive_rng

WARM_UP_S = 2.0
"""Seconds of requests before the first fault."""
RECOVERY_BOUND_S = 12.0
"""Seconds after the last fault within which requests must be served again."""
RECOVERY_WINDOW_S, MIN_SERVED_SHARE = 1.5, 0.8
"""Seconds of recent requests examined for recovery, and the share to be served."""
START_TIMEOUT_S = 20.0
MAX_MEMORY_MB = 300.0


@dataclass(frozen=True)
class Size:
    """Duration and number of participants of a run."""

    seconds: float = 15.0
    gap: float = 0.8
    entries: int = 3
    engines: int = 4
    ledgers: int = 3
    callers: int = 12
    poison: int = 2
    """Number of distinct poison requests."""
    poison_parts: int = 0
    """Number of prompt parts that crash upstreams."""
    resumers: int = 2
    """Callers that resume streams at other entries."""


@dataclass(frozen=True)
class Outcome:
    """Result of one soak run."""

    failures: list[str]
    calls: int
    served: int
    faults: int
    recovered_in: float | None
    peak_memory_mb: float
    resumptions: int
    resumed: int
    refused_resumptions: dict[str, int]
    """Resumptions that were not accepted, by status and error code."""

    def summary(self):
        """Format the outcome as one line."""
        return (
            f"{len(self.failures)} broken, {self.served} of {self.calls} calls served, "
            f"{self.faults} faults, recovered in {self.recovered_in} s, "
            f"{self.peak_memory_mb:.0f} MB at most, "
            f"{self.resumed} of {self.resumptions} streams resumed, "
            f"others {self.refused_resumptions}"
        )


class Soak:
    """Participants and state of one run."""

    def __init__(self, seed, size, folder):
        self.size = size
        self.folder = folder
        self.rng = random.Random(seed)
        self.records = Records()
        self.fault_log = []
        self.stopped = threading.Event()
        self.supervision_ended = threading.Event()
        self.platform = Platform(
            self.records,
            derive_rng(self.rng),
            size.engines,
            size.ledgers,
            VersionChooser(seed),
        )
        self.platform.on_poison = CrashHandler(self.platform, self.records, seed).crash
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
        self.peak_memory_mb = 0.0
        self._other_writer = OtherWriter(self.platform, seed, self.log)

    def log(self, text):
        """Log an injected fault."""
        line = f"{time.monotonic() - self.records.started_at:7.2f} {text}"
        self.fault_log.append(line)
        with (self.folder / "faults.log").open("a") as out:
            out.write(line + "\n")

    def run(self):
        """Run all participants and faults; return the outcome."""
        self._other_writer.start()
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
                derive_rng(self.rng),
                self.stopped,
            )
            for _ in range(self.size.callers)
        ]
        operator, records = self.platform.operator, self.records
        callers += [
            PoisonCaller(balancer, operator, records, self.seed, n, self.stopped)
            for n in range(self.size.poison)
        ]
        callers += [
            PartPoisonCaller(balancer, operator, records, self.seed, n, self.stopped)
            for n in range(self.size.poison_parts)
        ]
        callers += [
            ResumingCaller(balancer, operator, records, self.seed, n, self.stopped)
            for n in range(self.size.resumers)
        ]
        for caller in callers:
            caller.start()
        limits = LimitFaults(self.platform, self.records, self.seed)
        limits.start()
        answers = AnswerFaults(self.platform, self.records, self.seed, self.log)
        late_answers = LateAnswers(self.platform, self.seed)
        answers.start()
        late_answers.start()
        restores = StoreRestorer(self.platform, self.records, self.seed, self.log)
        restores.start()
        evacuator = Evacuator(
            self.platform, self.entries, self.records, self.seed, self.log
        )
        evacuator.start()
        time.sleep(WARM_UP_S)
        plan = FaultPlan(self.platform, self.entries, self.records, self.rng, self.log)
        plan.run(self.size.seconds, self.size.gap)
        plan.end_all()
        limits.stop()
        answers.stop()
        late_answers.stop()
        evacuator.stop()
        evacuator.join()
        restores.stop()
        restores.join()
        recovered_in = self._await_recovery()
        self._await_ready()
        self.stopped.set()
        for caller in callers:
            caller.join()
        balancer.stop()
        self.supervision_ended.set()
        supervisor.join()
        self._other_writer.stop()
        self._stop_entries()
        self.platform.stop()
        return self._outcome(recovered_in)

    def _await_start(self):
        end = time.monotonic() + START_TIMEOUT_S
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > end:
                self.records.report_failure("start: an entry did not become ready")
                return
            time.sleep(0.05)

    def _supervise(self):
        """Restart entries that have exited, as the platform does."""
        while not self.supervision_ended.wait(RESTART_DELAY_S):
            for entry in self.entries:
                self.peak_memory_mb = max(self.peak_memory_mb, entry.memory_mb())
                if not entry.is_alive() and not entry.stopping:
                    entry.check_exit(entry.process.returncode)
                    entry.start()

    def _await_recovery(self):
        """Return the seconds until requests are served again, or None."""
        start = time.monotonic()
        while time.monotonic() - start < RECOVERY_BOUND_S + RECOVERY_WINDOW_S:
            time.sleep(0.25)
            since = time.monotonic() - RECOVERY_WINDOW_S
            calls = [
                call
                for call in list(self.records.calls)
                if call.ended_at >= since > start - 1 and call.account == "large"
                if call.kind != "version" and call.gave_up_at is None
                if not call.body.startswith(POISON_PREFIX)
            ]
            served = sum(call.status == 200 and call.complete for call in calls)
            if len(calls) >= 5 and served >= MIN_SERVED_SHARE * len(calls):
                return round(time.monotonic() - start, 1)
        self.records.report_failure("recovery: requests are not served again")
        return None

    def _await_ready(self):
        """Report the entries that are not ready within the bound for recovery."""
        waiting, end = self.entries, time.monotonic() + RECOVERY_BOUND_S
        while (waiting := [e for e in waiting if not e.is_ready()]) and (
            time.monotonic() < end
        ):
            time.sleep(0.25)
        for entry in waiting:
            self.records.report_failure(f"recovery: {entry.name} is not ready")

    def _stop_entries(self):
        threads = [threading.Thread(target=entry.stop) for entry in self.entries]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for entry in self.entries:
            entry.close()

    def _outcome(self, recovered_in):
        if self.peak_memory_mb > MAX_MEMORY_MB:
            self.records.report_failure(f"memory: {self.peak_memory_mb:.0f} MB")
        evidence = Evidence(
            self.records,
            self.platform.operator,
            self.platform.drained_at,
            {entry.name: entry.explained_requests() for entry in self.entries},
            {entry.name: entry.relays["callers"].refused for entry in self.entries},
        )
        failures = check_all(evidence)
        calls = [call for call in self.records.calls if call.gave_up_at is None]
        served = sum(call.status == 200 and call.complete for call in calls)
        return Outcome(
            failures,
            len(calls),
            served,
            len(self.fault_log),
            recovered_in,
            self.peak_memory_mb,
            sum(len(s.attempts[1:]) for s in self.records.resumed_streams),
            sum(s.accepted for s in self.records.resumed_streams),
            dict(
                Counter(
                    text for s in self.records.resumed_streams for text in s.refusals
                )
            ),
        )


def soak(seed, size, keep):
    """Run one seed; keep its logs if a check failed."""
    folder = keep / f"seed-{seed}"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    outcome = Soak(seed, size, folder).run()
    if outcome.failures:
        (folder / "broken.log").write_text("\n".join(outcome.failures) + "\n")
    else:
        shutil.rmtree(folder)
    return outcome
