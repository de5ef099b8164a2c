"""The calls of this entry that one upstream runs now."""

from dataclasses import dataclass, field

from ..decide.dispatch import Need
from ..ids import Adapter, Model, Upstream
from .news import Running, Use


@dataclass
class Work:
    """Calls of this entry at one upstream."""

    requests: int = 0
    tokens: int = 0
    unread: int = 0
    """Prompt tokens that it has yet to read."""
    models: dict[tuple[Model, Adapter | None], int] = field(default_factory=dict)
    """Calls that use each model and adapter."""
    idle_until: float = 0.0
    """When the first of the calls that run now was sent."""

    def start(self, need: Need, now: float) -> None:
        """Count a call that is sent."""
        if not self.requests:
            self.idle_until = now
        self.requests += 1
        self.tokens += need.tokens
        self.unread += need.prompt
        if need.model is not None:
            key = (need.model, need.adapter)
            self.models[key] = self.models.get(key, 0) + 1

    def finish(self, need: Need, was_read: bool) -> None:
        """Count a call that has ended."""
        self.requests -= 1
        self.tokens -= need.tokens
        if not was_read:
            self.unread -= need.prompt
        if need.model is not None:
            key = (need.model, need.adapter)
            self.models[key] -= 1
            if not self.models[key]:
                del self.models[key]

    def running(self, upstream: Upstream) -> Running:
        """Return it as the peers are told."""
        uses = tuple(Use(model, adapter) for model, adapter in self.models)
        unread = max(0, self.unread)
        return Running(upstream, self.requests, self.tokens, unread, uses)
