"""Structured logs: one line of key=value pairs for each event."""

import sys
import threading
import time
from collections import deque
from datetime import UTC, datetime
from typing import Any, Final, TextIO

from eliot import add_destinations, log_message

SKIPPED: Final = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})
MOST_LINES: Final = 2000
"""Lines that wait for a slow reader; about half a megabyte."""
FLUSH_LIMIT: Final = 0.5
"""Seconds that the end of a process waits for its last lines."""
SAMPLED_LINES: Final = 50
"""Lines a second of answers that went well: enough to see a process at work, and a
bound on what they cost however many requests come."""
QUOTED: Final = frozenset(' "=\n\t\r')


def render_value(value: object) -> str:
    """Return a value as it stands in a line, quoted where it must be."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not QUOTED.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


def render(event: dict[str, Any]) -> str:
    """Return the line for one event of the logging library."""
    when = datetime.fromtimestamp(event["timestamp"], tz=UTC)
    stamp = when.isoformat(timespec="milliseconds")
    pairs = [f"ts={stamp}", f"event={render_value(event.get('message_type', '-'))}"]
    pairs += [f"{k}={render_value(v)}" for k, v in event.items() if k not in SKIPPED]
    return " ".join(pairs)


class LineDestination:
    """Writes events as lines to a stream, from a thread of its own.

    Whoever reads the stream may stop reading. A thread that wrote to it by itself would
    then stop too, and with it the request that it serves; here lines that find the
    queue full are left out and counted.
    """

    def __init__(self, stream: TextIO, most: int = MOST_LINES) -> None:
        self._stream = stream
        self._most = most
        self._lines: deque[str] = deque()
        self._left_out = 0
        self._changed = threading.Condition()
        self._writing = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def __call__(self, event: dict[str, Any]) -> None:
        """Take one event."""
        line = render(event)
        with self._changed:
            if len(self._lines) >= self._most:
                self._left_out += 1
                return
            self._lines.append(line)
            self._changed.notify()

    def _run(self) -> None:
        while True:
            with self._changed:
                self._writing = False
                self._changed.notify_all()
                while not self._lines:
                    self._changed.wait()
                self._writing = True
                lines, self._lines = self._lines, deque()
                if self._left_out:
                    lines.append(f"event=lines_left_out count={self._left_out}")
                    self._left_out = 0
            try:
                self._stream.write("\n".join(lines) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody is left to tell it to.
                return

    def flush(self, limit: float) -> None:
        """Wait until all lines are written, for at most ``limit`` seconds."""
        end = time.monotonic() + limit
        with self._changed:
            while (self._lines or self._writing) and time.monotonic() < end:
                self._changed.wait(max(0.0, end - time.monotonic()))


_destinations: Final[list[LineDestination]] = []


def start_logs(program: str, vm: str) -> None:
    """Send all events of this process to standard output."""
    destination = LineDestination(sys.stdout)
    _destinations.append(destination)

    def with_source(event: dict[str, Any]) -> None:
        destination({**event, "program": program, "vm": vm})

    add_destinations(with_source)


def flush_logs(limit: float = FLUSH_LIMIT) -> None:
    """Write what is still queued, before a process ends."""
    for destination in _destinations:
        destination.flush(limit)


def announce(line: str) -> None:
    """Print a line for whoever started this process, whole beside the logs' lines."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def log(event: str, **fields: object) -> None:
    """Log one event; fields hold neither keys nor prompts."""
    log_message(message_type=event, **fields)


class Sampled:
    """Logs events of one sort up to a number a second, and counts the rest.

    Answers that went well come by the thousand under load and say the same; each line
    takes processor time from the requests that are to be answered.
    """

    def __init__(self, event: str, per_second: int = SAMPLED_LINES) -> None:
        self._event = event
        self._most = per_second
        self._second = 0
        self._count = 0
        self._lock = threading.Lock()

    def log(self, **fields: object) -> None:
        """Log one event, or count it."""
        now = int(time.monotonic())
        with self._lock:
            missed = 0
            if now != self._second:
                missed = max(0, self._count - self._most)
                self._second, self._count = now, 0
            self._count += 1
            kept = self._count <= self._most
        if missed:
            log(f"{self._event}_left_out", count=missed)
        if kept:
            log(self._event, **fields)
