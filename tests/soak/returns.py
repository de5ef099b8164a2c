"""A play in which machines are lost at the same moment and come back.

Usage:
  returns [--lost=LIST] [--count=N] [--times=N] [--gap=S] [--spread=S] [--down=S]
          [--store=S] [--entries=N] [--engines=N] [--ledgers=N] [--rate=N]
          [--parts=TEXT] [--own] [--seed=N] [--keep=DIR]
  returns --help

Options:
  --lost=LIST    What is lost: upstreams, entries, store [default: upstreams].
  --count=N      Upstreams of each service that a loss takes; 0 for all [default: 0].
  --times=N      Losses in series [default: 1].
  --gap=S        Seconds from a return to the next loss [default: 2].
  --spread=S     Seconds over which the machines of a loss go [default: 0].
  --down=S       Seconds for which the machines are gone [default: 1].
  --store=S      Seconds for which the store is away longer [default: 3].
  --entries=N    Entry processes [default: 4].
  --engines=N    Upstreams with models [default: 8].
  --ledgers=N    Upstreams without models [default: 8].
  --rate=N       Requests a second, half of them on each route [default: 60].
  --parts=TEXT   Parts of the prompt of each request with a model [default: ].
  --own          Give each request a body of its own.
  --seed=N       Seed [default: 1].
  --keep=DIR     Directory for logs [default: target/returns].
"""

import http.client
import json
import random
import shutil
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from enum import Enum
from pathlib import Path

from docopt import docopt

from soak.cpu_quota import running
from soak.entries import START_TIMEOUT_S, Entry
from soak.platform import HOST, LEDGER, LLM, MODELS, ZONES, Platform
from soak.records import Records
from soak.resumers import VersionChooser

RECOVERY_S = 12.0
"""Seconds from the return of the machines within which service is back."""
CALM_S, MEASURED_S = 2.0, 3.0
"""Seconds of requests before the first loss, and those that count at the end."""
WARM_UP_S = 1.0
TIMEOUT_S = 2.0
EVENT_INTERVAL_S = 0.08
MIN_SERVED = 0.9
"""Least share of requests served after the return, against those served before."""
ROUTES = ("read", "chat")


class Lost(Enum):
    """Machines that are lost together."""

    UPSTREAMS = "upstreams"
    ENTRIES = "entries"
    STORE = "store"
    """The store is away with the other machines, and some seconds longer."""


@dataclass(frozen=True)
class ReturnSize:
    """Participants, load and losses of a play; times in seconds."""

    lost: frozenset[Lost] = frozenset([Lost.UPSTREAMS])
    count: int = 0
    """Upstreams of each service that a loss takes; 0 for all."""
    times: int = 1
    gap_s: float = 2.0
    spread_s: float = 0.0
    """Time over which the machines of a loss go, in random order."""
    down_s: float = 1.0
    store_s: float = 3.0
    entries: int = 4
    engines: int = 8
    ledgers: int = 8
    rate: float = 60.0
    parts: str = ""
    own_bodies: bool = False


@dataclass
class Phase:
    """A span of the play, and how its requests ended, by route."""

    name: str
    ends: dict[str, Counter] = field(
        default_factory=lambda: {route: Counter() for route in ROUTES}
    )

    @property
    def served(self):
        """Return the share of requests that were served."""
        sent = sum(ends.total() for ends in self.ends.values())
        return sum(ends["200"] for ends in self.ends.values()) / sent if sent else 0.0

    def __str__(self):
        ends = {route: dict(ends.most_common(4)) for route, ends in self.ends.items()}
        return f"{self.name}: {self.served:.3f} served, {ends}"


@dataclass
class ReturnOutcome:
    """Service before the first loss and after the last return."""

    before: Phase
    after: Phase
    first_answer_s: float | None
    """Seconds from the last return to the first request that was served."""
    exits: list[str]
    """Processes that ended by themselves, and other failures that were recorded."""

    def failures(self):
        """Return what does not hold."""
        is_short = self.after.served < MIN_SERVED * self.before.served
        return [*self.exits, *([str(self.after)] if is_short else [])]

    def __str__(self):
        return (
            f"{self.before}\n{self.after}\n"
            f"first answer {self.first_answer_s} s after the return, {self.exits}"
        )


