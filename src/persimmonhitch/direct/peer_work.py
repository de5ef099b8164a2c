"""What the other entries run at each upstream, from what they tell."""

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

from ..ids import Upstream, Vm
from .news import NodeNews, Running, Use

PEER_NEWS_LIFE: Final = 1.5
"""Seconds after which a silent peer's work counts as done; what a parent that has died
no longer passes on comes by another way before that."""


@dataclass
class Sum:
    """Work of all peers at one upstream."""

    requests: int = 0
    tokens: int = 0
    unread: int = 0

    def add(self, item: Running, sign: int) -> None:
        """Count one peer's work, or take it off."""
        self.requests += sign * item.requests
        self.tokens += sign * item.tokens
        self.unread += sign * item.unread


@dataclass
class _Peer:
    heard_at: float
    running: dict[Upstream, Running] = field(default_factory=dict)


class PeerWork:
    """Sums over all peers, kept as they change; times are monotonic seconds.

    A look at an upstream then costs the same however many entries there are.
    """

    def __init__(self) -> None:
        self._peers: dict[Vm, _Peer] = {}
        self._sums: defaultdict[Upstream, Sum] = defaultdict(Sum)

    def hear(self, vm: Vm, msg: NodeNews, now: float) -> None:
        """Take what a peer runs, or what has changed of it."""
        peer = self._peers.setdefault(vm, _Peer(now))
        peer.heard_at = now
        if msg.whole:
            told = {item.upstream for item in msg.running}
            for name in [name for name in peer.running if name not in told]:
                self._sums[name].add(peer.running.pop(name), -1)
        for item in msg.running:
            self._replace(peer, item)

    def _replace(self, peer: _Peer, item: Running) -> None:
        total = self._sums[item.upstream]
        old = peer.running.pop(item.upstream, None)
        if old is not None:
            total.add(old, -1)
        if item.requests:
            total.add(item, 1)
            peer.running[item.upstream] = item

    def expire(self, now: float) -> None:
        """Forget peers that have said nothing for long."""
        silent = [
            vm
            for vm, peer in self._peers.items()
            if now - peer.heard_at > PEER_NEWS_LIFE
        ]
        for vm in silent:
            for item in self._peers.pop(vm).running.values():
                self._sums[item.upstream].add(item, -1)

    def at(self, upstream: Upstream) -> Sum:
        """Return the work of all peers at an upstream."""
        return self._sums.get(upstream) or Sum()

    def uses(self, upstream: Upstream) -> set[Use]:
        """Return what calls of peers use at an upstream."""
        found = (peer.running.get(upstream) for peer in self._peers.values())
        return {use for item in found if item is not None for use in item.uses}

    def running(self) -> list[Running]:
        """Return all work that peers have told."""
        return [item for peer in self._peers.values() for item in peer.running.values()]
