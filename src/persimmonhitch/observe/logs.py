"""Structured logs: one line of key=value pairs per event."""

import sys
import threading
import time
from collections import deque
from datetime import UTC, datetime
from typing import Any, Final, TextIO

from eliot import add_destinations, log_message

OMITTED: Final = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})
MAX_QUEUED_LINES: Final = 2000
"""Maximum queued lines while the reader is slow; about half a megabyte."""
FLUSH_TIMEOUT_S: Final = 0.5
"""Seconds that a process waits at exit until its queued lines are written."""
MAX_SAMPLED_PER_S: Final = 50
"""Lines per second of one sampled event: enough to see that a process is working, and
a limit on the cost of logging that does not depend on the request rate."""
QUOTED_CHARS: Final = frozenset(' "=\n\t\r')


def format_value(value: object) -> str:
    """Format a value for a log line, quoted and escaped if necessary."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not QUOTED_CHARS.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


def format_event(event: dict[str, Any]) -> str:
    """Format an eliot event as a log line."""
    time_utc = datetime.fromtimestamp(event["timestamp"], tz=UTC)
    timestamp = time_utc.isoformat(timespec="milliseconds")
    pairs = [f"ts={timestamp}", f"event={format_value(event.get('message_type', '-'))}"]
    pairs += [f"{k}={format_value(v)}" for k, v in event.items() if k not in OMITTED]
    return " ".join(pairs)


class LogWriter:
    """Writes events as lines to a stream from a dedicated thread.

    The reader of the stream may stop reading. A request thread that wrote to the stream
    directly would then block together with its request. Instead, lines are dropped and
    counted while the queue is full.
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
        """Queue one event, or count it as dropped if the queue is full."""
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
                self._write("\n".join(lines) + "\n")
            except (OSError, ValueError):
                # The stream is closed, so this error cannot be logged either.
                return

    def _write(self, text: str) -> None:
        try:
            self._stream.write(text)
        except UnicodeEncodeError:
            self._stream.write(text.encode("ascii", "backslashreplace").decode("ascii"))
        self._stream.flush()

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, for at most ``timeout_s`` seconds."""
        deadline = time.monotonic() + timeout_s
        with self._changed:
            while (self._lines or self._writing) and time.monotonic() < deadline:
                self._changed.wait(max(0.0, deadline - time.monotonic()))


_writers: Final[list[LogWriter]] = []


def start_logs(program: str, vm: str) -> None:
    """Write all events of this process to standard output."""
    writer = LogWriter(sys.stdout)
    _writers.append(writer)

    def write_event(event: dict[str, Any]) -> None:
        writer({**event, "program": program, "vm": vm})

    add_destinations(write_event)


def flush_logs(timeout_s: float = FLUSH_TIMEOUT_S) -> None:
    """Wait until the queued lines are written; call it before the process exits."""
    for writer in _writers:
        writer.flush(timeout_s)


def announce(line: str) -> None:
    """Print a line for the parent process, never interleaved with a log line."""
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


def log(event: str, **fields: object) -> None:
    """Log one event; fields must not contain API keys or prompts."""
    log_message(message_type=event, **fields)


class SampledLog:
    """Logs up to ``max_per_s`` events of one kind per second and counts the others.

    Under load there are thousands of successful responses per second with similar log
    lines, and each line takes processor time from the requests.
    """

    def __init__(self, event: str, max_per_s: int = MAX_SAMPLED_PER_S) -> None:
        self._event = event
        self._max_per_s = max_per_s
        self._second = 0
        self._count = 0
        self._lock = threading.Lock()

    def log(self, **fields: object) -> None:
        """Log one event, or only count it if the limit of this second is reached."""
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
