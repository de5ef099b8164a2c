"""Rate limit of one account on three real entries under crashes and outages."""

import random
import signal
import threading

import pytest
from fleet import PLANS, Fleet, start_fleet, wait_for
from golden_session import Session

RATE, BURST, COST = 200.0, 200.0, 10.0
RUN_DELAY_S = 0.5
"""Maximum delay from the admission to the run of a request on a busy machine."""
SENDERS = 6
ENTRIES = ("entry-1", "entry-2", "entry-3")
SLOTS = "/v1/services/ledger/slots"


@pytest.fixture
def fleet(tmp_path):
    plans = PLANS.replace("rate = 5000", f"rate = {RATE}")
    plans = plans.replace("burst = 20000", f"burst = {BURST}")
    with Fleet(tmp_path) as running:
        start_fleet(running)
        running.entry("entry-3")
        running.record_urls("http", "entry-3")
        running.wait_ready("entry-3", 3)
        running.apply_lists(plans=plans)
        running.wait_shared("fretes", 3)
        yield running


def send_request(fleet, entry, timeout):
    headers = {"X-Request-Timeout": str(timeout)}
    return fleet.request(entry, "POST", SLOTS, "fretes", headers=headers).status


class Flood:
    """Callers that send requests without pause through the running entries."""

    def __init__(self, fleet, entries):
        self.fleet, self.entries = fleet, list(entries)
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(seed,)) for seed in range(SENDERS)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, seed):
        rng = random.Random(seed)
        while not self.stopping.is_set():
            try:
                status = send_request(self.fleet, rng.choice(self.entries), 0.3)
            except Exception:
                continue
            if status != 200:
                self.stopping.wait(0.02)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def run_times(fleet):
    answer = fleet.http.request("GET", fleet.urls["service-1"] + "/_runs")
    return sorted(answer.json()["times"])


def peak_usage(times):
    """Return the maximum usage of any window relative to its rate and burst."""
    peak = 0.0
    for first, start in enumerate(times):
        for last in range(first, len(times)):
            allowed = RATE * (times[last] - start + RUN_DELAY_S) + BURST
            peak = max(peak, COST * (last - first + 1) / allowed)
    return peak


def test_rate_session(fleet):
    """An account sends many times its rate while entries crash, freeze for longer than
    every lease and lose the store. If the fleet admitted more than rate and burst,
    other accounts would be delayed; if it lost the share of a failed entry, requests
    within the rate would be refused.
    """
    session = Session("rate")
    fleet.set_faults(down=True)
    session.add("the store is down from here on")
    flood = Flood(fleet, ENTRIES)
    wait_for(lambda: len(run_times(fleet)) > 60, "a flood through three entries")
    flood.entries = ["entry-2", "entry-3"]
    fleet.processes["entry-1"].kill()
    session.add("entry-1 is killed in the flood")
    before = len(run_times(fleet))
    wait_for(lambda: len(run_times(fleet)) > before + 40, "the flood to go on")
    flood.entries = ["entry-3"]
    frozen = fleet.processes["entry-2"]
    frozen.signal(signal.SIGSTOP)
    session.add("entry-2 is frozen for longer than every lease")
    threading.Event().wait(7.0)
    frozen.signal(signal.SIGCONT)
    flood.entries = ["entry-2", "entry-3"]
    before = len(run_times(fleet))
    wait_for(lambda: len(run_times(fleet)) > before + 40, "the flood after the thaw")
    flood.stop()
    peak = peak_usage(run_times(fleet))
    print(f"largest part of rate and burst used in a window: {peak:.3f}")
    session.add("flood over rate and burst:", peak > 1.0)
    threading.Event().wait(2.0)
    statuses = [send_request(fleet, ENTRIES[1 + index % 2], 5.0) for index in range(12)]
    session.add("twelve calls within the rate:", *sorted(set(statuses)))
    session.check()
