"""Simulated platform: store, self-registering upstreams and an operator."""

import threading
import time

from returns.result import Success

from persimmonhitch.platform.names import CONFIG_NAME
from persimmonhitch.standin.store_server import StoreApp
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.store.objects import Kind, StoreError
from persimmonhitch.web import WebServer
from soak.upstreams import HEARTBEAT_S, Upstream, UpstreamSpec, derive_rng

HOST = "soak.example"
MODELS = tuple(f"m{n}" for n in range(6))
ADAPTERS = tuple(f"a{n}" for n in range(1, 4))
ZONES = ("z1", "z2")
RECORD_TTL_S = 3 * HEARTBEAT_S
DRAIN_DURATION_S = 2.5
"""Seconds for which an upstream serves after the store has recorded its drain."""
STORE_THREADS = 96
LEDGER, LLM = "ledger", "llm"
RATES = {"large": (40_000, 80_000), "small": (2_500, 5_000), "plain": (0, 0)}
"""Tokens a second and burst of each account; the small one requests more."""
KEYS_PER_ACCOUNT = 6
COLD_S, COLD_REQUESTS_PER_S = 2.0, 4.0
"""Duration of the cold state of an engine, and the requests that it tolerates."""


def service_of(path):
    """Return the service to which the route of a path sends its requests."""
    return LLM if path.startswith(("/chat/", "/tale/")) else LEDGER


def ledger_spec(name, number):
    """Return the spec of an upstream without models."""
    return UpstreamSpec(name, LEDGER, ZONES[number % len(ZONES)], 6)


def engine_spec(name, number):
    """Return the spec of an engine with up to two resident models."""
    first = number % len(MODELS)
    models = (MODELS[first], MODELS[(first + 1) % (len(MODELS) - 1)])
    return UpstreamSpec(name, LLM, ZONES[number % len(ZONES)], 8, tuple(set(models)))


class Operator:
    """Writes configurations, each with one route of its own."""

    def __init__(self, state, records):
        self._state = state
        self._records = records
        self.version = 0
        self.acknowledged_at = {}
        """Time at which the store acknowledged each version."""
        self.sent_at = {}
        """Time at which each version was sent to the store."""
        self.keys = {
            account: [f"{account}-key-{n}" for n in range(KEYS_PER_ACCOUNT)]
            for account in RATES
        }
        self.revoked_in = {}
        """For each revoked key, an acknowledged version without the key."""
        self.evacuated = set()
        """Zones whose evacuation the store has acknowledged."""
        self._lock = threading.Lock()

    def evacuate(self, zone):
        """Evacuate a zone; return whether the store acknowledged it."""
        written = isinstance(self._state.create(Kind.EVACUATION, zone, {}), Success)
        if written:
            self.evacuated.add(zone)
        return written

    def end_evacuation(self, zone):
        """Take an evacuation back; return whether the store acknowledged it."""
        self.evacuated.discard(zone)
        result = self._state.get(Kind.EVACUATION, zone)
        if not isinstance(result, Success):
            return result.failure().error is StoreError.NOT_FOUND
        return isinstance(self._state.delete(result.unwrap()), Success)

    def publish(self):
        """Write the next configuration; return whether the store acknowledged it."""
        with self._lock:
            return self._publish()

    def _publish(self):
        result = self._state.get(Kind.FLEET, CONFIG_NAME)
        current = result.unwrap() if isinstance(result, Success) else None
        if current is None and result.failure().error is not StoreError.NOT_FOUND:
            return False
        if current is not None and current.spec["version"] > self.version:
            # The previous write succeeded but its answer was lost.
            self._acknowledge(current.spec["version"])
        version = self.version + 1
        self.sent_at[version] = time.monotonic()
        spec = self._spec(version)
        if current is None:
            written = self._state.create(Kind.FLEET, CONFIG_NAME, spec)
        else:
            written = self._state.update(current, spec)
        if isinstance(written, Success):
            self._acknowledge(version)
        return isinstance(written, Success)

    def republish(self):
        """Write the newest configuration again if the store has lost it."""
        with self._lock:
            result = self._state.get(Kind.FLEET, CONFIG_NAME)
            current = result.unwrap() if isinstance(result, Success) else None
            if current is None:
                self._state.create(Kind.FLEET, CONFIG_NAME, self._spec(self.version))
            elif current.spec["version"] < self.version:
                self._state.update(current, self._spec(self.version))
        for zone in ZONES:
            if zone in self.evacuated:
                self._state.create(Kind.EVACUATION, zone, {})
            else:
                self.end_evacuation(zone)

    def _acknowledge(self, version):
        self.version = version
        self.acknowledged_at[version] = time.monotonic()

    def revoke(self, account):
        """Revoke a key of an account that has more than two."""
        with self._lock:
            if len(self.keys[account]) <= 2:
                return
            key = self.keys[account].pop()
        end = time.monotonic() + 20
        while not self.publish() and time.monotonic() < end:
            time.sleep(0.1)
        self.revoked_in[key] = self.version

    def _spec(self, version):
        return {
            "version": version,
            "limits": {},
            "tenants": [
                {
                    "name": account,
                    "api_keys": list(self.keys[account]),
                    "rate_per_s": rate,
                    "burst_size": burst,
                    "unit": "tokens",
                    "uncached_tokens": 50,
                }
                for account, (rate, burst) in RATES.items()
            ],
            "services": [_ledger_service(), _llm_service()],
            "routes": [
                _route("book", "non_idempotent", LEDGER, 1500),
                _route("read", "idempotent", LEDGER, 1500),
                _route("chat", "streaming", LLM, 4000),
                {**_route("tale", "streaming", LLM, 4000), "resumable": True},
                _route(f"v{version}", "idempotent", LEDGER, 1500),
            ],
        }


