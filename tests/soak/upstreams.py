"""Upstreams that speak the platform's protocol and note what reaches them."""

import json
import random
import select
import socket
import struct
import threading
import time
from dataclasses import dataclass, field

from relay import Relay

from soak.records import Run

HEARTBEAT = 0.6
STEP = 0.02
EVENTS = 8
RESET = struct.pack("ii", 1, 0)
GUARD = 3.0
"""Seconds that must lie between the orders of two holders to one engine."""
THAW = 0.4
"""Seconds after a fault of an entry in which its orders are not judged."""
LOAD_TIME, DISK_TIME = 1.0, 0.3


def answer_of(request):
    """Return the body of a plain answer."""
    return f"answer to {request} ".encode() * 10


def event_of(request, number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request}-{number}\n\n".encode()


@dataclass(frozen=True)
class Spec:
    """What an upstream is; of a plain service it has no models."""

    name: str
    service: str
    zone: str
    slots: int
    models: tuple[str, ...] = ()
    memory: float = 200.0
    model_memory: float = 80.0
    adapter_slots: int = 4


@dataclass
class Faults:
    """What an upstream does wrong; parts of all requests, from 0 to 1."""

    fail: float = 0.0
    lose: float = 0.0
    late_orders: float = 0.0


@dataclass
class _Request:
    line: list[str]
    headers: dict[str, str]
    body: bytes


@dataclass
class _Held:
    models: dict[str, set[str]] = field(default_factory=dict)
    disk: set[str] = field(default_factory=set)
    orders: int = 0
    loading: str | None = None
    ready_at: float = 0.0
    ending: set[tuple[str, str]] = field(default_factory=set)


