"""What upstreams, callers and the fault plan saw, for the checks."""

import math
import threading
import time
from dataclasses import dataclass, field

from soak.limits import LimitSpan


@dataclass
class Run:
    """One request as an upstream took it; times are monotonic seconds."""

    request_id: str
    upstream: str
    service: str
    path: str
    account: str
    tokens: int
    has_key: bool
    deadline_ms: float | None
    start: float
    body: bytes = b""
    spoiled: bool = False
    """Whether the upstream itself spoiled the answer, as a fault."""


@dataclass
class Call:
    """One request as its caller saw it."""

    request_id: str
    kind: str
    path: str
    entry: str
    account: str
    timeout_s: float
    sent_at: float
    incarnation: int
    """How often its entry had been started when it was sent."""
    opened_at: float = math.inf
    """When its connection was opened; infinite if it never was."""
    body: bytes = b""
    revoked_in: int | None = None
    """The version of the configuration that withdrew its key, if one did."""
    status: int | None = None
    code: str = ""
    """Of the entry's own refusal or failure."""
    complete: bool = False
    correct: bool = False
    """Whether the answer is the one that the upstream made for this request."""
    retry_after: float | None = None
    gave_up_at: float | None = None
    """When the caller gave it up, if it did."""
    ended_at: float = 0.0
    error: str = ""


@dataclass(frozen=True)
class Span:
    """Something that went on for a while."""

    fault: str
    target: str
    planned: bool
    begin: float
    end: float


@dataclass
class Records:
    """Everything that was seen; safe to add to from many threads."""

    runs: list[Run] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    limits: list[LimitSpan] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    """Promises that were seen broken on the spot, each as a line."""
    _open_spans: dict[int, tuple[str, str, bool, float]] = field(default_factory=dict)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    started_at: float = field(default_factory=time.monotonic)

    def begin(self, fault, target, planned=False):
        """Note that a fault begins; return what ends it."""
        item = (fault, target, planned, time.monotonic())
        key = id(item)
        with self._lock:
            self._open_spans[key] = item

        def end():
            with self._lock:
                if self._open_spans.pop(key, None) is not None:
                    self.spans.append(Span(*item, time.monotonic()))

        return end

    def all_spans(self):
        """Return the spans, with those that are still open up to now."""
        now = time.monotonic()
        with self._lock:
            return [*self.spans, *(Span(*i, now) for i in self._open_spans.values())]

    def report_failure(self, text):
        """Note a broken promise."""
        self.failures.append(f"{time.monotonic() - self.started_at:7.2f} {text}")
