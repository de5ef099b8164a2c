"""Group crashes of upstreams by the moment at which they happened.

Load pattern: a host, a rack, a zone or the power fails and takes many upstreams at the
same moment. A request that callers send often runs on most of them, and so do the parts
that many prompts share. Such a loss says as little about them as a single crash, while
a request that crashes what runs it does so again when it runs alone.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, Generic, TypeVar

from .crashes import Crash

K = TypeVar("K")

EVENT_GAP_S: Final = 0.2
"""Seconds between two crashes of one event. Isolated runs are announced for longer, so
that each of them crashes an upstream in an event of its own."""
EVENT_S: Final = 0.5
"""Seconds from the first to the last crash of an event. A busy entry notices the losses
of one moment one after the other."""
COMMON_LOSS: Final = 3
"""Upstreams lost with one suspect from which the event counts as a single crash. Fewer
may well have run copies of a request that crashes them."""
MIN_IDLE: Final = 2
"""Upstreams lost while they ran no suspect from which an event says nothing at all."""
MIN_UNRELATED: Final = 5
"""Upstreams lost with other requests from which an event says little about a suspect.
Several different requests may each crash an upstream at about the same time."""
MAX_EXCUSED: Final = 1
"""Such events that do not count; the next ones count as a single crash each. Requests
that crash upstreams in step would otherwise excuse each other for good."""


def crash_events(crashes: Iterable[Crash]) -> list[list[Crash]]:
    """Return the confirmed crashes grouped into events, oldest first.

    The groups depend on the earliest reported times of the crashes only, not on the
    order of reports.
    """
    events: list[list[Crash]] = []
    confirmed = (crash for crash in crashes if crash.confirmed)
    for crash in sorted(confirmed, key=lambda crash: crash.first_at):
        if events and _continues(events[-1], crash):
            events[-1].append(crash)
        else:
            events.append([crash])
    return events


def _continues(event: Sequence[Crash], crash: Crash) -> bool:
    is_near = crash.first_at - event[-1].first_at < EVENT_GAP_S
    return is_near and crash.first_at - event[0].first_at < EVENT_S


def has_whole_service(event: Sequence[Crash]) -> bool:
    """Return whether an event took all upstreams, two or more, of some service."""
    lost = Counter(crash.size for crash in event if crash.size is not None)
    return any(count >= size.upstreams >= 2 for size, count in lost.items())


class EventCounter(Generic[K]):
    """Counts events, oldest first, against the suspects lost in them."""

    def __init__(self) -> None:
        self._excused: Counter[K] = Counter()
        """Events of unrelated losses that were not counted, by suspect."""

    def count(
        self, lost: int, idle: int, lost_with: Mapping[K, int], is_whole: bool = False
    ) -> dict[K, int]:
        """Return the crashes for which the next event counts against each suspect.

        Parameters
        ----------
        lost : int
            Unexplained crashes of the event.
        idle : int
            Those of them that no request may have caused.
        lost_with : mapping
            Those of them that each suspect may have caused.
        is_whole : bool
            Whether the event took all upstreams of a service.
        """
        is_common = is_whole or max(lost_with.values(), default=0) >= COMMON_LOSS
        counts: dict[K, int] = {}
        for suspect, count in lost_with.items():
            is_unrelated = lost - count >= max(MIN_UNRELATED, 2 * count)
            if idle >= (1 if is_whole else MIN_IDLE):
                continue
            if is_unrelated and self._excused[suspect] < MAX_EXCUSED:
                self._excused[suspect] += 1
                continue
            counts[suspect] = 1 if is_common or is_unrelated else count
        return counts