def _route(name, kind, service, timeout):
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "service": service,
        "timeout_ms": timeout,
        "target_latency_ms": timeout // 3,
        "max_attempts": 2,
        "priority": 1,
    }


def _ledger_service():
    return {"name": LEDGER, "health_check_path": "/health", "connection_limit": 96}


def _llm_service():
    models = [
        {
            "name": name,
            "weights_mb": 80.0,
            "load_time_s": 1.0,
            "disk_load_s": 0.3,
            "warm_s": 0.3,
            "adapters": len(ADAPTERS),
            "adapter_size_mb": 0.5,
        }
        for name in MODELS
    ]
    engine = {
        "slots": 8,
        "kv_capacity": 60_000,
        "weights_mb": 200.0,
        "adapter_slots": 4,
        "loads_per_s": 3,
        "models": models,
    }
    return {
        "name": LLM,
        "health_check_path": "/health",
        "engine": engine,
        "cold_start_s": COLD_S,
        "cold_per_s": COLD_REQUESTS_PER_S,
    }


class Platform:
    """Store, upstreams and operator; entries access the store over HTTP."""

    def __init__(
        self, records, rng, engines, ledgers, choose_version, adapt=lambda spec: spec
    ):
        self._adapt = adapt
        """Adapts the spec of each upstream that is added."""
        self._choose_version = choose_version
        self.state = StoreState()
        self.server = WebServer(StoreApp(self.state), "127.0.0.1", 0, STORE_THREADS)
        self.server.start()
        self.records = records
        self.operator = Operator(self.state, records)
        self.upstreams = {}
        self.on_poison = None
        """Callback with each upstream that runs a poison request."""
        self.foreign_names = set()
        """Names of objects that another writer keeps among the records."""
        self.drained_at = {}
        """Time at which the store acknowledged the drain of each upstream."""
        self._rng = rng
        self._written_at = {}
        self._added = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        for number in range(engines):
            self.add(LLM, number)
        for number in range(ledgers):
            self.add(LEDGER, number)
        self.operator.publish()
        threading.Thread(target=self._run_heartbeats, daemon=True).start()

    def stop(self):
        """Stop all upstreams and the store."""
        self._stopped.set()
        for upstream in list(self.upstreams.values()):
            upstream.close()
        self.server.close()

    def add(self, service, number, name=None):
        """Start an upstream."""
        with self._lock:
            self._added += 1
            name = name or f"{service}-{self._added}"
            make = engine_spec if service == LLM else ledger_spec
            spec = self._adapt(make(name, number))
            upstream = Upstream(spec, self.records, derive_rng(self._rng))
            if service == LLM:
                upstream.version = self._choose_version()
            upstream.on_poison = lambda crashed: self.on_poison(crashed)
            self.upstreams[name] = upstream
        return upstream

    def crash(self, upstream):
        """Stop an upstream abruptly; its registration record expires."""
        with self._lock:
            self.upstreams.pop(upstream.spec.name, None)
        upstream.close()

    def restore(self, copy):
        """Restore the store from a copy; records of stopped upstreams in it expire."""
        now = time.monotonic()
        self.state.restore(copy)
        records = {name for kind, name in copy.objects if kind is Kind.UPSTREAM}
        for name in records - self.upstreams.keys() - self.foreign_names:
            self._written_at[name] = now

    def drain(self, upstream):
        """Drain an upstream and stop it."""
        upstream.draining = True
        end = time.monotonic() + 20
        while time.monotonic() < end:
            if self._write_record(upstream, {**upstream.record(), "state": "draining"}):
                break
            time.sleep(0.1)
        upstream.draining_since = time.monotonic()
        self.drained_at[upstream.spec.name] = upstream.draining_since
        time.sleep(DRAIN_DURATION_S)
        with self._lock:
            self.upstreams.pop(upstream.spec.name, None)
        time.sleep(0.5)
        upstream.close()

    def _run_heartbeats(self):
        while not self._stopped.wait(HEARTBEAT_S / 4):
            now = time.monotonic()
            for name, upstream in list(self.upstreams.items()):
                if now - self._written_at.get(name, 0.0) >= HEARTBEAT_S:
                    if self._write_record(upstream, upstream.record()):
                        self._written_at[name] = now
            self._expire_records(now)

    def _expire_records(self, now):
        """Remove records of upstreams without a heartbeat for ``RECORD_TTL_S``."""
        for name, written_at in list(self._written_at.items()):
            if name not in self.upstreams and now - written_at > RECORD_TTL_S:
                result = self.state.get(Kind.UPSTREAM, name)
                if isinstance(result, Success):
                    if not isinstance(self.state.delete(result.unwrap()), Success):
                        continue
                del self._written_at[name]

    def _write_record(self, upstream, spec):
        name = upstream.spec.name
        result = self.state.get(Kind.UPSTREAM, name)
        if isinstance(result, Success):
            return isinstance(self.state.update(result.unwrap(), spec), Success)
        if result.failure().error is not StoreError.NOT_FOUND:
            return False
        return isinstance(self.state.create(Kind.UPSTREAM, name, spec), Success)
