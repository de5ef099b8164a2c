"""Simulated model engine: batching, prefix cache, orders and load report."""

import hashlib
import itertools
import json
import threading
import time
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Final

from returns.result import Success

from ..web import Answer, Body, Request, json_answer, read_request
from ..web.http import Environ, StartResponse
from .engine_orders import ORDER_PATHS, EngineOrders, OrderFaults

PREFIX_CHARS: Final = 256
"""Number of characters that identify a prompt in the prefix cache."""
MAX_PREFIXES: Final = 64
DEFAULT_MAX_TOKENS: Final = 16


@dataclass(frozen=True)
class EngineSpeed:
    """Duration of work in seconds; each further running request slows a step."""

    prefill: float = 0.02
    step: float = 0.005
    slowdown: float = 0.05

    def gap(self, running: int) -> float:
        """Return seconds between two tokens of one request."""
        return self.step * (1.0 + self.slowdown * max(0, running - 1))


class EngineApp:
    """WSGI application of one engine.

    It repeats the words of the last message, so that a test can check whether a
    caller received the answer to its own prompt.
    """

    def __init__(self, orders: EngineOrders, speed: EngineSpeed) -> None:
        self.orders = orders
        self.speed = speed
        self.started: list[str] = []
        self.seen_headers: list[dict[str, str]] = []
        self._running = 0
        self._generated = 0
        self._lock = threading.Lock()
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def __call__(self, environ: Environ, start_response: StartResponse) -> Body:
        """Answer one request."""
        result = read_request(environ)
        if not isinstance(result, Success):
            return json_answer(413, {"error": "too large"}).send(start_response)
        return self._answer(result.unwrap()).send(start_response)

    def _answer(self, req: Request) -> Answer:
        match req.method, req.path:
            case "POST", "/v1/chat/completions":
                return self._chat(req)
            case "POST", str(path) if path in ORDER_PATHS:
                return self.orders.take(path, json.loads(req.body))
            case "GET", "/v1/models":
                data = self.orders.listing()
                return json_answer(200, {"object": "list", "data": data})
            case "POST", "/faults":
                self.orders.faults = OrderFaults(**json.loads(req.body))
                return json_answer(200, {})
            case "GET", "/memory":
                return json_answer(200, self.orders.memory_state())
            case "GET", "/load":
                load = {"running": self._running, "generated": self._generated}
                return json_answer(200, load)
            case "GET", "/seen":
                seen = {"started": self.started, "headers": self.seen_headers}
                return json_answer(200, seen)
        return json_answer(404, {"error": "no such path"})

    def _chat(self, req: Request) -> Answer:
        body = json.loads(req.body)
        with self._lock:
            self.started.append(req.headers.get("x-request-id", ""))
            self.seen_headers.append(req.headers)
        if not self.orders.serves(body["model"]):
            return json_answer(404, {"error": f"model {body['model']} is not loaded"})
        words = str(body["messages"][-1]["content"]).split() or ["(empty)"]
        count = int(body.get("max_tokens", DEFAULT_MAX_TOKENS))
        tokens = itertools.islice(itertools.cycle(words), count)
        paced = self._paced(req, json.dumps(body["messages"]), tokens)
        prompt = len(req.body) // 4
        if body.get("stream"):
            events = self._events(body["model"], paced, prompt, count)
            return Answer(200, {"Content-Type": "text/event-stream"}, events)
        text = " ".join(paced)
        return json_answer(200, _completion(body["model"], text, prompt, count))

    def _paced(self, req: Request, prompt: str, tokens: Iterator[str]) -> Iterator[str]:
        with self._lock:
            self._running += 1
        try:
            time.sleep(self._prefill(prompt))
            for token in tokens:
                if req.disconnected():
                    return
                self._generated += 1
                yield token
                time.sleep(self.speed.gap(self._running))
        finally:
            with self._lock:
                self._running -= 1

    def _prefill(self, prompt: str) -> float:
        prefix = hashlib.sha256(prompt[:PREFIX_CHARS].encode()).hexdigest()
        with self._lock:
            warm = prefix in self._prefixes
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
            if len(self._prefixes) > MAX_PREFIXES:
                self._prefixes.popitem(last=False)
        return self.speed.prefill * (0.2 if warm else 1.0)

    def _events(
        self, model: str, tokens: Iterator[str], prompt: int, count: int
    ) -> Iterator[bytes]:
        for token in tokens:
            delta = {"index": 0, "delta": {"content": token + " "}}
            yield _event({"object": "chat.completion.chunk", "choices": [delta]})
        last: dict[str, Any] = {"index": 0, "delta": {}, "finish_reason": "stop"}
        chunk = {"object": "chat.completion.chunk", "choices": [last]}
        yield _event({**chunk, "model": model, "usage": _usage(prompt, count)})
        yield b"data: [DONE]\n\n"


def _usage(prompt: int, count: int) -> dict[str, int]:
    return {
        "prompt_tokens": prompt,
        "completion_tokens": count,
        "total_tokens": prompt + count,
    }


def _completion(model: str, text: str, prompt: int, count: int) -> dict[str, Any]:
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return {
        "object": "chat.completion",
        "model": model,
        "choices": [choice],
        "usage": _usage(prompt, count),
    }


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"
