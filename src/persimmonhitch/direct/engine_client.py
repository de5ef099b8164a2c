"""HTTP client for load and unload orders to engines and for engine reports."""

import json
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success
from urllib3.connection import HTTPConnection

from ..fleet.upstream import EngineInventory, UpstreamRecord
from ..http_client import InvalidAnswer, MalformedAnswer, bounded_pool, read_body
from ..ids import Adapter, Epoch, Model, Vm
from ..json_input import parse_readable
from ..observe.logs import log
from ..platform import headers, names
from ..platform.upstream_format import decode_report, encode_order
from .upstream_limits import UpstreamLimits

ORDER_TIMEOUT_S: Final = 0.5
"""Engines answer orders in milliseconds; the precondition of the next order detects
an order whose answer was lost."""
MAX_ORDER_ANSWER_BYTES: Final = 64 * 1024
MAX_REPORT_BYTES: Final = 1024 * 1024
"""Maximum size of a report; one of a hundred models with all adapters is smaller."""
MAX_BODY_S: Final = 1.0
"""Maximum time to read the body of an engine's answer."""
RESET_ON_CLOSE: Final = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack("ii", 1, 0),
)
"""Drops unsent bytes on close. The kernel would otherwise deliver an order that has
timed out once a stalled link recovers, perhaps after those of another leader."""


class OrderOutcome(Enum):
    """Result of an order at an engine."""

    ACCEPTED = "accepted"
    ALREADY_DONE = "holds"
    """The engine is already in the ordered state."""
    CONFLICT = "conflict"
    """Another order is in progress, or the order count has changed."""
    FENCED = "fenced"
    GONE = "gone"
    """The expected upstream instance is gone; another instance answers at its
    address."""
    LIMITED = "limited"
    """Not sent, since the request limit of the engine is reached."""
    UNKNOWN = "unknown"
    """No answer: the engine may have executed the order, or may do so seconds later."""


OUTCOME_BY_STATUS: Final = {
    202: OrderOutcome.ACCEPTED,
    200: OrderOutcome.ALREADY_DONE,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.GONE,
}


@dataclass(frozen=True)
class ReportFailure:
    """Why there is no report of an engine."""

    detail: str
    unreachable: bool = False
    """Whether the engine was asked, and its answer was lost or is malformed."""


@dataclass(frozen=True)
class Order:
    """A load or unload command for a model or adapter."""

    load: bool
    model: Model
    adapter: Adapter | None = None


class EngineClient:
    """Sends orders and report requests of the leader to engines."""

    def __init__(
        self,
        vm: Vm,
        limits: UpstreamLimits,
        on_leaving: Callable[[UpstreamRecord], None] = lambda _record: None,
    ) -> None:
        self._vm = vm
        self._on_leaving = on_leaving
        self._limits = limits
        self._http = bounded_pool(
            maxsize=4,
            num_pools=64,
            timeout=urllib3.Timeout(total=ORDER_TIMEOUT_S),
            socket_options=[*HTTPConnection.default_socket_options, RESET_ON_CLOSE],
        )

    def send_order(
        self, record: UpstreamRecord, order: Order, order_count: int, epoch: Epoch
    ) -> OrderOutcome:
        """Send an order that is valid only after ``order_count`` accepted orders."""
        if not self._limits.acquire_order_slot(record):
            return OrderOutcome.LIMITED
        body = encode_order(
            order.load, order.model, order.adapter, order_count, self._vm, epoch
        )
        try:
            answer = self._http.request(
                "POST",
                f"http://{record.host}:{record.port}{names.ORDER_PATH}",
                body=json.dumps(body).encode(),
                headers=headers.order_headers(record.name),
                preload_content=False,
            )
            read_body(answer, MAX_ORDER_ANSWER_BYTES, MAX_BODY_S)
        except InvalidAnswer as exc:
            _log_invalid(record, exc)
            return OrderOutcome.UNKNOWN
        except (urllib3.exceptions.HTTPError, OSError):
            return OrderOutcome.UNKNOWN
        self._check_leaving(record, answer)
        return OUTCOME_BY_STATUS.get(answer.status, OrderOutcome.UNKNOWN)

    def get_report(
        self, record: UpstreamRecord
    ) -> Result[EngineInventory, ReportFailure]:
        """Return an engine's inventory as of some hundred ms ago."""
        if not self._limits.acquire_report_slot(record):
            return Err(ReportFailure("request limit reached"))
        url = f"http://{record.host}:{record.port}{names.REPORT_PATH}"
        try:
            answer = self._http.request(
                "GET",
                url,
                headers=headers.order_headers(record.name),
                preload_content=False,
            )
            data = read_body(answer, MAX_REPORT_BYTES, MAX_BODY_S)
            self._check_leaving(record, answer)
            if answer.status != 200:
                return Err(ReportFailure(f"status {answer.status}"))
            return Success(decode_report(parse_readable(data)))
        except InvalidAnswer as exc:
            _log_invalid(record, exc)
            is_malformed = isinstance(exc, MalformedAnswer)
            return Err(ReportFailure(repr(exc), unreachable=is_malformed))
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return Err(ReportFailure(repr(exc), unreachable=True))
        except ValueError as exc:
            return Err(ReportFailure(repr(exc)))

    def _check_leaving(
        self, record: UpstreamRecord, answer: urllib3.BaseHTTPResponse
    ) -> None:
        fields = {name.lower(): text for name, text in answer.headers.items()}
        if answer.status != headers.MISDIRECTED and headers.is_leaving(fields):
            self._on_leaving(record)


def _log_invalid(record: UpstreamRecord, exc: InvalidAnswer) -> None:
    log("engine_answer_cut", upstream=record.name, reason=str(exc))
