"""Model of one entry: its view of the upstreams and its choice."""

from random import Random

from ..decide.outliers import OutlierDetector
from ..decide.routing import Candidate, RouteRequest, UpstreamLoad
from ..decide.warmup import warmup_share
from ..ids import Upstream, Zone
from .calls import Call
from .policy import Policy
from .sidecar import SidecarModel


class EntryModel:
    """View of the upstreams by one entry, and its decisions."""

    def __init__(self, zone: Zone, policy: Policy, rng: Random) -> None:
        self.zone = zone
        self.loads: dict[Upstream, UpstreamLoad] = {}
        self.detector = OutlierDetector()
        self._choose = policy.chooser()
        self._policy = policy
        self._rng = rng

    def route(
        self, now: float, call: Call, copies: list[SidecarModel]
    ) -> SidecarModel | None:
        """Return the sidecar that gets a call."""
        candidates = [self._candidate(now, call, each) for each in copies]
        req = RouteRequest(self.zone, call.reserved, call.adapter)
        chosen = self._choose(candidates, req, self._rng)
        if chosen is None:
            return None
        return next(each for each in copies if each.name == chosen.upstream)

    def load(self, upstream: Upstream) -> UpstreamLoad:
        """Return the load of an upstream as seen by this entry."""
        return self.loads.setdefault(upstream, UpstreamLoad())

    def _candidate(self, now: float, call: Call, sidecar: SidecarModel) -> Candidate:
        load = self.load(sidecar.name)
        share = 1.0
        if self._policy.ejects:
            share = self.detector.traffic_share(now, sidecar.name, call.model)
        if self._policy.warms_up:
            share *= warmup_share(now - sidecar.models[call.model])
        return Candidate(
            upstream=sidecar.name,
            zone=sidecar.zone,
            pending=load.pending,
            rate=load.rate,
            share=share,
            cached_prefix=sidecar.engine.warm_prefix(call.prefix),
            has_adapter=sidecar.engine.has_adapter(call.adapter),
        )
