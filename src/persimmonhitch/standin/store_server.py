"""The object API's stand-in over HTTP."""

import json
from collections.abc import Iterator
from typing import Any, Final
from urllib.parse import parse_qs

from returns.result import Result, Success

from ..platform.http_store import GROUP
from ..platform.objects import (
    Event,
    Kind,
    Listing,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)
from ..web import Answer, Body, Request, json_answer, read_request
from ..web.http import Environ, StartResponse
from .store_state import Faults, StoreState

STATUS: Final = {
    StoreError.NOT_FOUND: 404,
    StoreError.EXISTS: 409,
    StoreError.CONFLICT: 409,
    StoreError.EXPIRED: 410,
    StoreError.INVALID: 422,
    StoreError.UNAVAILABLE: 503,
}
REASON: Final = {StoreError.EXISTS: "AlreadyExists", StoreError.CONFLICT: "Conflict"}


def _document(obj: StoredObject) -> dict[str, Any]:
    meta = {"name": obj.name, "resourceVersion": str(obj.version)}
    return {
        "apiVersion": GROUP,
        "kind": obj.kind.value,
        "metadata": meta,
        "spec": obj.spec,
    }


def _failure(exc: StoreFailure) -> Answer:
    body = {"reason": REASON.get(exc.error, exc.error.value), "message": exc.detail}
    return json_answer(STATUS[exc.error], body)


def _one(result: Result[StoredObject, StoreFailure], status: int = 200) -> Answer:
    if isinstance(result, Success):
        return json_answer(status, _document(result.unwrap()))
    return _failure(result.failure())


def _listing(listing: Listing) -> Answer:
    meta = {"resourceVersion": str(listing.version)}
    items = [_document(obj) for obj in listing.items]
    return json_answer(200, {"metadata": meta, "items": items})


def _line(result: Result[Event, StoreFailure]) -> bytes:
    event = result.unwrap()
    item = {"type": event.type.value, "object": _document(event.object)}
    return json.dumps(item).encode() + b"\n"


class StoreApp:
    """WSGI application over a ``StoreState``; ``POST /faults`` sets its faults."""

    def __init__(self, state: StoreState) -> None:
        self.state = state

    def __call__(self, environ: Environ, start_response: StartResponse) -> Body:
        """Answer one call."""
        result = read_request(environ)
        if not isinstance(result, Success):
            return json_answer(413, {"message": "too large"}).send(start_response)
        return self._answer(result.unwrap()).send(start_response)

    def _answer(self, req: Request) -> Answer:
        if req.path == "/faults":
            self.state.faults = Faults(**json.loads(req.body))
            return json_answer(200, {})
        if req.path == "/calls":
            return json_answer(200, self.state.calls)
        parts = req.path.removeprefix(f"/apis/{GROUP}/").split("/")
        kind = Kind(parts[0])
        if len(parts) == 1:
            return self._collection(kind, req)
        return self._object(kind, parts[1], req)

    def _collection(self, kind: Kind, req: Request) -> Answer:
        if req.method == "POST":
            body = json.loads(req.body)
            created = self.state.create(kind, body["metadata"]["name"], body["spec"])
            return _one(created, 201)
        query = parse_qs(req.query)
        if "watch" in query:
            return self._watch(kind, query)
        result = self.state.list_all(kind)
        if isinstance(result, Success):
            return _listing(result.unwrap())
        return _failure(result.failure())

    def _object(self, kind: Kind, name: str, req: Request) -> Answer:
        if req.method == "GET":
            return _one(self.state.get(kind, name))
        body = json.loads(req.body)
        if req.method == "PUT":
            version = Version(int(body["metadata"]["resourceVersion"]))
            old = StoredObject(kind, name, version, {})
            return _one(self.state.update(old, body["spec"]))
        version = Version(int(body["preconditions"]["resourceVersion"]))
        result = self.state.delete(StoredObject(kind, name, version, {}))
        if isinstance(result, Success):
            return json_answer(200, {})
        return _failure(result.failure())

    def _watch(self, kind: Kind, query: dict[str, list[str]]) -> Answer:
        after = Version(int(query["resourceVersion"][0]))
        events = self.state.watch(kind, after, float(query["timeoutSeconds"][0]))
        first = next(events, None)
        if first is not None and not isinstance(first, Success):
            return _failure(first.failure())

        def lines() -> Iterator[bytes]:
            if first is not None:
                yield _line(first)
            for result in events:
                if not isinstance(result, Success):
                    return
                yield _line(result)

        return Answer(200, {"Content-Type": "application/json"}, lines())
