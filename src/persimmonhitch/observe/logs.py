"""Structured logs: one line of key=value pairs for each event."""

import sys
import threading
from datetime import UTC, datetime
from typing import Any, Final, TextIO

from eliot import add_destinations, log_message

SKIPPED: Final = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})
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
    """Writes each event as one line to a stream."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lock = threading.Lock()

    def __call__(self, event: dict[str, Any]) -> None:
        """Write one event."""
        line = render(event)
        with self._lock:
            self._stream.write(line + "\n")
            self._stream.flush()


def start_logs(program: str, vm: str) -> None:
    """Send all events of this process to standard error."""
    destination = LineDestination(sys.stderr)

    def with_source(event: dict[str, Any]) -> None:
        destination({**event, "program": program, "vm": vm})

    add_destinations(with_source)


def log(event: str, **fields: object) -> None:
    """Log one event; fields hold neither keys nor prompts."""
    log_message(message_type=event, **fields)
