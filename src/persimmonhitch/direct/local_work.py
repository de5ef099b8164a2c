"""Requests of this entry that run at one upstream."""

from dataclasses import dataclass, field

from ..decide.dispatch import DispatchRequest
from ..ids import Adapter, Model, Upstream
from .peer_messages import ModelUse, UpstreamWork


@dataclass
class LocalWork:
    """Counts of this entry's running requests at one upstream."""

    requests: int = 0
    kv_tokens: int = 0
    prefill_tokens: int = 0
    """Work of reading the prompts that have not returned their first token yet."""
    model_counts: dict[tuple[Model, Adapter | None], int] = field(default_factory=dict)
    """Number of requests per model and adapter."""
    busy_since: float = 0.0
    """Monotonic time since which at least one of the requests has been running."""

    def start(self, request: DispatchRequest, now: float) -> None:
        """Count a request that is sent."""
        if not self.requests:
            self.busy_since = now
        self.requests += 1
        self.kv_tokens += request.kv_tokens
        self.prefill_tokens += request.read_work
        if request.model is not None:
            key = (request.model, request.adapter)
            self.model_counts[key] = self.model_counts.get(key, 0) + 1

    def finish(self, request: DispatchRequest, prefill_done: bool) -> None:
        """Subtract a request that has ended."""
        self.requests -= 1
        self.kv_tokens -= request.kv_tokens
        if not prefill_done:
            self.prefill_tokens -= request.read_work
        if request.model is not None:
            key = (request.model, request.adapter)
            self.model_counts[key] -= 1
            if not self.model_counts[key]:
                del self.model_counts[key]

    def to_message(self, upstream: Upstream) -> UpstreamWork:
        """Return these counts as a message for peers."""
        uses = tuple(ModelUse(model, adapter) for model, adapter in self.model_counts)
        prefill = max(0, self.prefill_tokens)
        return UpstreamWork(upstream, self.requests, self.kv_tokens, prefill, uses)
