"""Upstreams that have asked this entry for a time without requests."""

from collections.abc import Iterable

from ..decide.backoff import Backoff
from ..decide.crashes import UpstreamInstance
from ..decide.dispatch import UpstreamView
from ..ids import Upstream
from ..observe.logs import log


class UpstreamBackoffs:
    """Backoffs by instance; not thread-safe, times are monotonic seconds."""

    def __init__(self) -> None:
        self._periods: dict[Upstream, tuple[UpstreamInstance, Backoff]] = {}

    def __len__(self) -> int:
        return len(self._periods)

    def extend(self, instance: UpstreamInstance, seconds: float, now: float) -> None:
        """Apply a backoff that an instance asks for."""
        pair = self._periods.get(instance.name)
        if pair is None or pair[0] != instance:
            pair = self._periods[instance.name] = instance, Backoff()
        period = pair[1]
        was_backed_off = period.wait_s(now) > 0
        period.extend(seconds, now)
        if not was_backed_off:
            log(
                "upstream_backoff",
                upstream=instance.name,
                asked=seconds,
                wait=period.wait_s(now),
            )

    def exclude(self, views: Iterable[UpstreamView], now: float) -> set[Upstream]:
        """Limit the traffic of upstreams in a backoff; return those that get none."""
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
        """Return the seconds until the backoff of an upstream ends."""
        pair = self._periods.get(upstream)
        return pair[1].wait_s(now) if pair is not None else 0.0

    def update(self, instances: Iterable[UpstreamInstance], now: float) -> None:
        """Drop periods that have ended, and those of instances that were replaced.

        An instance that is not listed may be listed again: records of running upstreams
        lapse.
        """
        listed = {instance.name: instance for instance in instances}
        self._periods = {
            name: (instance, period)
            for name, (instance, period) in self._periods.items()
            if listed.get(name, instance) == instance
            and period.traffic_share(now) < 1.0
        }
