"""Overlapping faults of a soak run, drawn from its seed."""

import signal
import threading
import time

from relay import Direction

from soak.platform import LEDGER, LLM, RATES
from soak.upstreams import Faults

RESTART_DELAY_S = 0.3
STORE_DELAY_S = 0.3


class FaultPlan:
    """Draws and injects faults; each ends after its duration or on ``end_all``."""

    def __init__(self, platform, entries, records, rng, log):
        self._platform = platform
        self._entries = entries
        self._records = records
        self._rng = rng
        self._log = log
        self._threads = []
        self._ending = threading.Event()
        self._faults = {
            self._terminate: 4,
            self._rolling_restart: 1,
            self._kill_entry: 3,
            self._suspend: 3,
            self._reload: 1,
            self._relay_fault: 8,
            self._store_fault: 4,
            self._upstream_crash: 2,
            self._upstream_restart: 1,
            self._upstream_drain: 2,
            self._upstream_fault: 4,
            self._config_change: 4,
            self._config_burst: 1,
            self._revoke_key: 2,
        }

    def run(self, seconds, gap):
        """Start faults for some seconds, one every ``gap`` seconds on average."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            draw = self._rng.choices(list(self._faults), list(self._faults.values()))[0]
            step = draw()
            if step is not None:
                thread = threading.Thread(target=step, daemon=True)
                thread.start()
                self._threads.append(thread)
            self._ending.wait(self._rng.expovariate(1 / gap))

    def end_all(self):
        """End all faults and wait for the threads that inject them."""
        self._ending.set()
        for thread in self._threads:
            thread.join()

    def _temporary(self, fault, target, seconds, begin, end):
        """Return a step that injects a fault for some seconds."""
        self._log(f"{fault} at {target} for {seconds:.2f} s")

        def step():
            end_span = self._records.open_span(fault, target)
            begin()
            self._ending.wait(seconds)
            end()
            end_span()

        return step

    # -- entries -----------------------------------------------------------------

    def _choose_entry(self):
        return self._rng.choice(self._entries)

    def _terminate(self):
        entry = self._choose_entry()
        self._log(f"term at {entry.name}")
        return lambda: self._restart(entry)

    def _restart(self, entry):
        """Stop an entry gracefully and wait until the supervisor has restarted it."""
        end_span = self._records.open_span("term", entry.name, planned=True)
        if entry.is_alive() and not entry.stopping:
            entry.stop()
        self._await_ready(entry)
        end_span()

    def _await_ready(self, entry):
        end = time.monotonic() + 20
        while not entry.is_ready() and time.monotonic() < end:
            time.sleep(0.05)

    def _rolling_restart(self):
        gap = self._rng.uniform(0.5, 2.0)
        self._log(f"rolling restart, {gap:.2f} s between entries")

        def step():
            threads = []
            for entry in self._entries:
                threads.append(threading.Thread(target=self._restart, args=(entry,)))
                threads[-1].start()
                self._ending.wait(gap)
            for thread in threads:
                thread.join()

        return step

    def _kill_entry(self):
        entry = self._choose_entry()
        self._log(f"kill at {entry.name}")

        def step():
            end_span = self._records.open_span("kill", entry.name)
            entry.kill()
            time.sleep(RESTART_DELAY_S)
            self._await_ready(entry)
            end_span()

        return step

    def _suspend(self):
        entry, seconds = self._choose_entry(), self._rng.uniform(0.3, 4.0)
        self._log(f"pause at {entry.name} for {seconds:.2f} s")

        def step():
            end_span = self._records.open_span("pause", entry.name)
            entry.pause(seconds)
            end_span()

        return step

    def _reload(self):
        """Make an entry reread its settings."""
        entry = self._choose_entry()
        self._log(f"hup at {entry.name}")
        entry.signal(signal.SIGHUP)

    # -- connections -------------------------------------------------------------

    def _relay_fault(self):
        if self._rng.random() < 0.75:
            entry = self._choose_entry()
            path = self._rng.choice(("store", "store", "link", "link", "callers"))
            return self._path_fault(entry.relays[path], f"{path} path", entry.name)
        upstream = self._rng.choice(list(self._platform.upstreams.values()))
        return self._path_fault(upstream.relay, "path", upstream.spec.name)

    def _path_fault(self, relay, path, target):
        """Return a step with a random fault of the connections through a relay."""
        seconds = self._rng.uniform(0.5, 5.0)
        direction = self._rng.choice(list(Direction))
        delay = self._rng.uniform(0.02, 0.3)
        faults = {
            "cut": lambda: relay.set_cut(True),
            "stall": relay.stall,
            f"one way ({direction.value}) of": lambda: relay.stall(direction),
            f"delay of {delay:.2f} s on": lambda: setattr(relay, "delay", delay),
            "reset": relay.reset,
            "mute": relay.mute,
        }
        fault = self._rng.choice(list(faults))

        def end():
            relay.set_cut(False)
            relay.resume()

        return self._temporary(f"{fault} {path}", target, seconds, faults[fault], end)

    def _store_fault(self):
        faults = self._platform.state.faults
        name, value = self._rng.choice(
            (("down", True), ("delay", STORE_DELAY_S), ("lost_answers", 6))
        )
        seconds = self._rng.uniform(0.5, 5.0)
        healthy = type(faults)()

        def begin():
            setattr(faults, name, value)

        def end():
            setattr(faults, name, getattr(healthy, name))

        return self._temporary(name, "store", seconds, begin, end)

    # -- upstreams ---------------------------------------------------------------

    def _choose_upstream(self, service=None):
        """Return an upstream that does not drain; None if there are fewer than two."""
        candidates = [
            upstream
            for upstream in self._platform.upstreams.values()
            if service in (None, upstream.spec.service) and not upstream.draining
        ]
        return self._rng.choice(candidates) if len(candidates) > 1 else None

    def _replace(self, upstream, name=None):
        service = upstream.spec.service
        number = self._rng.randrange(len(self._platform.upstreams) + 1)
        return self._platform.add(service, number, name)

    def _upstream_crash(self):
        upstream = self._choose_upstream(self._rng.choice((LLM, LEDGER)))
        if upstream is None:
            return None
        seconds = self._rng.uniform(0.2, 3.0)
        self._log(f"crash of {upstream.spec.name}, replacement after {seconds:.2f} s")

        def step():
            self._records.open_span("crash", upstream.spec.name)
            self._platform.crash(upstream)
            time.sleep(seconds)
            self._replace(upstream)

        return step

    def _upstream_restart(self):
        upstream = self._choose_upstream()
        if upstream is None:
            return None
        self._log(f"{upstream.spec.name} restarts under its name")

        def step():
            end_span = self._records.open_span("restart", upstream.spec.name)
            self._platform.crash(upstream)
            time.sleep(0.1)
            self._replace(upstream, upstream.spec.name)
            end_span()

        return step

    def _upstream_drain(self):
        upstream = self._choose_upstream()
        if upstream is None:
            return None
        self._log(f"{upstream.spec.name} drains")

        def step():
            self._replace(upstream)
            self._platform.drain(upstream)
            self._records.open_span("drain", upstream.spec.name)

        return step

    def _upstream_fault(self):
        upstream = self._choose_upstream()
        if upstream is None:
            return None
        names = ("fail", "lose")
        if upstream.spec.service == LLM:
            names = (*names, "late_orders")
        name, share = self._rng.choice(names), self._rng.uniform(0.1, 0.7)
        seconds = self._rng.uniform(0.5, 4.0)

        def end():
            upstream.faults = Faults()

        return self._temporary(
            f"{name} {share:.2f}",
            upstream.spec.name,
            seconds,
            lambda: setattr(upstream.faults, name, share),
            end,
        )

    # -- operator ----------------------------------------------------------------

    def _config_change(self):
        self._log("configuration change")
        return self._platform.operator.publish

    def _config_burst(self):
        count, gap = self._rng.randint(4, 10), self._rng.uniform(0.05, 0.3)
        self._log(f"{count} configuration changes")

        def step():
            for _ in range(count):
                self._platform.operator.publish()
                time.sleep(gap)

        return step

    def _revoke_key(self):
        account = self._rng.choice(list(RATES))
        self._log(f"a key of {account} revoked")
        return lambda: self._platform.operator.revoke(account)