class Upstream:
    """One upstream on a port of its own, behind a relay."""

    def __init__(self, spec, records, rng):
        self.spec = spec
        self.faults = Faults()
        self.born = int(time.time() * 1000)
        self.draining_since = None
        self.leaving = False
        self._records = records
        self._rng = rng
        self._running = {}
        self._held = _Held({name: set() for name in spec.models}, set(spec.models))
        self._last_order = None
        self._lock = threading.RLock()
        self._socks = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.relay = Relay(self._listener.getsockname()[1])
        self.closed = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    # -- life --------------------------------------------------------------------

    def close(self):
        """Crash: everything ends at once."""
        self.closed.set()
        self._listener.close()
        self.relay.close()
        for sock in list(self._socks):
            self._break(sock)

    def entry(self):
        """Return what it says of itself in the store."""
        with self._lock:
            self._settle()
            spec = {
                "service": self.spec.service,
                "address": f"127.0.0.1:{self.relay.port}",
                "zone": self.spec.zone,
                "version": "1",
                "slots": self.spec.slots,
                "state": "draining" if self.draining_since else "ready",
                "sequence": int(time.monotonic() * 10),
                "born": self.born,
            }
            if self.spec.models:
                spec["models"] = self._models()
                spec["available"] = {"in_memory": [], "on_disk": list(self._held.disk)}
            return spec

    def _models(self):
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self._held.models.items()
        ]

    # -- connections -------------------------------------------------------------

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._socks.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = sock.makefile("rb")
        try:
            while not self.closed.is_set():
                req = self._read(reader)
                if req is None or not self._answer(req, sock):
                    return
        except (OSError, ValueError):
            # Whoever called has gone; its run has been ended by then.
            return
        finally:
            self._socks.discard(sock)
            sock.close()

    def _read(self, reader):
        line = reader.readline().decode().split()
        if not line:
            return None
        headers = {}
        while text := reader.readline().decode().strip():
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        body = reader.read(int(headers.get("content-length", 0)))
        return _Request(line, headers, body)

    def _break(self, sock):
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.shutdown(socket.SHUT_RD)
            sock.close()
        except OSError:
            return

    def _say(self, sock, status, body=b"", **headers):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return True

    def _answer(self, req, sock):
        expected = req.headers.get("x-persimmonhitch-expected-instance")
        if expected not in (None, self.spec.name):
            name = {"X_Persimmonhitch_Instance_Id": self.spec.name}
            return self._say(sock, 421, **name)
        path = req.line[1]
        if path == "/api/report":
            return self._say(sock, 200, json.dumps(self._report()).encode())
        if path == "/api/order":
            return self._take_order(json.loads(req.body), sock)
        return self._call(req, sock)

    # -- calls -------------------------------------------------------------------

    def _call(self, req, sock):
        request = req.headers.get("x-persimmonhitch-request-id", "")
        refusal = self._refusal(req)
        if refusal is not None:
            extra = {"X_Persimmonhitch_Not_Executed": "1"}
            return self._say(sock, refusal, **extra)
        run = self._start(req, request)
        try:
            return self._work(req, run, sock)
        finally:
            run.ended_at = time.monotonic()
            with self._lock:
                self._running.pop(id(run), None)
                self._settle()

    def _refusal(self, req):
        model = req.headers.get("x-persimmonhitch-model")
        with self._lock:
            self._settle()
            if len(self._running) >= self.spec.slots + 2:
                return 503
            if model is None:
                return None
            name, _, adapter = model.partition("/")
            held = self._held.models.get(name)
            if held is None or (adapter and adapter not in held):
                return 421
        return None

    def _start(self, req, request):
        headers = req.headers
        counts = headers.get("x-persimmonhitch-token-counts", "")
        tokens = sum(int(part) for part in counts.split(",") if part)
        deadline = headers.get("x-persimmonhitch-request-deadline")
        run = Run(
            request=request,
            upstream=self.spec.name,
            service=self.spec.service,
            path=req.line[1],
            account=headers.get("x-persimmonhitch-tenant", ""),
            tokens=tokens,
            key_seen="authorization" in headers,
            deadline_ms=float(deadline) if deadline else None,
            at=time.monotonic(),
            draining_since=self.draining_since,
        )
        self._records.runs.append(run)
        with self._lock:
            self._running[id(run)] = headers.get("x-persimmonhitch-model", "")
        return run

    def _work(self, req, run, sock):
        signed = {
            "X_Persimmonhitch_Response_Signature": f"s.{run.request}",
            "X_Persimmonhitch_Request_Id": run.request,
        }
        if self._rng.random() < self.faults.fail:
            run.broken_by_us = True
            return self._say(sock, 500, b"failed", **signed)
        if "x-persimmonhitch-model" in req.headers:
            return self._stream(run, sock)
        if not self._pause(STEP * 2, sock):
            return False
        if self._rng.random() < self.faults.lose:
            run.broken_by_us = True
            self._break(sock)
            return False
        return self._say(sock, 200, answer_of(run.request), **signed)

    def _stream(self, run, sock):
        head = (
            "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n"
            f"X-Persimmonhitch-Response-Signature: s.{run.request}\r\n"
            f"X-Persimmonhitch-Request-Id: {run.request}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(1, EVENTS + 1):
            if not self._pause(STEP, sock):
                return False
            if self._rng.random() < self.faults.lose / EVENTS:
                run.broken_by_us = True
                self._break(sock)
                return False
            data = event_of(run.request, number)
            chunk = f"{len(data):x}\r\n".encode() + data + b"\r\n"
            sock.sendall((head.encode() if number == 1 else b"") + chunk)
        sock.sendall(b"0\r\n\r\n")
        return True

    def _pause(self, seconds, sock):
        """Work for a while; return False if the caller leaves meanwhile."""
        readable, _, _ = select.select([sock], [], [], seconds)
        return not readable and not self.closed.is_set()

    # -- orders ------------------------------------------------------------------

    def _report(self):
        with self._lock:
            self._settle()
            held = self._held
            return {
                "stage": "colocated",
                "models": self._models(),
                "busy": held.loading is not None,
                "sequence": held.orders,
                "available": {"in_memory": [], "on_disk": sorted(held.disk)},
            }

    def _settle(self):
        held = self._held
        if held.loading is not None and time.monotonic() >= held.ready_at:
            held.models[held.loading] = set()
            held.disk.add(held.loading)
            held.loading = None
        used = set(self._running.values())
        for model, adapter in list(held.ending):
            if f"{model}/{adapter}" not in used:
                held.models.get(model, set()).discard(adapter)
                held.ending.discard((model, adapter))

    def _take_order(self, order, sock):
        self._judge(order)
        if self._rng.random() < self.faults.late_orders:
            delay = self._rng.uniform(1.0, 4.0)
            threading.Timer(delay, self._carry_out, (order,)).start()
            self._break(sock)
            return False
        return self._say(sock, self._carry_out(order))

    def _judge(self, order):
        """Note orders of two holders that come too close to each other."""
        now, holder = time.monotonic(), order["holder"]
        token = order["fencing_token"]
        with self._lock:
            last, self._last_order = self._last_order, (now, holder, token)
        if last is None or last[1] == holder:
            return
        close = now - last[0] < GUARD
        if (token <= last[2] or close) and not self._excused(holder, now):
            self._records.break_promise(
                f"one orderer: {self.spec.name} got epoch {token} of {holder} "
                f"{now - last[0]:.2f} s after epoch {last[2]} of {last[1]}"
            )

    def _excused(self, entry, now):
        return any(
            span.where == entry and span.begin <= now <= span.end + THAW
            for span in self._records.all_spans()
        )

    def _carry_out(self, order):
        with self._lock:
            self._settle()
            held = self._held
            if self.closed.is_set() or held.loading is not None:
                return 409
            if order.get("precondition", held.orders) != held.orders:
                return 409
            if "adapter" in order:
                return self._adapter(order)
            return self._model(order)

    def _adapter(self, order):
        held = self._held
        model, adapter = order["model"], order["adapter"]
        names = held.models.get(model)
        if names is None:
            return 421
        if order["operation"] == "unload":
            held.orders += 1
            if f"{model}/{adapter}" in self._running.values():
                held.ending.add((model, adapter))
                return 202
            names.discard(adapter)
            return 200
        if adapter in names:
            return 200
        held.orders += 1
        names.add(adapter)
        places = sum(len(found) for found in held.models.values())
        if places > self.spec.adapter_slots:
            self._overfull(f"{places} adapters")
        return 202

    def _model(self, order):
        held, model = self._held, order["model"]
        if order["operation"] == "unload":
            if model not in held.models:
                return 200
            held.orders += 1
            del held.models[model]
            return 202
        if model in held.models:
            return 200
        held.orders += 1
        taken = (len(held.models) + 1) * self.spec.model_memory
        if taken > self.spec.memory:
            self._overfull(f"{taken:g} MB of models")
        held.loading = model
        time_taken = DISK_TIME if model in held.disk else LOAD_TIME
        held.ready_at = time.monotonic() + time_taken
        return 202

    def _overfull(self, what):
        self._records.break_promise(f"memory: {self.spec.name} was ordered {what}")


def seeded(rng):
    """Return a generator of its own, so that threads do not disturb its order."""
    return random.Random(rng.random())
