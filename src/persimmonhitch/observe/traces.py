"""Traces: one span per hop of a request, children of the caller's ``traceparent``.

Ended spans are written to the logs, one line each, so that no trace collector is
needed. The log event is ``span`` with the name of the hop; the trace id connects the
hops of one request across processes.
"""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from enum import Enum
from typing import Final

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanLimits, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import Decision, ParentBased, TraceIdRatioBased
from opentelemetry.trace import (
    NonRecordingSpan,
    Span,
    SpanContext,
    TraceFlags,
    format_span_id,
    format_trace_id,
    get_current_span,
    set_span_in_context,
)
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ..verdict import Failure
from .logs import log

TRACEPARENT: Final = "traceparent"
NS_PER_S: Final = 1e9
MAX_VALUE_CHARS: Final = 120
ALLOWED_ATTRIBUTES: Final = frozenset(
    {
        "account",
        "attempt",
        "chunks",
        "code",
        "model",
        "request",
        "route",
        "service",
        "status",
        "tokens",
        "upstream",
        "verdict",
    }
)
"""Names of the attributes that a span may have; others are dropped.

Without this list, code that passes a header or a body as an attribute would write the
caller's API key or prompt to the logs.
"""

Value = str | int | float

_propagator: Final = TraceContextTextMapPropagator()


class HopName(Enum):
    """The hops of a request; each has a separate span."""

    ENTRY = "entry"
    QUEUE = "queue"
    SIDECAR = "sidecar"
    UPSTREAM = "upstream"


class LogExporter(SpanExporter):
    """Writes each ended span to the logs as one line."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log the spans, one event each."""
        for span in spans:
            _log_span(span)
        return SpanExportResult.SUCCESS


def _log_span(span: ReadableSpan) -> None:
    context, parent = span.get_span_context(), span.parent
    duration = (span.end_time or 0) - (span.start_time or 0)
    log(
        "span",
        name=span.name,
        trace_id=format_trace_id(context.trace_id) if context else "-",
        span_id=format_span_id(context.span_id) if context else "-",
        parent=format_span_id(parent.span_id) if parent else "-",
        duration_s=duration / NS_PER_S,
        **(span.attributes or {}),
    )


def _extract_context(traceparent: str) -> Context:
    return _propagator.extract({TRACEPARENT: traceparent})


def _format_traceparent(context: Context) -> str:
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, context)
    return carrier.get(TRACEPARENT, "")


def _allowed(attributes: dict[str, Value]) -> dict[str, Value]:
    return {
        name: value[:MAX_VALUE_CHARS] if isinstance(value, str) else value
        for name, value in attributes.items()
        if name in ALLOWED_ATTRIBUTES
    }


class Hop:
    """An open span; the next hop uses ``traceparent`` as its parent."""

    def __init__(self, span: Span) -> None:
        self._span = span
        self.traceparent = _format_traceparent(set_span_in_context(span))

    def set(self, **attributes: Value) -> None:
        """Add attributes; names that ``ALLOWED_ATTRIBUTES`` lacks are dropped."""
        if self._span.is_recording():
            self._span.set_attributes(_allowed(attributes))

    def fail(self, failure: Failure) -> None:
        """Add the error code and the verdict of a failure as attributes."""
        self.set(code=failure.code.value, verdict=failure.verdict.value)

    def end(self) -> None:
        """End the span; further calls have no effect."""
        if self._span.is_recording():
            self._span.end()


class Traces:
    """Creates the spans of one process.

    Parameters
    ----------
    ratio : float
        Fraction of traces that are sampled, from 0 to 1.
    """

    def __init__(self, ratio: float) -> None:
        # Each span is exported synchronously when it ends. A batching exporter would
        # lose the last spans of a killed process, which are needed to diagnose it.
        self._sampler = TraceIdRatioBased(ratio)
        self._provider = TracerProvider(
            ParentBased(self._sampler),
            Resource({}),
            shutdown_on_exit=False,
            span_limits=SpanLimits(max_span_attributes=len(ALLOWED_ATTRIBUTES)),
        )
        self._provider.add_span_processor(SimpleSpanProcessor(LogExporter()))
        self._tracer = self._provider.get_tracer("persimmonhitch")

    def resample(self, traceparent: str) -> str:
        """Return the caller's ``traceparent`` with the local sampling decision.

        The trace id is preserved, the caller's sampled flag is replaced. Otherwise a
        caller that sets the flag on each request would control the log volume. An
        invalid ``traceparent`` gives an empty string, which starts a new trace.
        """
        ctx = get_current_span(_extract_context(traceparent)).get_span_context()
        if not ctx.is_valid:
            return ""
        result = self._sampler.should_sample(None, ctx.trace_id, HopName.ENTRY.value)
        sampled = result.decision is Decision.RECORD_AND_SAMPLE
        flags = TraceFlags(TraceFlags.SAMPLED if sampled else TraceFlags.DEFAULT)
        span_context = SpanContext(ctx.trace_id, ctx.span_id, True, flags)
        return _format_traceparent(set_span_in_context(NonRecordingSpan(span_context)))

    def start(self, name: HopName, traceparent: str, **attributes: Value) -> Hop:
        """Start a span; any thread may end it."""
        span = self._tracer.start_span(
            name.value, _extract_context(traceparent), attributes=_allowed(attributes)
        )
        return Hop(span)

    @contextmanager
    def hop(
        self, name: HopName, traceparent: str, **attributes: Value
    ) -> Iterator[Hop]:
        """Start a span that ends with the ``with`` block."""
        opened = self.start(name, traceparent, **attributes)
        try:
            yield opened
        finally:
            opened.end()


__all__ = ["Hop", "HopName", "Traces"]
