"""Crashes of upstreams, and what was lost with them."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from ..ids import PART_PREFIX, Cause, Fingerprint, PartId, Service, Upstream

SUSPECT_CRASHES: Final = 2
"""Crashes after which a request or part runs in isolation. Most requests lost in a
single crash did not cause the crash and are retried at once."""
BLOCK_CRASHES: Final = 3
"""Unexplained crashes after which a request or part is blocked."""
TIED_LIMIT: Final = 6
"""Crashes after which a block no longer waits for a crash that tells suspects apart."""
SETTLE_S: Final = 0.6
"""Seconds after a crash until all entries have reported their lost requests; earlier, a
request may wrongly appear to be the only suspect."""
MAX_LOST: Final = 256
"""Lost requests recorded per crash; an engine runs fewer."""
MAX_LOST_PARTS: Final = 512
"""Prompt parts recorded per crash."""
PART_SEPARATOR: Final = "."


def join_parts(parts: Iterable[PartId]) -> Cause:
    """Return the name of a combination of parts."""
    return Cause(PART_SEPARATOR.join(sorted(parts)))


def split_parts(cause: Cause) -> frozenset[PartId]:
    """Return the parts of a combination, none for a fingerprint."""
    parts = frozenset(map(PartId, map(Cause, cause.split(PART_SEPARATOR))))
    return parts if all(map(is_part, parts)) else frozenset()


def is_part(name: str) -> bool:
    """Return whether a name is that of a part, not a fingerprint."""
    return name.startswith(PART_PREFIX)


@dataclass(frozen=True)
class UpstreamInstance:
    """One run of an upstream; it may restart under the same name."""

    name: Upstream
    started_at_ms: int


@dataclass(frozen=True)
class ServiceSize:
    """The service of an upstream, and how many upstreams it has."""

    service: Service
    upstreams: int


@dataclass
class Crash:
    """Requests lost with an upstream that may have crashed; times are monotonic."""

    at: float
    """Latest reported time at which the upstream lost a request."""
    received_at: float
    """When this entry received the first report of the crash."""
    first_at: float = math.inf
    """Earliest reported time at which it lost a request. An entry that was paused
    notices its losses, and reports them, later than others."""
    confirmed: bool = False
    reachable: bool = False
    """Whether the upstream accepted a connection after it."""
    lost: dict[Fingerprint, bool] = field(default_factory=dict)
    """Lost requests, and whether each had just begun or had no answer yet."""
    carriers: dict[PartId, set[Fingerprint]] = field(default_factory=dict)
    """Lost requests by prompt part."""
    size: ServiceSize | None = None
    """The service of the upstream as listed before the crash, if it was listed."""
    _suspects: set[Fingerprint] | None = field(default=None, init=False)
    _suspect_parts: dict[PartId, set[Fingerprint]] | None = field(
        default=None, init=False
    )
    """Results of ``suspects`` and ``suspect_parts`` until the next change."""

    @property
    def latest_at(self) -> float:
        """Return when the crash happened or was first reported, if later."""
        return max(self.at, self.received_at)

    @property
    def is_pending(self) -> bool:
        """Return whether the end of the process may be confirmed at any moment."""
        return not (self.confirmed or self.reachable)

    @property
    def has_room(self) -> bool:
        """Return whether further lost requests are recorded."""
        return len(self.lost) < MAX_LOST

    def add_request(self, fingerprint: Fingerprint, is_new: bool) -> None:
        """Record a lost request, and whether it had just begun."""
        self.lost[fingerprint] = is_new
        self._discard_suspects()

    def clear_request(self, fingerprint: Fingerprint) -> bool:
        """Remove a request that has completed; return whether it was lost."""
        if self.lost.pop(fingerprint, None) is None:
            return False
        self._discard_suspects()
        return True

    def clear_part(self, part: PartId) -> bool:
        """Remove a part that has completed; return whether a lost request had it."""
        if self.carriers.pop(part, None) is None:
            return False
        self._discard_suspects()
        return True

    def _discard_suspects(self) -> None:
        self._suspects = self._suspect_parts = None

    def add_parts(self, lost: Mapping[Fingerprint, Iterable[PartId]]) -> bool:
        """Record the prompt parts of lost requests; return whether any is new."""
        changed = False
        for fingerprint, parts in lost.items():
            for part in parts:
                if part in self.carriers or len(self.carriers) < MAX_LOST_PARTS:
                    requests = self.carriers.setdefault(part, set())
                    changed |= fingerprint not in requests
                    requests.add(fingerprint)
        if changed:
            self._discard_suspects()
        return changed

    def suspects(self) -> set[Fingerprint]:
        """Return the requests that may have caused the crash."""
        if self._suspects is None:
            recent = {request for request, is_new in self.lost.items() if is_new}
            self._suspects = recent or set(self.lost)
        return self._suspects

    def suspect_parts(self) -> dict[PartId, set[Fingerprint]]:
        """Return the parts of suspects, with the suspects that have each part."""
        if self._suspect_parts is None:
            suspects = self.suspects()
            found = {part: lost & suspects for part, lost in self.carriers.items()}
            self._suspect_parts = {part: lost for part, lost in found.items() if lost}
        return self._suspect_parts
