"""A play in which one entry is out of step while engines of a new version come and go.

Usage:
  release [--cut=LINKS] [--back=S] [--join=S] [--entries=N] [--heal] [--control]
          [--keep=DIR]
  release --help

Options:
  --cut=LINKS   Links that go silent: store, of the last entry to the store; peers, of
                all entries to each other; all, both; pause suspends the last entry,
                none leaves all alone [default: all].
  --back=S      Seconds from then until the callers come back [default: 1.5].
  --join=S      Seconds from then until the engines join [default: 0].
  --entries=N   Entry processes [default: 2].
  --heal        End the silence as the callers come back.
  --control     No engine joins; callers come back with streams of the old version.
  --keep=DIR    Directory for logs [default: target/release].
"""

import http.client
import itertools
import random
import shutil
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path

from docopt import docopt

from persimmonhitch.store.objects import Kind
from soak.entries import Entry
from soak.platform import HOST, LLM, MODELS, ZONES, Platform
from soak.records import Records
from soak.upstreams import EVENT_COUNT, RESUMABLE_PATH

OLD, NEW = "1", "2"
OLD_ENGINES, NEW_ENGINES = 4, 8
CALLERS = 24
STEADY_S = 5.0
"""Seconds before the links go silent, longer than the timeout of the route."""
SERVE_S = 0.6
"""Seconds for which the new engines serve."""
EVENT_INTERVAL_S = 0.15
START_TIMEOUT_S = 20.0
TIMEOUT_S = 4.0


@dataclass
class Stream:
    """Events of one stream as its caller received them, over both attempts."""

    first_id: str
    first: list[tuple[int, str]] = field(default_factory=list)
    """Number and software version of each event of the first attempt."""
    second: list[tuple[int, str]] = field(default_factory=list)
    status: int | None = None
    """Status of the second attempt."""
    wait_s: float = 0.0
    """Time until the second attempt had its answer or its first event."""

    @property
    def version(self):
        """Return the version that wrote the first events."""
        return self.first[0][1] if self.first else None

    @property
    def is_joined(self):
        """Return whether engines of two versions have written the events."""
        return len({version for _, version in self.first + self.second}) > 1


