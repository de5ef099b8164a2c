"""Choice of a sidecar for each attempt, by load, zone and health."""

import random
import threading
import time
from typing import Final

from ..decide.outliers import OutlierDetector
from ..decide.routing import Candidate, RouteRequest, choose
from ..decide.waiting import INITIAL_LOAD_S, INITIAL_RESTART_S, LoadWaitEstimator
from ..decide.warmup import warmup_share
from ..ids import Model, Service, Upstream, Zone
from ..verdict import Failure
from .pool import SidecarPool
from .sidecar_conn import SidecarConn

OUTLIER_INTERVAL_S: Final = 1.0


class Router:
    """Applies the routing policy to the load and latency that this entry observes."""

    def __init__(self, pool: SidecarPool, zone: Zone, rng: random.Random) -> None:
        self._pool = pool
        self._zone = zone
        self._rng = rng
        self._outliers = OutlierDetector()
        self._model_waits = LoadWaitEstimator(INITIAL_LOAD_S)
        self._service_waits = LoadWaitEstimator(INITIAL_RESTART_S)
        self._outliers_updated_at = 0.0
        self._lock = threading.Lock()

    def pick(
        self,
        model: Model,
        service: Service | None,
        cost: float,
        tried: frozenset[Upstream],
    ) -> SidecarConn | None:
        """Return the sidecar for an attempt, or None if no sidecar is available."""
        conns = self._pool.serving(model, service)
        untried = [conn for conn in conns if conn.info.upstream not in tried]
        by_name = {conn.info.upstream: conn for conn in untried or conns}
        now = time.monotonic()
        group = group_of(model, service)
        with self._lock:
            if conns:
                self._estimator(service).record_served(group, now)
            self._update_outliers(now)
            candidates = [self._candidate(c, group, now) for c in by_name.values()]
            chosen = choose(candidates, RouteRequest(self._zone, cost), self._rng)
        return None if chosen is None else by_name[chosen.upstream]

    def _candidate(self, conn: SidecarConn, group: Model, now: float) -> Candidate:
        share = self._outliers.traffic_share(now, conn.info.upstream, group)
        return Candidate(
            upstream=conn.info.upstream,
            zone=conn.info.zone,
            pending=conn.load.pending,
            rate=conn.load.rate,
            share=share * warmup_share(conn.age_of(group, now)),
        )

    def _estimator(self, service: Service | None) -> LoadWaitEstimator:
        return self._model_waits if service is None else self._service_waits

    def refusal(
        self, model: Model, service: Service | None, deadline_at: float
    ) -> Failure | None:
        """Return the failure of a request that can't wait for a first copy, or None.

        A request may always wait for a listed but unreachable copy, since only the
        link to its sidecar has to be restored.
        """
        if self._pool.is_listed(model, service):
            return None
        now, group = time.monotonic(), group_of(model, service)
        with self._lock:
            estimator = self._estimator(service)
            estimator.record_missing(group, now)
            return estimator.refusal(group, now, deadline_at)

    def _update_outliers(self, now: float) -> None:
        if now - self._outliers_updated_at >= OUTLIER_INTERVAL_S:
            self._outliers_updated_at = now
            self._outliers.update(now, self._pool.copies())

    def record_latency(self, upstream: Upstream, group: Model, seconds: float) -> None:
        """Record a latency that does not depend on the length of the request.

        For a model this is the mean time between tokens, for a service the time to
        the head of the answer.
        """
        with self._lock:
            self._outliers.on_latency(time.monotonic(), upstream, group, seconds)

    def record_failure(self, upstream: Upstream) -> None:
        """Record an attempt that failed at the upstream."""
        with self._lock:
            self._outliers.on_failure(upstream)


def group_of(model: Model, service: Service | None) -> Model:
    """Return the name of the group whose upstreams are compared with each other."""
    return model if service is None else Model(f"service:{service}")
