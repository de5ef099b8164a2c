"""HTTP server of the simulated object API."""

import json
from typing import Final
from urllib.parse import parse_qs

from returns.result import Result, Success

from ..platform import names
from ..platform.objects_format import (
    decode_object,
    encode_changes,
    encode_object,
    encode_page,
    parse_path,
)
from ..store.objects import Kind, StoredObject, StoreError, StoreFailure, Version
from ..web import Answer, Body, Request, json_answer, read_request
from ..web.http import Environ, StartResponse
from .store_state import Faults, StoreState

STATUS: Final = {
    StoreError.NOT_FOUND: 404,
    StoreError.EXISTS: 409,
    StoreError.CONFLICT: 409,
    StoreError.EXPIRED: 410,
    StoreError.INVALID: 400,
    StoreError.UNAVAILABLE: 503,
}


def _failure(exc: StoreFailure) -> Answer:
    return json_answer(STATUS[exc.error], {"error": exc.detail})


def _one(result: Result[StoredObject, StoreFailure], status: int = 200) -> Answer:
    if not isinstance(result, Success):
        return _failure(result.failure())
    obj = result.unwrap()
    return json_answer(status, encode_object(obj.name, obj.spec, obj.version))


class StoreApp:
    """WSGI application over a ``StoreState``; ``POST /faults`` sets its faults."""

    def __init__(self, state: StoreState) -> None:
        self.state = state

    def __call__(self, environ: Environ, start_response: StartResponse) -> Body:
        """Answer one request."""
        result = read_request(environ)
        if not isinstance(result, Success):
            return json_answer(413, {"message": "too large"}).send(start_response)
        answer = self._answer(result.unwrap())
        answer.headers[names.STORE_ERA] = str(self.state.era)
        return answer.send(start_response)

    def _answer(self, req: Request) -> Answer:
        if req.path == "/faults":
            self.state.faults = Faults(**json.loads(req.body))
            return json_answer(200, {})
        if req.path == "/calls":
            return json_answer(200, self.state.calls)
        kind, name = parse_path(req.path)
        if kind is None:
            return json_answer(404, {"error": req.path})
        if name:
            return self._object(kind, name, req)
        return self._collection(kind, req)

    def _collection(self, kind: Kind, req: Request) -> Answer:
        if req.method == "POST":
            new = decode_object(kind, json.loads(req.body))
            return _one(self.state.create(kind, new.name, new.spec), 201)
        query = parse_qs(req.query, keep_blank_values=True, errors="surrogateescape")
        if "watch" in query:
            return self._watch(kind, query)
        result = self.state.list_page(kind, query.get("after", [None])[0])
        if isinstance(result, Success):
            return json_answer(200, encode_page(result.unwrap()))
        return _failure(result.failure())

    def _object(self, kind: Kind, name: str, req: Request) -> Answer:
        if req.method == "GET":
            return _one(self.state.get(kind, name))
        if req.method == "PUT":
            new = decode_object(kind, json.loads(req.body))
            return _one(self.state.update(new, new.spec))
        version = Version(int(parse_qs(req.query)["revision"][0]))
        result = self.state.delete(StoredObject(kind, name, version, {}))
        if isinstance(result, Success):
            return json_answer(200, {})
        return _failure(result.failure())

    def _watch(self, kind: Kind, query: dict[str, list[str]]) -> Answer:
        after = Version(int(query["watch"][0]))
        wait = float(query["wait_ms"][0]) / 1000
        result = self.state.watch(kind, after, wait)
        if isinstance(result, Success):
            return json_answer(200, encode_changes(result.unwrap()))
        return _failure(result.failure())
