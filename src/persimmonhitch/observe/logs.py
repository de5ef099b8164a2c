"""Structured logs: one line of key=value pairs for each event."""

import sys
import threading
import time
from collections import deque
from datetime import UTC, datetime
from typing import Any, Final, TextIO

from eliot import add_destinations, log_message

OMITTED: Final = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})
MAX_QUEUED_LINES: Final = 2000
"""Lines that wait for a slow reader; about half a megabyte."""
FLUSH_TIMEOUT_S: Final = 0.5
"""Seconds that the end of a process waits for its last lines."""
MAX_SAMPLED_PER_S: Final = 50
"""Lines a second of answers that went well: enough to see a process at work, and a
bound on what they cost however many requests come."""
QUOTED_CHARS: Final = frozenset(' "=\n\t\r')


def format_value(value: object) -> str:
    """Return a value as it stands in a line, quoted where it must be."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not QUOTED_CHARS.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


def format_event(event: dict[str, Any]) -> str:
    """Return the line for one event of the logging library."""
    time_utc = datetime.fromtimestamp(event["timestamp"], tz=UTC)
    timestamp = time_utc.isoformat(timespec="milliseconds")
    pairs = [f"ts={timestamp}", f"event={format_value(event.get('message_type', '-'))}"]
    pairs += [f"{k}={format_value(v)}" for k, v in event.items() if k not in OMITTED]
    return " ".join(pairs)


class LogWriter:
    """Writes events as lines to a stream, from a thread of its own.

    Whoever reads the stream may stop reading. A thread that wrote to it by itself would
    then stop too, and with it the request that it serves; here lines that find the
    queue full are left out and counted.
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_QUEUED_LINES) -> None:
        self._stream = stream
        self._max_lines = max_lines
        self._lines: deque[str] = deque()
        self._dropped = 0
        self._changed = threading.Condition()
        self._writing = False
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    def __call__(self, event: dict[str, Any]) -> None:
        """Take one event."""
        line = format_event(event)
        with self._changed:
            if len(self._lines) >= self._max_lines:
                self._dropped += 1
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
                if self._dropped:
                    lines.append(f"event=lines_left_out count={self._dropped}")
                    self._dropped = 0
            try:
                self._stream.write("\n".join(lines) + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody is left to tell it to.
                return

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, for at most ``limit`` seconds."""
        deadline = time.monotonic() + timeout_s
        with self._changed:
            while (self._lines or self._writing) and time.monotonic() < deadline:
                self._changed.wait(max(0.0, deadline - time.monotonic()))


_writers: Final[list[LogWriter]] = []


def start_logs(program: str, vm: str) -> None:
    """Send all events of this process to standard output."""
    writer = LogWriter(sys.stdout)
    _writers.append(writer)

    def write_event(event: dict[str, Any]) -> None:
        writer({**event, "program": program, "vm": vm})

    add_destinations(write_event)


def flush_logs(timeout_s: float = FLUSH_TIMEOUT_S) -> None:
    """Write what is still queued, before a process ends."""
    for writer in _writers:
        writer.flush(timeout_s)


def announce(line: str) -> None:
    """Print a line for whoever started this process, whole beside the logs' lines."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def log(event: str, **fields: object) -> None:
    """Log one event; fields hold neither keys nor prompts."""
    log_message(message_type=event, **fields)


class SampledLog:
    """Logs events of one sort up to a number a second, and counts the rest.

    Answers that went well come by the thousand under load and say the same; each line
    takes processor time from the requests that are to be answered.
    """

    def __init__(self, event: str, max_per_s: int = MAX_SAMPLED_PER_S) -> None:
        self._event = event
        self._max_per_s = max_per_s
        self._second = 0
        self._count = 0
        self._lock = threading.Lock()

    def log(self, **fields: object) -> None:
        """Log one event, or count it."""
        now = int(time.monotonic())
        with self._lock:
            dropped = 0
            if now != self._second:
                dropped = max(0, self._count - self._max_per_s)
                self._second, self._count = now, 0
            self._count += 1
            sampled = self._count <= self._max_per_s
        if dropped:
            log(f"{self._event}_left_out", count=dropped)
        if sampled:
            log(self._event, **fields)
