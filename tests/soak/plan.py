"""The faults of a soak: drawn from a seed, in series, overlapping."""

import signal
import threading
import time

from relay import Way

from soak.platform import LEDGER, LLM, RATES
from soak.upstreams import Faults

RESTART_AFTER = 0.3
STORE_SLOW = 0.3


class Plan:
    """Draws faults and carries them out; every one ends by itself or by ``heal``."""

    def __init__(self, platform, entries, records, rng, log):
        self._platform = platform
        self._entries = entries
        self._records = records
        self._rng = rng
        self._log = log
        self._threads = []
        self._healing = threading.Event()
        self._kinds = {
            self._term: 4,
            self._roll: 1,
            self._kill: 3,
            self._pause: 3,
            self._hup: 1,
            self._relay_fault: 8,
            self._store_fault: 4,
            self._upstream_crash: 2,
            self._upstream_reborn: 1,
            self._upstream_drain: 2,
            self._upstream_fault: 4,
            self._change: 4,
            self._storm: 1,
            self._revoke: 2,
        }

    def run(self, seconds, gap):
        """Begin faults for a while, one each ``gap`` seconds on average."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            kind = self._rng.choices(list(self._kinds), list(self._kinds.values()))[0]
            step = kind()
            if step is not None:
                thread = threading.Thread(target=step, daemon=True)
                thread.start()
                self._threads.append(thread)
            self._healing.wait(self._rng.expovariate(1 / gap))

    def heal(self):
        """End all faults and wait until what they began is over."""
        self._healing.set()
        for thread in self._threads:
            thread.join()

    def _lasting(self, what, where, seconds, begin, end):
        """Return a step that has a fault for a while."""
        self._log(f"{what} at {where} for {seconds:.2f} s")

        def step():
            done = self._records.begin(what, where)
            begin()
            self._healing.wait(seconds)
            end()
            done()

        return step

    # -- entries -----------------------------------------------------------------

    def _entry(self):
        return self._rng.choice(self._entries)

    def _term(self):
        entry = self._entry()
        self._log(f"term at {entry.name}")
        return lambda: self._stop(entry)

    def _stop(self, entry):
        done = self._records.begin("term", entry.name, planned=True)
        if entry.alive() and not entry.terming:
            entry.term()
        self._await_ready(entry)
        done()

    def _await_ready(self, entry):
        end = time.monotonic() + 20
        while not entry.is_ready() and time.monotonic() < end:
            time.sleep(0.05)

    def _roll(self):
        gap = self._rng.uniform(0.5, 2.0)
        self._log(f"roll, {gap:.2f} s between")

        def step():
            threads = []
            for entry in self._entries:
                threads.append(threading.Thread(target=self._stop, args=(entry,)))
                threads[-1].start()
                self._healing.wait(gap)
            for thread in threads:
                thread.join()

        return step

    def _kill(self):
        entry = self._entry()
        self._log(f"kill at {entry.name}")

        def step():
            done = self._records.begin("kill", entry.name)
            entry.kill()
            time.sleep(RESTART_AFTER)
            self._await_ready(entry)
            done()

        return step

    def _pause(self):
        entry, seconds = self._entry(), self._rng.uniform(0.3, 4.0)
        self._log(f"pause at {entry.name} for {seconds:.2f} s")

        def step():
            done = self._records.begin("pause", entry.name)
            entry.pause(seconds)
            done()

        return step

    def _hup(self):
        entry = self._entry()
        self._log(f"hup at {entry.name}")
        entry.signal(signal.SIGHUP)

    # -- connections -------------------------------------------------------------

    def _relay_fault(self):
        if self._rng.random() < 0.75:
            entry = self._entry()
            path = self._rng.choice(("store", "store", "link", "link", "callers"))
            return self._on_relay(entry.relays[path], f"{path} path", entry.name)
        upstream = self._rng.choice(list(self._platform.upstreams.values()))
        return self._on_relay(upstream.relay, "path", upstream.spec.name)

    def _on_relay(self, relay, path, where):
        seconds = self._rng.uniform(0.5, 5.0)
        way = self._rng.choice(list(Way))
        delay = self._rng.uniform(0.02, 0.3)
        begins = {
            "cut": lambda: relay.set_cut(True),
            "stall": relay.stall,
            f"one way ({way.value}) of": lambda: relay.stall(way),
            f"delay of {delay:.2f} s on": lambda: setattr(relay, "delay", delay),
            "reset": relay.reset,
            "mute": relay.mute,
        }
        what = self._rng.choice(list(begins))

        def end():
            relay.set_cut(False)
            relay.free()

        return self._lasting(f"{what} {path}", where, seconds, begins[what], end)

    def _store_fault(self):
        faults = self._platform.state.faults
        name, value = self._rng.choice(
            (("down", True), ("delay", STORE_SLOW), ("lost_answers", 6))
        )
        seconds = self._rng.uniform(0.5, 5.0)
        healthy = type(faults)()

        def begin():
            setattr(faults, name, value)

        def end():
            setattr(faults, name, getattr(healthy, name))

        return self._lasting(name, "store", seconds, begin, end)

    # -- upstreams ---------------------------------------------------------------

    def _upstream(self, service=None):
        found = [
            upstream
            for upstream in self._platform.upstreams.values()
            if service in (None, upstream.spec.service) and not upstream.leaving
        ]
        return self._rng.choice(found) if len(found) > 1 else None

    def _replace(self, upstream, name=None):
        service = upstream.spec.service
        number = self._rng.randrange(len(self._platform.upstreams) + 1)
        return self._platform.add(service, number, name)

    def _upstream_crash(self):
        upstream = self._upstream(self._rng.choice((LLM, LEDGER)))
        if upstream is None:
            return None
        seconds = self._rng.uniform(0.2, 3.0)
        self._log(f"crash of {upstream.spec.name}, another after {seconds:.2f} s")

        def step():
            self._records.begin("crash", upstream.spec.name)
            self._platform.crash(upstream)
            time.sleep(seconds)
            self._replace(upstream)

        return step

    def _upstream_reborn(self):
        upstream = self._upstream()
        if upstream is None:
            return None
        self._log(f"{upstream.spec.name} starts anew under its name")

        def step():
            done = self._records.begin("reborn", upstream.spec.name)
            self._platform.crash(upstream)
            time.sleep(0.1)
            self._replace(upstream, upstream.spec.name)
            done()

        return step

    def _upstream_drain(self):
        upstream = self._upstream()
        if upstream is None:
            return None
        self._log(f"{upstream.spec.name} leaves")

        def step():
            self._replace(upstream)
            self._platform.drain(upstream)
            self._records.begin("gone", upstream.spec.name)

        return step

    def _upstream_fault(self):
        upstream = self._upstream()
        if upstream is None:
            return None
        names = ("fail", "lose")
        if upstream.spec.service == LLM:
            names = (*names, "late_orders")
        name, part = self._rng.choice(names), self._rng.uniform(0.1, 0.7)
        seconds = self._rng.uniform(0.5, 4.0)

        def end():
            upstream.faults = Faults()

        return self._lasting(
            f"{name} {part:.2f}",
            upstream.spec.name,
            seconds,
            lambda: setattr(upstream.faults, name, part),
            end,
        )

    # -- operator ----------------------------------------------------------------

    def _change(self):
        self._log("configuration")
        return self._platform.operator.change

    def _storm(self):
        count, gap = self._rng.randint(4, 10), self._rng.uniform(0.05, 0.3)
        self._log(f"{count} configurations")

        def step():
            for _ in range(count):
                self._platform.operator.change()
                time.sleep(gap)

        return step

    def _revoke(self):
        account = self._rng.choice(list(RATES))
        self._log(f"a key of {account} withdrawn")
        return lambda: self._platform.operator.revoke(account)
