"""HTTP client for the orders and the inventory of an engine."""

import json
from enum import Enum
from typing import Any, Final, Protocol

import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..http_client import InvalidAnswer, bounded_pool, read_body
from ..ids import Adapter, Epoch, Model
from ..json_input import parse_readable
from ..wire.placement import Copy
from .ledger import Answer, Listed

LOAD_MODEL: Final = "/v1/load_model"
UNLOAD_MODEL: Final = "/v1/unload_model"
LOAD_ADAPTER: Final = "/v1/load_lora_adapter"
UNLOAD_ADAPTER: Final = "/v1/unload_lora_adapter"
MODELS: Final = "/v1/models"
LIST_TIMEOUT_S: Final = 2.0
MAX_LISTING_BYTES: Final = 1024 * 1024
MAX_ORDER_ANSWER_BYTES: Final = 64 * 1024
MAX_BODY_S: Final = 2.0
"""Maximum time to read the body of an answer."""


class ListingError(Enum):
    """Reason why the engine returned no inventory."""

    REFUSED = "refused"
    """The engine refused the connection."""
    NO_ANSWER = "no_answer"
    BROKEN = "broken"
    """The answer is malformed."""


class EngineApi(Protocol):
    """Orders and inventory of an engine."""

    def load(self, copy: Copy, memory: float, epoch: Epoch) -> Answer:
        """Load a copy; return when it is ready for requests."""

    def unload(self, copy: Copy, epoch: Epoch) -> Answer:
        """Unload a copy."""

    def listing(self) -> Result[tuple[Listed, ...], ListingError]:
        """Return the copies that use memory."""


class HttpEngine:
    """An engine that accepts orders over HTTP.

    Parameters
    ----------
    url : str
        Base address of the engine.
    order_timeout : float
        Seconds after which a load or unload counts as unanswered.
    """

    def __init__(self, url: str, order_timeout: float) -> None:
        self.url = url.rstrip("/")
        self._timeout = order_timeout
        # The ledger would not know of an order that the library repeats.
        self._http = bounded_pool(maxsize=8)

    def load(self, copy: Copy, memory: float, epoch: Epoch) -> Answer:
        """Load a copy; return when it is ready for requests."""
        path = LOAD_MODEL if copy.adapter is None else LOAD_ADAPTER
        return self._order(path, {**_body(copy, epoch), "memory": memory})

    def unload(self, copy: Copy, epoch: Epoch) -> Answer:
        """Unload a copy."""
        path = UNLOAD_MODEL if copy.adapter is None else UNLOAD_ADAPTER
        return self._order(path, _body(copy, epoch))

    def listing(self) -> Result[tuple[Listed, ...], ListingError]:
        """Return the copies that use memory."""
        try:
            answer = self._http.request(
                "GET",
                self.url + MODELS,
                timeout=LIST_TIMEOUT_S,
                preload_content=False,
            )
            data = read_body(answer, MAX_LISTING_BYTES, MAX_BODY_S)
            items = parse_readable(data)["data"] if answer.status == 200 else None
            if items is None:
                return Err(ListingError.BROKEN)
            return Success(tuple(_listed(item) for item in items))
        except urllib3.exceptions.NewConnectionError:
            return Err(ListingError.REFUSED)
        except (urllib3.exceptions.HTTPError, OSError):
            return Err(ListingError.NO_ANSWER)
        except (InvalidAnswer, ValueError, KeyError, TypeError):
            return Err(ListingError.BROKEN)

    def _order(self, path: str, body: dict[str, Any]) -> Answer:
        try:
            answer = self._http.request(
                "POST",
                self.url + path,
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=self._timeout,
                preload_content=False,
            )
            read_body(answer, MAX_ORDER_ANSWER_BYTES, MAX_BODY_S)
        except (urllib3.exceptions.HTTPError, InvalidAnswer, OSError):
            return Answer.UNKNOWN
        if answer.status == 200:
            return Answer.DONE
        return Answer.REFUSED if answer.status < 500 else Answer.UNKNOWN


def _body(copy: Copy, epoch: Epoch) -> dict[str, Any]:
    body: dict[str, Any] = {"revision": copy.revision, "epoch": epoch}
    if copy.adapter is None:
        return {"model": copy.model, **body}
    return {"lora_name": copy.adapter, "base": copy.model, **body}


def _listed(item: dict[str, Any]) -> Listed:
    base, name = item.get("base"), str(item["id"])
    model = Model(name if base is None else str(base))
    adapter = None if base is None else Adapter(name)
    copy = Copy(model, adapter, str(item["revision"]))
    return Listed(copy, float(item["memory"]), item["state"] == "loaded")
