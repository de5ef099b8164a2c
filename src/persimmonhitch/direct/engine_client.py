"""Orders to engines and their reports, over HTTP."""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..fleet.upstream import Holding, UpstreamRecord
from ..ids import Adapter, Epoch, Model, Vm
from ..platform import headers, names
from ..platform.upstream_format import decode_report, encode_order
from .upstream_limits import UpstreamLimits

ORDER_TIMEOUT_S: Final = 0.5
"""Seconds for an answer to an order; engines answer in milliseconds, and one that was
lost is found out by the next order's precondition."""


class OrderOutcome(Enum):
    """What an engine made of an order."""

    ACCEPTED = "accepted"
    ALREADY_DONE = "holds"
    """What the order asks for is so already."""
    CONFLICT = "conflict"
    """Another order is under way, or others came before this one."""
    FENCED = "fenced"
    GONE = "gone"
    """Another instance has the address."""
    LIMITED = "limited"
    """Not sent, since the engine takes no more requests now."""
    UNKNOWN = "unknown"
    """No answer: it may be carried out, now or seconds later."""


OUTCOME_BY_STATUS: Final = {
    202: OrderOutcome.ACCEPTED,
    200: OrderOutcome.ALREADY_DONE,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.GONE,
}


@dataclass(frozen=True)
class Order:
    """One order to one engine."""

    load: bool
    model: Model
    adapter: Adapter | None = None


class EngineClient:
    """Calls engines for the holder of the orders lease."""

    def __init__(self, vm: Vm, limits: UpstreamLimits) -> None:
        self._vm = vm
        self._limits = limits
        self._http = urllib3.PoolManager(
            retries=False, maxsize=4, num_pools=64, timeout=ORDER_TIMEOUT_S
        )

    def send_order(
        self, record: UpstreamRecord, order: Order, order_count: int, epoch: Epoch
    ) -> OrderOutcome:
        """Send an order that counts only after ``orders`` others."""
        if not self._limits.allows_order(record):
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
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return OrderOutcome.UNKNOWN
        return OUTCOME_BY_STATUS.get(answer.status, OrderOutcome.UNKNOWN)

    def get_report(self, record: UpstreamRecord) -> Result[Holding, str]:
        """Return what an engine says that it holds, some hundred ms ago."""
        if not self._limits.allows_report(record):
            return Err("it limits its requests")
        url = f"http://{record.host}:{record.port}{names.REPORT_PATH}"
        try:
            answer = self._http.request(
                "GET", url, headers=headers.order_headers(record.name)
            )
            body: Any = json.loads(answer.data)
            if answer.status != 200:
                return Err(f"status {answer.status}")
            return Success(decode_report(body))
        except (urllib3.exceptions.HTTPError, OSError, ValueError, KeyError) as exc:
            return Err(repr(exc))
