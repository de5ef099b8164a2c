"""Upstreams that have asked this entry for a time without requests."""

from collections.abc import Iterable

from ..decide.dispatch import UpstreamView
from ..decide.poison import UpstreamInstance
from ..decide.rest_periods import RestPeriod
from ..ids import Upstream
from ..observe.logs import log


class RestingUpstreams:
    """Rest periods by instance; not thread-safe, times are monotonic seconds."""

    def __init__(self) -> None:
        self._periods: dict[Upstream, tuple[UpstreamInstance, RestPeriod]] = {}

    def __len__(self) -> int:
        return len(self._periods)

    def extend(self, instance: UpstreamInstance, seconds: float, now: float) -> None:
        """Apply a rest period that an instance asks for."""
        pair = self._periods.get(instance.name)
        if pair is None or pair[0] != instance:
            pair = self._periods[instance.name] = instance, RestPeriod()
        period = pair[1]
        was_resting = period.wait_s(now) > 0
        period.extend(seconds, now)
        if not was_resting:
            log(
                "upstream_rests",
                upstream=instance.name,
                asked=seconds,
                rest=period.wait_s(now),
            )

    def exclude(self, views: Iterable[UpstreamView], now: float) -> set[Upstream]:
        """Limit the traffic of resting upstreams; return those that get none."""
        excluded = set()
        for view in views:
            pair = self._periods.get(view.upstream)
            if pair is None:
                continue
            view.traffic_share = min(view.traffic_share, pair[1].traffic_share(now))
            if pair[1].wait_s(now) > 0:
                excluded.add(view.upstream)
        return excluded

    def wait_s(self, upstream: Upstream, now: float) -> float:
        """Return the seconds until the rest period of an upstream ends."""
        pair = self._periods.get(upstream)
        return pair[1].wait_s(now) if pair is not None else 0.0

    def update(self, instances: Iterable[UpstreamInstance], now: float) -> None:
        """Drop periods that have ended, and those of instances no longer listed."""
        listed = set(instances)
        self._periods = {
            name: (instance, period)
            for name, (instance, period) in self._periods.items()
            if instance in listed and period.traffic_share(now) < 1.0
        }