class Release:
    """The processes of a play; ``entries[-1]`` is the one out of step."""

    def __init__(self, folder, entries=2):
        self._ids = itertools.count()
        self._version = OLD
        self.platform = Platform(
            Records(),
            random.Random("release"),
            OLD_ENGINES,
            1,
            lambda: self._version,
            lambda spec: replace(spec, event_interval_s=EVENT_INTERVAL_S, slots=40),
        )
        port = self.platform.server.port
        self.entries = [
            Entry(f"entry-{n}", ZONES[n % len(ZONES)], port, folder, Records())
            for n in range(entries)
        ]

    def start(self):
        """Start the entries and wait until their histories are long enough."""
        for entry in self.entries:
            entry.start()
        end = time.monotonic() + START_TIMEOUT_S
        while not all(entry.is_ready() for entry in self.entries):
            if time.monotonic() > end:
                raise RuntimeError("an entry did not become ready")
            time.sleep(0.05)
        time.sleep(STEADY_S)

    def close(self):
        """End all processes."""
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.close()
        self.platform.stop()

    def silence(self, links):
        """Make links silent without closing any, or suspend the last entry."""
        if links in ("all", "store"):
            self.entries[-1].relays["store"].stall()
        if links in ("all", "peers"):
            # A link may have been opened from either end.
            for entry in self.entries:
                entry.relays["link"].stall()
        if links == "pause":
            self.entries[-1].signal(signal.SIGSTOP)

    def heal(self):
        """End the silence."""
        for entry in self.entries:
            for relay in entry.relays.values():
                relay.resume()
        self.entries[-1].signal(signal.SIGCONT)

    def join_engines(self):
        """Start engines of the new version; return them."""
        self._version = NEW
        engines = [self.platform.add(LLM, n) for n in range(NEW_ENGINES)]
        self._version = OLD
        return engines

    def remove_engines(self, engines):
        """End engines and remove their records."""
        for engine in engines:
            self.platform.crash(engine)
            found = self.platform.state.get(Kind.UPSTREAM, engine.spec.name)
            self.platform.state.delete(found.unwrap())

    def begin(self, entry):
        """Begin streams at an entry; their threads end with their connections."""
        streams = [Stream(f"s{next(self._ids)}") for _ in range(CALLERS)]
        threads = [
            threading.Thread(target=self._begin, args=(entry, stream, n))
            for n, stream in enumerate(streams)
        ]
        for thread in threads:
            thread.start()
        return streams, threads

    def _begin(self, entry, stream, number):
        model = MODELS[number % 2]
        self._read(entry, stream.first_id, model, stream.first, {})

    def take_up(self, entry, streams):
        """Resume streams at an entry, all at once."""
        threads = [
            threading.Thread(target=self._resume, args=(entry, stream, n))
            for n, stream in enumerate(streams)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _resume(self, entry, stream, number):
        headers = {
            "Resumes": stream.first_id,
            "Last-Event-Id": str(stream.first[-1][0]),
        }
        request_id, began_at = f"r{next(self._ids)}", time.monotonic()
        model = MODELS[number % 2]
        stream.status, answered_at = self._read(
            entry, request_id, model, stream.second, headers
        )
        stream.wait_s = answered_at - began_at

    def _read(self, entry, request_id, model, events, headers):
        """Read a stream; return its status and the time of its first event."""
        key = self.platform.operator.keys["plain"][0]
        conn = http.client.HTTPConnection("127.0.0.1", entry.callers_port, timeout=6.0)
        status, answered_at = None, time.monotonic()
        try:
            conn.request(
                "POST",
                RESUMABLE_PATH,
                body=b"tell",
                headers={
                    "Host": HOST,
                    "X-Persimmonhitch-Request-Id": request_id,
                    "X-Persimmonhitch-Request-Deadline": str(int(TIMEOUT_S * 1000)),
                    "X-Persimmonhitch-Model": model,
                    "X-Persimmonhitch-Token-Counts": "200,50",
                    "Authorization": f"Bearer {key}",
                    **headers,
                },
            )
            answer = conn.getresponse()
            status, answered_at = answer.status, time.monotonic()
            while status == 200 and (line := answer.readline()):
                data, _end = answer.readline(), answer.readline()
                if not data.startswith(b"data: v"):
                    break
                if not events:
                    answered_at = time.monotonic()
                version = data.decode().removeprefix("data: v").partition("-")[0]
                events.append((int(line.removeprefix(b"id: ")), version))
        except (http.client.HTTPException, OSError, ValueError):
            # The engine has gone; the events so far stay.
            pass
        finally:
            conn.close()
        return status, answered_at


def play(folder, links="all", back_s=1.5, join_s=0.0, entries=2, heal=False, new=True):
    """Return the broken streams of a play after their callers came back.

    The streams begin at the first entry while the last one is out of step, and the
    callers come back at the last one. Without ``new``, no engine joins and the streams
    of the old version are given up by their callers.
    """
    folder.mkdir(parents=True, exist_ok=True)
    release = Release(folder, entries)
    try:
        release.start()
        cut_at = time.monotonic()
        release.silence(links)
        time.sleep(join_s)
        engines = release.join_engines() if new else []
        time.sleep(max(0.0, cut_at + back_s - SERVE_S - time.monotonic()))
        streams, threads = release.begin(release.entries[0])
        time.sleep(max(0.0, cut_at + back_s - 0.1 - time.monotonic()))
        release.remove_engines(engines)
        if not new:
            release.entries[0].relays["callers"].reset()
        time.sleep(max(0.0, cut_at + back_s - time.monotonic()))
        wanted = NEW if new else OLD
        broken = [
            replace(stream, first=list(stream.first))
            for stream in streams
            if stream.version == wanted and len(stream.first) < EVENT_COUNT
        ]
        if links == "pause" or heal:
            release.heal()
        release.take_up(release.entries[-1], broken)
        release.heal()
        for thread in threads:
            thread.join()
        return broken
    finally:
        release.heal()
        release.close()


def main():
    """Play once and print what the callers saw."""
    args = docopt(__doc__)
    folder = Path(args["--keep"])
    shutil.rmtree(folder, ignore_errors=True)
    broken = play(
        folder,
        args["--cut"],
        float(args["--back"]),
        float(args["--join"]),
        int(args["--entries"]),
        args["--heal"],
        not args["--control"],
    )
    waits = sorted(stream.wait_s for stream in broken)
    print(
        f"{len(broken)} came back, {sum(s.is_joined for s in broken)} joined, "
        f"statuses {dict(Counter(s.status for s in broken))}, "
        f"longest wait {waits[-1] if waits else 0:.2f} s"
    )


if __name__ == "__main__":
    main()
