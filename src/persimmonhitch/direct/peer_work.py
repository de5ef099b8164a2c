"""Work of the peers at each upstream, from the updates that they send."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Final

from ..decide.load_estimate import DEFAULT_NEWS_AGE_S, RunningMean
from ..ids import Upstream, Vm
from .peer_messages import EntryUpdate, ModelUse, UpstreamWork

PEER_UPDATE_TTL_S: Final = 1.5
"""Time after which the work of an unresponsive peer is dropped; long enough for updates
to be relayed over another path when an overlay parent has died."""


@dataclass
class WorkTotals:
    """Work of all peers at one upstream."""

    requests: int = 0
    kv_tokens: int = 0
    prefill_tokens: int = 0

    def add(self, work: UpstreamWork, sign: int) -> None:
        """Add the work of one peer, or subtract it if ``sign`` is -1."""
        self.requests += sign * work.requests
        self.kv_tokens += sign * work.kv_tokens
        self.prefill_tokens += sign * work.prefill_tokens


@dataclass
class _Peer:
    received_at: float
    work: dict[Upstream, UpstreamWork] = field(default_factory=dict)


class PeerWork:
    """Totals over all peers, updated incrementally; times are monotonic seconds.

    The cost of a lookup does not depend on the number of entries.
    """

    def __init__(self) -> None:
        self._peers: dict[Vm, _Peer] = {}
        self._totals: defaultdict[Upstream, WorkTotals] = defaultdict(WorkTotals)
        self._news_age = RunningMean(DEFAULT_NEWS_AGE_S)

    @property
    def news_age_s(self) -> float:
        """Mean age of the counts: that of an update on arrival and half an interval."""
        return self._news_age.value

    def receive(
        self, vm: Vm, msg: EntryUpdate, now: float, as_of: float | None = None
    ) -> None:
        """Apply the full or incremental update of a peer, sent at ``as_of``."""
        peer = self._peers.setdefault(vm, _Peer(now))
        if as_of is not None:
            self._news_age.add(now - as_of + (now - peer.received_at) / 2)
        peer.received_at = now
        if msg.is_full:
            reported = {item.upstream for item in msg.work}
            for name in [name for name in peer.work if name not in reported]:
                self._totals[name].add(peer.work.pop(name), -1)
        for item in msg.work:
            self._replace(peer, item)

    def _replace(self, peer: _Peer, work: UpstreamWork) -> None:
        totals = self._totals[work.upstream]
        previous = peer.work.pop(work.upstream, None)
        if previous is not None:
            totals.add(previous, -1)
        if work.requests:
            totals.add(work, 1)
            peer.work[work.upstream] = work

    def expire(self, now: float) -> None:
        """Drop the work of peers whose updates have stopped."""
        expired = [
            vm
            for vm, peer in self._peers.items()
            if now - peer.received_at > PEER_UPDATE_TTL_S
        ]
        for vm in expired:
            for item in self._peers.pop(vm).work.values():
                self._totals[item.upstream].add(item, -1)

    def totals_at(self, upstream: Upstream) -> WorkTotals:
        """Return the work of all peers at an upstream."""
        return self._totals.get(upstream) or WorkTotals()

    def model_uses(self, upstream: Upstream) -> Counter[ModelUse]:
        """Return the models and adapters that requests of peers use at an upstream.

        Each is counted once per peer, however many of its requests use it.
        """
        work = (peer.work.get(upstream) for peer in self._peers.values())
        return Counter(
            use for item in work if item is not None for use in item.model_uses
        )