class ReturnPlay:
    """One play: calm, losses in series, and the time after the last return."""

    def __init__(self, size, seed, folder):
        self.size = size
        self._rng = random.Random(seed)
        self._loss_rng = random.Random(f"losses {seed}")
        self._lock = threading.Lock()
        self._served_at = []
        self._lost = []
        self._records = Records()
        self._platform = Platform(
            self._records,
            random.Random(seed),
            size.engines,
            size.ledgers,
            VersionChooser(seed),
            self._fit,
        )
        self._entries = [
            Entry(
                f"entry-{number}",
                ZONES[number % len(ZONES)],
                self._platform.server.port,
                folder,
                self._records,
            )
            for number in range(size.entries)
        ]

    def _fit(self, spec):
        return replace(
            spec,
            slots=40,
            memory=1000.0,
            event_interval_s=EVENT_INTERVAL_S,
            models=MODELS if spec.models else (),
        )

    def run(self):
        """Return the outcome."""
        with running(self._platform, self._entries, [0.0] * len(self._entries)):
            return self._play()

    def _play(self):
        before, after = Phase("before"), Phase("after")
        with ThreadPoolExecutor(400) as pool:
            self._send(pool, Phase("warm-up"), lambda now, start: now < WARM_UP_S)
            self._send(pool, before, lambda now, start: now < CALM_S)
            # No request that counts is still on its way when the machines are lost.
            self._send(pool, Phase("ends"), lambda now, start: now < WARM_UP_S)
            losses = threading.Thread(target=self._lose_in_series)
            losses.start()
            self._send(pool, Phase("losses"), lambda *_: losses.is_alive())
            returned_at = time.monotonic()
            self._send(pool, Phase("return"), lambda now, start: now < RECOVERY_S)
            self._send(pool, after, lambda now, start: now < MEASURED_S)
        exits = [
            f"{entry.name} ended with {entry.process.returncode}"
            for entry in self._entries
            if not entry.is_alive()
        ]
        served_at = [at for at in self._served_at if at > returned_at]
        first = round(min(served_at) - returned_at, 2) if served_at else None
        return ReturnOutcome(before, after, first, [*exits, *self._records.failures])

    # -- losses ------------------------------------------------------------------

    def _lose_in_series(self):
        size = self.size
        for number in range(size.times):
            if number:
                time.sleep(size.gap_s)
            self._lose()
            time.sleep(size.down_s)
            self._bring_back()

    def _lose(self):
        """Lose the machines at the same moment, or over some time."""
        lost = self.size.lost
        actions = []
        if Lost.STORE in lost:
            self._platform.state.faults.down = True
        if Lost.UPSTREAMS in lost:
            self._lost = self._choose_upstreams()
            actions += [lambda u=u: self._platform.crash(u) for u in self._lost]
        if Lost.ENTRIES in lost:
            actions += [entry.kill for entry in self._entries]
        threads = [
            threading.Timer(self._loss_rng.uniform(0.0, self.size.spread_s), action)
            for action in actions
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _choose_upstreams(self):
        """Return the upstreams that the next loss takes."""
        chosen = []
        for service in (LLM, LEDGER):
            upstreams = [
                upstream
                for upstream in self._platform.upstreams.values()
                if upstream.spec.service == service
            ]
            count = self.size.count or len(upstreams)
            chosen += self._loss_rng.sample(upstreams, count)
        return chosen

    def _bring_back(self):
        """Start the machines again, upstreams as new instances; the store is last."""
        lost = self.size.lost
        if Lost.UPSTREAMS in lost:
            for number, upstream in enumerate(self._lost):
                self._platform.add(upstream.spec.service, number)
        if Lost.ENTRIES in lost:
            for entry in self._entries:
                entry.start()
        if Lost.STORE in lost:
            time.sleep(self.size.store_s)
            self._platform.state.faults.down = False
        end = time.monotonic() + START_TIMEOUT_S
        while Lost.ENTRIES in lost and not any(e.is_ready() for e in self._entries):
            assert time.monotonic() < end, "no entry became ready again"
            time.sleep(0.05)

    # -- requests ----------------------------------------------------------------

    def _send(self, pool, phase, goes_on):
        """Send requests at random times; their ends count for this phase."""
        start = at = time.monotonic()
        while goes_on(at - start, start):
            time.sleep(max(0.0, at - time.monotonic()))
            route = self._rng.choice(ROUTES)
            entry = self._rng.choice(self._entries)
            number = self._rng.getrandbits(64)
            pool.submit(self._call, phase, route, entry, f"r{number:x}")
            at += self._rng.expovariate(self.size.rate)

    def _call(self, phase, route, entry, request_id):
        ending = self._attempt(route, entry, request_id)
        with self._lock:
            phase.ends[route][ending] += 1
            if ending == "200":
                self._served_at.append(time.monotonic())

    def _attempt(self, route, entry, request_id):
        conn = http.client.HTTPConnection("127.0.0.1", entry.callers_port, TIMEOUT_S)
        headers = {
            "Host": HOST,
            "X-Persimmonhitch-Request-Id": request_id,
            "X-Persimmonhitch-Request-Deadline": str(int(TIMEOUT_S * 1000)),
            "Authorization": f"Bearer {self._platform.operator.keys['plain'][0]}",
        }
        if route == "chat":
            headers["X-Persimmonhitch-Model"] = MODELS[0]
            headers["X-Persimmonhitch-Token-Counts"] = "40,10"
            if self.size.parts:
                headers["X-Persimmonhitch-Prompt-Prefix"] = self.size.parts
        body = request_id.encode() if self.size.own_bodies else b"hello"
        try:
            conn.request("POST", f"/{route}/x", body=body, headers=headers)
            answer = conn.getresponse()
            content = answer.read()
        except (http.client.HTTPException, OSError) as exc:
            return type(exc).__name__
        finally:
            conn.close()
        return "200" if answer.status == 200 else _reason(answer.status, content)


def _reason(status, content):
    try:
        error = json.loads(content)["error"]
        return f"{status} {error['verdict']}: {error['message']}"
    except (ValueError, KeyError, TypeError):
        return str(status)


def play(size, seed, folder):
    """Return the outcome of a play, with the logs of its entries in a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return ReturnPlay(size, seed, folder).run()


def main(argv=None):
    """Run one play and print its outcome; return 1 if something does not hold."""
    args = docopt(__doc__, argv)
    size = ReturnSize(
        frozenset(Lost(name) for name in args["--lost"].split(",")),
        int(args["--count"]),
        int(args["--times"]),
        float(args["--gap"]),
        float(args["--spread"]),
        float(args["--down"]),
        float(args["--store"]),
        int(args["--entries"]),
        int(args["--engines"]),
        int(args["--ledgers"]),
        float(args["--rate"]),
        args["--parts"],
        args["--own"],
    )
    folder = Path(args["--keep"])
    shutil.rmtree(folder, ignore_errors=True)
    outcome = play(size, int(args["--seed"]), folder)
    print(outcome)
    return 1 if outcome.failures() else 0


if __name__ == "__main__":
    raise SystemExit(main())
