"""What one upstream states about its load, and whether it can be used."""

from ..decide.load_estimate import (
    PRIOR_SAMPLES,
    FiguresCheck,
    FiguresState,
    RunningMean,
    StatedLoad,
)
from ..fleet.call import ServerLoad
from ..ids import Upstream
from ..observe.logs import log


class LoadFigures:
    """Newest stated load of one incarnation of an upstream; not thread-safe."""

    def __init__(self) -> None:
        self._occupancy: RunningMean | None = None
        self._stated: StatedLoad | None = None
        self._check = FiguresCheck()

    @property
    def usable(self) -> StatedLoad | None:
        """Return the newest figures, or None if they must not be used."""
        return self._stated if self._check.state is FiguresState.USABLE else None

    @property
    def occupancy_s(self) -> float | None:
        """Mean time for which a request of this entry held a slot there."""
        return self._occupancy.value if self._occupancy is not None else None

    def record(
        self, name: Upstream, load: ServerLoad | None, own: int, peers: int, now: float
    ) -> None:
        """Record the figures of an answer, and the requests counted there.

        Parameters
        ----------
        name : Upstream
            The upstream, for the log.
        load : ServerLoad or None
            Figures of the answer, None if it had none.
        own, peers : int
            Requests of this entry and of its peers at the upstream.
        now : float
            Monotonic time.
        """
        if load is None:
            # An upstream that has never stated a load is no news.
            if self._stated is not None and self._check.add_silent(now):
                self._log(name)
            return
        requests = load.running + load.waiting
        self._stated = StatedLoad(requests, own, load.slowdown or 1.0, now)
        if self._check.add(requests, own + peers, now):
            self._log(name)

    def record_occupancy(self, seconds: float, service_mean_s: float) -> None:
        """Record the time for which a request held a slot.

        The mean starts from that of all upstreams of the service.
        """
        if self._occupancy is None:
            self._occupancy = RunningMean(service_mean_s, PRIOR_SAMPLES)
        self._occupancy.add(seconds)

    def _log(self, name: Upstream) -> None:
        check = self._check
        if check.state is FiguresState.USABLE:
            log("upstream_load_usable", upstream=name)
            return
        log(
            "upstream_load_unusable",
            upstream=name,
            reason=check.state.value,
            stated=check.stated_mean,
            counted=check.counted_mean,
        )
