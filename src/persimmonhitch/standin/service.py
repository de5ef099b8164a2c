"""Simulated plain service that counts the requests it has run."""

import threading
import time
from typing import Any

from returns.result import Success

from ..web import Answer, Body, json_answer, read_request
from ..web.http import Environ, StartResponse


class ServiceApp:
    """WSGI application of one plain service.

    Each request is counted by its id before it is answered. Tests compare the counts
    with the verdicts that callers received.
    """

    def __init__(self, delay: float = 0.0) -> None:
        self.delay = delay
        self.runs: dict[str, int] = {}
        self.headers: list[dict[str, str]] = []
        self.times: list[float] = []
        self._lock = threading.Lock()

    def __call__(self, environ: Environ, start_response: StartResponse) -> Body:
        """Answer one request."""
        result = read_request(environ)
        if not isinstance(result, Success):
            return json_answer(413, {"error": "too large"}).send(start_response)
        req = result.unwrap()
        if req.path == "/_runs":
            seen = {"runs": self.runs, "headers": self.headers, "times": self.times}
            return json_answer(200, seen).send(start_response)
        return self._run(req.method, req.path, req.headers, req.body).send(
            start_response
        )

    def _run(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        request = headers.get("x-request-id", "")
        with self._lock:
            self.runs[request] = self.runs.get(request, 0) + 1
            self.headers.append(headers)
            self.times.append(time.monotonic())
        time.sleep(self.delay)
        value: dict[str, Any] = {
            "method": method,
            "path": path,
            "length": len(body),
            "request": request,
        }
        return json_answer(200, value)
