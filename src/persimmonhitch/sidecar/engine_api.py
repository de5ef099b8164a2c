"""Orders to an engine and its own list, over HTTP."""

import json
from enum import Enum
from typing import Any, Final, Protocol

import urllib3
from returns.result import Failure as Err
from returns.result import Result, Success

from ..ids import Adapter, Epoch, Model
from ..wire.placement import Copy
from .ledger import Answer, Listed

LOAD_MODEL: Final = "/v1/load_model"
UNLOAD_MODEL: Final = "/v1/unload_model"
LOAD_ADAPTER: Final = "/v1/load_lora_adapter"
UNLOAD_ADAPTER: Final = "/v1/unload_lora_adapter"
MODELS: Final = "/v1/models"
LIST_TIMEOUT: Final = 2.0


class Silence(Enum):
    """Why the engine gave no list."""

    REFUSED = "refused"
    """It takes no connection."""
    NO_ANSWER = "no_answer"
    BROKEN = "broken"
    """It answered something else."""


class EngineApi(Protocol):
    """What the sidecar orders of an engine."""

    def load(self, copy: Copy, memory: float, epoch: Epoch) -> Answer:
        """Load a copy; return once it serves."""

    def unload(self, copy: Copy, epoch: Epoch) -> Answer:
        """Unload a copy."""

    def listing(self) -> Result[tuple[Listed, ...], Silence]:
        """Return the copies that take up memory."""


class HttpEngine:
    """An engine that takes orders over HTTP.

    Parameters
    ----------
    url : str
        Base address of the engine.
    order_timeout : float
        Seconds for a load or unload; after it the order counts as unanswered.
    """

    def __init__(self, url: str, order_timeout: float) -> None:
        self.url = url.rstrip("/")
        self._timeout = order_timeout
        # A retry would put a second order on its way behind the ledger's back.
        self._http = urllib3.PoolManager(retries=False, maxsize=8)

    def load(self, copy: Copy, memory: float, epoch: Epoch) -> Answer:
        """Load a copy; return once it serves."""
        path = LOAD_MODEL if copy.adapter is None else LOAD_ADAPTER
        return self._order(path, {**_body(copy, epoch), "memory": memory})

    def unload(self, copy: Copy, epoch: Epoch) -> Answer:
        """Unload a copy."""
        path = UNLOAD_MODEL if copy.adapter is None else UNLOAD_ADAPTER
        return self._order(path, _body(copy, epoch))

    def listing(self) -> Result[tuple[Listed, ...], Silence]:
        """Return the copies that take up memory."""
        try:
            answer = self._http.request("GET", self.url + MODELS, timeout=LIST_TIMEOUT)
            items = json.loads(answer.data)["data"] if answer.status == 200 else None
            if items is None:
                return Err(Silence.BROKEN)
            return Success(tuple(_listed(item) for item in items))
        except urllib3.exceptions.NewConnectionError:
            return Err(Silence.REFUSED)
        except (urllib3.exceptions.HTTPError, OSError):
            return Err(Silence.NO_ANSWER)
        except (ValueError, KeyError, TypeError):
            return Err(Silence.BROKEN)

    def _order(self, path: str, body: dict[str, Any]) -> Answer:
        try:
            answer = self._http.request(
                "POST",
                self.url + path,
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=self._timeout,
            )
        except (urllib3.exceptions.HTTPError, OSError):
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
