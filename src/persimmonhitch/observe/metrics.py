"""Metrics of one process: typed instruments and the Prometheus text format.

Names follow the OpenTelemetry semantic conventions for HTTP and generative AI where
these define one; all other names have the prefix ``persimmonhitch``. The page
docs/OPERATIONS.md explains each metric to operators.
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram
from opentelemetry.metrics import _Gauge as Gauge
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest

from ..http_client import AnswerPart
from ..ids import Account, ConfigVersion, Service
from ..verdict import ErrorCode, Failure

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
MAX_ACCOUNTS: Final = 200
"""Accounts with separate time series per process; all other accounts share one."""
OTHER_ACCOUNTS: Final = "other"
"""Label value shared by the accounts above the limit."""
COMPLETED: Final = "ran"
"""Verdict label of requests that did not fail."""
BUCKETS: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 15.0)
"""Bucket bounds in seconds; 0.75 s is the latency target of the first token."""
GAP_BUCKETS: Final = (0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.075, 0.1, 0.25, 1.0)
"""Bucket bounds in seconds of the gap between tokens; the target is 54 ms."""
COUNT_BUCKETS: Final = (0.5, 1.0, 2.0, 3.0, 5.0, 8.0, 12.0, 20.0, 40.0)
"""Bucket bounds of a number of requests at one upstream."""
NO_FIGURES_AGE_S: Final = 15.0
"""Age recorded if an upstream has stated no usable figures; the largest bound."""

Labels = Mapping[str, str | int]


@dataclass(frozen=True)
class Instrument:
    """Definition of one metric, also used by the documentation and the tests."""

    name: str
    unit: str
    help: str
    labels: tuple[str, ...] = ()
    bounds: tuple[float, ...] = ()


REQUESTS: Final = Instrument(
    "persimmonhitch.requests",
    "",
    "Requests answered, by account, route, HTTP status and verdict.",
    ("account", "route", "status", "verdict"),
)
REFUSALS: Final = Instrument(
    "persimmonhitch.refusals",
    "",
    "Requests that got an error, by its code and verdict.",
    ("code", "verdict"),
)
ACTIVE_REQUESTS: Final = Instrument(
    "http.server.active_requests",
    "",
    "Requests accepted and not yet answered in full, by route.",
    ("route",),
)
DURATION: Final = Instrument(
    "http.server.request.duration",
    "s",
    "Time from a request's arrival to the end of its answer.",
    ("route",),
    BUCKETS,
)
QUEUE_TIME: Final = Instrument(
    "persimmonhitch.queue.duration",
    "s",
    "Time that an admitted request waited before it was sent on.",
    ("account",),
    BUCKETS,
)
TIME_TO_FIRST_TOKEN: Final = Instrument(
    "gen_ai.server.time_to_first_token",
    "s",
    "Time from a request's arrival to the first part of its answer.",
    ("account",),
    BUCKETS,
)
TOKEN_GAP: Final = Instrument(
    "gen_ai.server.time_per_output_token",
    "s",
    "Time between two parts of a streamed answer.",
    (),
    GAP_BUCKETS,
)
TOKENS: Final = Instrument(
    "persimmonhitch.tokens",
    "",
    "Tokens charged to an account: prompt and generated.",
    ("account",),
)
RETRIES: Final = Instrument(
    "persimmonhitch.retries",
    "",
    "Attempts beyond the first, by the code of the failure before.",
    ("code",),
)
RETRY_DECISIONS: Final = Instrument(
    "persimmonhitch.retry.decisions",
    "",
    "Retries that the budget allowed or refused, by the code of the failure before.",
    ("code", "outcome"),
)
ANSWERS_CUT: Final = Instrument(
    "persimmonhitch.answers.cut",
    "",
    "Answers of upstreams cut off beyond a bound, by the part that exceeds it.",
    ("part",),
)
BORROWED_TOKENS: Final = Instrument(
    "persimmonhitch.limiter.borrowed",
    "",
    "Tokens borrowed from other entries' shares.",
    ("account",),
)
CONFIG_VERSION: Final = Instrument(
    "persimmonhitch.config.version",
    "",
    "Number of the newest configuration change in force here.",
)
STORE_ERA: Final = Instrument(
    "persimmonhitch.store.era",
    "",
    "How often the store has come back from a copy, as of the last such time seen.",
)
EVACUATED_ZONES: Final = Instrument(
    "persimmonhitch.zones.evacuated",
    "",
    "Availability zones that operators have evacuated, as of the last change seen.",
)
COLD_UPSTREAMS: Final = Instrument(
    "persimmonhitch.upstreams.cold",
    "",
    "Upstreams that are slow after their start and get requests at a pace.",
)
BLOCKED_CAUSES: Final = Instrument(
    "persimmonhitch.crashes.blocked",
    "",
    "Requests and prompt parts that are refused since they crash upstreams.",
)
THREAD_FAILURES: Final = Instrument(
    "persimmonhitch.threads.failures",
    "",
    "Errors after which a thread of the process has begun anew.",
    ("thread",),
)
RESUMPTIONS: Final = Instrument(
    "persimmonhitch.streams.resumptions",
    "",
    "Resumptions by callers, by what is known of the version that began the stream.",
    ("knowledge", "outcome"),
)
KNOWN_STREAMS: Final = Instrument(
    "persimmonhitch.streams.known",
    "",
    "Streams whose software version this entry remembers.",
)
SHARE_GENERATION: Final = Instrument(
    "persimmonhitch.share.generation",
    "",
    "Generation of the share record that this process spends under.",
    ("account",),
)
UPDATE_AGE: Final = Instrument(
    "persimmonhitch.news.age",
    "s",
    "Age of the oldest news of another entry in a message that brought some.",
    (),
    BUCKETS,
)
PLACEMENT_LOAD: Final = Instrument(
    "persimmonhitch.placement.load",
    "",
    "Share of the time of a service's engines that its demand takes, at the leader.",
    ("service",),
)
LOAD_AGE: Final = Instrument(
    "persimmonhitch.load.age",
    "s",
    "Age of an upstream's own figures when a request was sent there; 15 s for none.",
    (),
    BUCKETS,
)
LOAD_ERROR: Final = Instrument(
    "persimmonhitch.load.error",
    "",
    "Difference between the requests expected at an upstream and those it states.",
    (),
    COUNT_BUCKETS,
)
LOAD_SPREAD: Final = Instrument(
    "persimmonhitch.load.spread",
    "",
    "Deviation of the requests expected at a service's upstreams, over their mean.",
    ("service",),
)
WAITING: Final = Instrument(
    "persimmonhitch.room.waiting",
    "",
    "Requests that wait for room at an upstream, by rank.",
    ("rank",),
)
ROOM_REFUSALS: Final = Instrument(
    "persimmonhitch.room.refusals",
    "",
    "Requests refused since no room was expected in time, by rank and by lateness.",
    ("rank", "late"),
)
UNUSED_ROOM: Final = Instrument(
    "persimmonhitch.room.unused",
    "",
    "Refusals for lack of room while an upstream that can run the request had less than"
    " half of the mean running.",
    ("rank",),
)
THREADS_BUSY: Final = Instrument(
    "persimmonhitch.threads.busy",
    "",
    "Requests that hold or wait for a thread of the entry.",
)
THREAD_DELAY: Final = Instrument(
    "persimmonhitch.threads.delay",
    "s",
    "Median delay of requests before they got a thread, in the last quarter second.",
)
CONNECTIONS: Final = Instrument(
    "persimmonhitch.connections",
    "",
    "New connections: accepted, or closed before anything was read, by cause.",
    ("outcome",),
)
PAUSES: Final = Instrument(
    "persimmonhitch.pauses.duration",
    "s",
    "Time in which the entry took no new connections, by cause.",
    ("cause",),
)
CALLER_BYTES: Final = Instrument(
    "persimmonhitch.caller.bytes",
    "By",
    "Bytes read from callers and sent to them.",
    ("direction",),
)
INSTRUMENTS: Final = (
    REQUESTS,
    REFUSALS,
    ACTIVE_REQUESTS,
    DURATION,
    QUEUE_TIME,
    TIME_TO_FIRST_TOKEN,
    TOKEN_GAP,
    TOKENS,
    RETRIES,
    RETRY_DECISIONS,
    ANSWERS_CUT,
    BORROWED_TOKENS,
    CONFIG_VERSION,
    STORE_ERA,
    EVACUATED_ZONES,
    COLD_UPSTREAMS,
    BLOCKED_CAUSES,
    THREAD_FAILURES,
    RESUMPTIONS,
    KNOWN_STREAMS,
    SHARE_GENERATION,
    UPDATE_AGE,
    PLACEMENT_LOAD,
    LOAD_AGE,
    LOAD_ERROR,
    LOAD_SPREAD,
    WAITING,
    ROOM_REFUSALS,
    UNUSED_ROOM,
    THREADS_BUSY,
    THREAD_DELAY,
    CONNECTIONS,
    PAUSES,
    CALLER_BYTES,
)


@dataclass
class AccountLabels:
    """Limits the number of accounts that have separate time series.

    The series of a label value stays in memory until the process exits. Without a
    limit, many accounts would exhaust the memory of each process, visible as a steady
    rise of ``process_resident_memory_bytes`` over days.
    """

    max_accounts: int = MAX_ACCOUNTS
    _labeled: set[Account] = field(default_factory=set)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def label(self, account: Account | None) -> str:
        """Return the label value of an account: its name, or the shared value."""
        if account is None:
            return "-"
        with self._lock:
            if account in self._labeled:
                return account
            if len(self._labeled) >= self.max_accounts:
                return OTHER_ACCOUNTS
            self._labeled.add(account)
            return account


class Metrics:
    """The instruments of one process; all methods are thread-safe.

    Parameters
    ----------
    program, vm : str
        Resource attributes of all metrics: the program and its VM.
    max_accounts : int
        Number of accounts with separate time series.
    """

    def __init__(self, program: str, vm: str, max_accounts: int = MAX_ACCOUNTS) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        reader = PrometheusMetricReader(
            registry=self._registry, scope_info_enabled=False
        )
        self._provider = MeterProvider(
            [reader],
            Resource({"service.name": program, "host.name": vm}),
            exemplar_filter=AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("persimmonhitch")
        self._accounts = AccountLabels(max_accounts)
        self._requests = self._counter(REQUESTS)
        self._refusals = self._counter(REFUSALS)
        self._tokens = self._counter(TOKENS)
        self._retries = self._counter(RETRIES)
        self._retry_decisions = self._counter(RETRY_DECISIONS)
        self._answers_cut = self._counter(ANSWERS_CUT)
        self._borrowed = self._counter(BORROWED_TOKENS)
        self._duration = self._histogram(DURATION)
        self._queue_time = self._histogram(QUEUE_TIME)
        self._first_token = self._histogram(TIME_TO_FIRST_TOKEN)
        self._token_gap = self._histogram(TOKEN_GAP)
        self._update_age = self._histogram(UPDATE_AGE)
        self._load_age = self._histogram(LOAD_AGE)
        self._load_error = self._histogram(LOAD_ERROR)
        self._load_spread = self._gauge(LOAD_SPREAD)
        self._active = self._meter.create_up_down_counter(
            ACTIVE_REQUESTS.name, ACTIVE_REQUESTS.unit, ACTIVE_REQUESTS.help
        )
        self._version = self._gauge(CONFIG_VERSION)
        self._era = self._gauge(STORE_ERA)
        self._evacuated = self._gauge(EVACUATED_ZONES)
        self._cold = self._gauge(COLD_UPSTREAMS)
        self._placement_load = self._gauge(PLACEMENT_LOAD)
        self._blocked = self._gauge(BLOCKED_CAUSES)
        self._thread_failures = self._gauge(THREAD_FAILURES)
        self._resumptions = self._counter(RESUMPTIONS)
        self._known_streams = self._gauge(KNOWN_STREAMS)
        self._generation = self._gauge(SHARE_GENERATION)
        self._waiting = self._gauge(WAITING)
        self._room_refusals = self._counter(ROOM_REFUSALS)
        self._unused_room = self._counter(UNUSED_ROOM)
        self._threads_busy = self._gauge(THREADS_BUSY)
        self._thread_delay = self._gauge(THREAD_DELAY)
        self._connections = self._counter(CONNECTIONS)
        self._pauses = self._counter(PAUSES)
        self._caller_bytes = self._counter(CALLER_BYTES)

    def _counter(self, spec: Instrument) -> Counter:
        return self._meter.create_counter(spec.name, spec.unit, spec.help)

    def _gauge(self, spec: Instrument) -> Gauge:
        return self._meter.create_gauge(spec.name, spec.unit, spec.help)

    def _histogram(self, spec: Instrument) -> Histogram:
        return self._meter.create_histogram(
            spec.name,
            spec.unit,
            spec.help,
            explicit_bucket_boundaries_advisory=spec.bounds,
        )

    def request_started(self, route: str) -> None:
        """Count a started request; ``route`` is ``chat``, ``models`` or ``service``."""
        self._active.add(1, {"route": route})

    def request_done(
        self,
        account: Account | None,
        route: str,
        status: int,
        failure: Failure | None,
        seconds: float,
    ) -> None:
        """Count a completed request with its outcome."""
        verdict = COMPLETED if failure is None else failure.verdict.value
        self._active.add(-1, {"route": route})
        self._duration.record(seconds, {"route": route})
        labels: Labels = {
            "account": self._accounts.label(account),
            "route": route,
            "status": status,
            "verdict": verdict,
        }
        self._requests.add(1, labels)
        if failure is not None:
            code = failure.code.value
            self._refusals.add(1, {"code": code, "verdict": verdict})

    def queue_time(self, account: Account, seconds: float) -> None:
        """Record the time that an admitted request waited until it was sent."""
        self._queue_time.record(seconds, self._account_labels(account))

    def first_token(self, account: Account, seconds: float) -> None:
        """Record the time to the first chunk of a response."""
        self._first_token.record(seconds, self._account_labels(account))

    def token_gap(self, seconds: float) -> None:
        """Record the time between two chunks of a response."""
        self._token_gap.record(seconds)

    def update_age(self, seconds: float) -> None:
        """Record the age of another entry's status update on arrival."""
        self._update_age.record(seconds)

    def load_age(self, seconds: float | None) -> None:
        """Record the age of an upstream's figures at a choice, None for no figures."""
        self._load_age.record(NO_FIGURES_AGE_S if seconds is None else seconds)

    def load_error(self, requests: float) -> None:
        """Record the error of the requests expected at an upstream."""
        self._load_error.record(requests)

    def load_spread(self, service: Service, spread: float) -> None:
        """Set the spread of requests over the upstreams of a service."""
        self._load_spread.set(spread, {"service": service})

    def tokens_used(self, account: Account, tokens: float) -> None:
        """Count tokens charged to an account."""
        self._tokens.add(tokens, self._account_labels(account))

    def retried(self, failure: Failure) -> None:
        """Count a retry that was caused by ``failure``."""
        self._retries.add(1, {"code": failure.code.value})

    def retry_decided(self, cause: ErrorCode, allowed: bool) -> None:
        """Count a retry that the budget allowed or refused."""
        outcome = "allowed" if allowed else "refused"
        self._retry_decisions.add(1, {"code": cause.value, "outcome": outcome})

    def answer_cut(self, part: AnswerPart) -> None:
        """Count an answer that was cut off beyond a bound."""
        self._answers_cut.add(1, {"part": part.value})

    def borrowed(self, account: Account, tokens: float) -> None:
        """Count tokens borrowed from another entry's share."""
        self._borrowed.add(tokens, self._account_labels(account))

    def config_version(self, version: ConfigVersion) -> None:
        """Set the version of the active configuration."""
        self._version.set(version)

    def store_era(self, era: int) -> None:
        """Set the store era: how often the store was restored from an older copy."""
        self._era.set(era)

    def evacuated_zones(self, count: int) -> None:
        """Set the number of evacuated zones."""
        self._evacuated.set(count)

    def placement_load(self, service: Service, share: float) -> None:
        """Set the share of the time of a service's engines that its demand takes."""
        self._placement_load.set(share, {"service": service})

    def cold_upstreams(self, count: int) -> None:
        """Set the number of cold upstreams."""
        self._cold.set(count)

    def blocked_causes(self, count: int) -> None:
        """Set the number of blocked requests and prompt parts."""
        self._blocked.set(count)

    def thread_failures(self, counts: Mapping[str, int]) -> None:
        """Set the number of errors of each thread that begins anew after one."""
        for thread, count in counts.items():
            self._thread_failures.set(count, {"thread": thread})

    def stream_resumed(self, knowledge: str, accepted: bool) -> None:
        """Count a resumption by its caller, by the source of the version."""
        outcome = "accepted" if accepted else "refused"
        self._resumptions.add(1, {"knowledge": knowledge, "outcome": outcome})

    def known_streams(self, count: int) -> None:
        """Set the number of streams whose version is known."""
        self._known_streams.set(count)

    def share_generation(self, account: Account, generation: int) -> None:
        """Set the generation of an account's share record."""
        self._generation.set(generation, self._account_labels(account))

    def waiting_for_room(self, rank: int, count: int) -> None:
        """Set the number of requests of a rank that wait for room."""
        self._waiting.set(count, {"rank": rank})

    def refused_for_room(self, rank: int, late: bool, unused: bool) -> None:
        """Count a request for which no room was expected in time."""
        self._room_refusals.add(1, {"rank": rank, "late": str(late).lower()})
        if unused:
            self._unused_room.add(1, {"rank": rank})

    def server_load(
        self,
        running: int,
        delay_s: float,
        connections: Mapping[str, int],
        transferred: Mapping[str, int],
        pauses: Mapping[str, float],
    ) -> None:
        """Set the load of the server, and add what it counted since the last call.

        Parameters
        ----------
        connections, transferred : mapping of str to int
            New connections by outcome, and bytes by direction.
        pauses : mapping of str to float
            Seconds without a listener by cause.
        """
        self._threads_busy.set(running)
        self._thread_delay.set(delay_s)
        for outcome, count in connections.items():
            self._connections.add(count, {"outcome": outcome})
        for direction, count in transferred.items():
            self._caller_bytes.add(count, {"direction": direction})
        for cause, seconds in pauses.items():
            self._pauses.add(seconds, {"cause": cause})

    def _account_labels(self, account: Account) -> Labels:
        return {"account": self._accounts.label(account)}

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()
