"""Software versions that may have begun a stream, and where it may go on.

Load pattern: engines of two software versions serve one service, for seconds during a
release or for hours. What they write does not fit together, and no engine checks which
version wrote the events before those that it is asked for. After the crash of an engine
or an entry, dozens of callers come back to other entries within a second, each with the
id of the attempt that brought its first event.

An entry that knows the version that began a stream sends it to that version alone. One
that does not know may send it on if only one version can have begun it: the only one
listed since the oldest stream began, by a history that reaches that far and up to the
resumption. A shorter one proves nothing, since the last engine of a version may leave
while all entries are down. One that ends before the resumption, by however little,
proves nothing either: engines of a version may join, begin streams and leave in the
time that is missing. Everything else is refused: a joined stream looks valid to its
caller.

An entry therefore asks the store once it has the resumption. A crash brings dozens of
them at once; one reply serves all that came before its call began, and the entries of
a large fleet make their calls less often, so that the fleet as a whole stays within a
part of the calls that the store allows.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from ..fleet.upstream import UpstreamRecord
from ..ids import Service, SoftwareVersion

MAX_FLEET_CHECKS_PER_S: Final = 1000.0
"""Calls a second of all entries together by which they check their lists."""
MAX_CHECK_INTERVAL_S: Final = 0.5
"""Longest interval between two checks of one entry; callers wait for it."""


def check_interval(entries: int) -> float:
    """Return the least seconds between two checks of the list by one entry."""
    return min(MAX_CHECK_INTERVAL_S, entries / MAX_FLEET_CHECKS_PER_S)


class Knowledge(Enum):
    """Source of the version at which a stream goes on, or what is missing."""

    STREAM = "stream"
    """The version that began the stream is known."""
    SINGLE = "single"
    """Only one version can have begun it."""
    MIXED = "mixed"
    """Several versions may have begun it."""
    SHORT_HISTORY = "short_history"
    """Versions that served earlier are not known."""
    STALE_VIEW = "stale_view"
    """The store has not confirmed the list of upstreams since the resumption."""

    @property
    def is_sufficient(self) -> bool:
        """Return whether the stream may go on."""
        return self in (Knowledge.STREAM, Knowledge.SINGLE)


@dataclass(frozen=True)
class Origin:
    """What is known about the version that began a stream."""

    knowledge: Knowledge
    version: SoftwareVersion | None = None


class VersionHistory:
    """Versions that served each service; not thread-safe, times are monotonic."""

    def __init__(self, started_at: float) -> None:
        self.since = started_at
        """Time from which on the history is complete, with those of peers."""
        self._own_since = started_at
        """The same without those of peers."""
        self._since_before_gap = started_at
        """Value of ``since`` before the list missed changes the last time."""
        self._listed: dict[Service, set[SoftwareVersion]] = {}
        self._seen: dict[Service, dict[SoftwareVersion, float]] = {}
        """Time until which versions were listed that are not listed any more."""

    def update(self, records: Iterable[UpstreamRecord], now: float) -> bool:
        """Apply a list of upstreams; return whether a version is new."""
        known = {service: set(seen) for service, seen in self._seen.items()}
        for service, versions in self._listed.items():
            known.setdefault(service, set()).update(versions)
            self._seen.setdefault(service, {}).update(dict.fromkeys(versions, now))
        self._listed = {}
        for record in records:
            self._listed.setdefault(record.service, set()).add(record.version)
        return any(v - known.get(s, set()) for s, v in self._listed.items())

    def record(self, seen: Iterable[tuple[Service, SoftwareVersion, float]]) -> bool:
        """Add versions listed until a time; return whether one of them is new."""
        is_new = False
        for service, version, at in seen:
            versions = self._seen.setdefault(service, {})
            listed = self._listed.get(service, set())
            is_new |= version not in versions and version not in listed
            versions[version] = max(at, versions.get(version, at))
        return is_new

    def set_own_since(self, at: float) -> bool:
        """Set the time from which on the list has shown all changes.

        Returns
        -------
        bool
            Whether changes were missed, so that what peers know before that time counts
            no longer. An earlier time than before states that they are known by now.
        """
        old, self._own_since = self._own_since, at
        if at > old:
            self._since_before_gap, self.since = self.since, at
        elif at < old:
            self.since = min(self.since, self._since_before_gap)
        return at > old

    def extend(self, since: float) -> None:
        """Count the history as complete from a time on, by that of a peer."""
        self.since = min(self.since, since)

    def entries(self, now: float) -> dict[tuple[Service, SoftwareVersion], float]:
        """Return the time until which each version of a service was listed."""
        seen = {
            (s, v): at for s, times in self._seen.items() for v, at in times.items()
        }
        listed = {(s, v): now for s, versions in self._listed.items() for v in versions}
        return {**seen, **listed}

    def versions(self, service: Service, since: float) -> frozenset[SoftwareVersion]:
        """Return the versions of a service listed at or after a time."""
        seen = self._seen.get(service, {})
        recent = {version for version, at in seen.items() if at >= since}
        return frozenset(recent | self._listed.get(service, set()))

    def origin(self, service: Service, oldest: float, is_fresh: bool) -> Origin:
        """Return what the history tells about a stream that is otherwise unknown.

        Parameters
        ----------
        oldest : float
            Earliest time at which the stream may have begun.
        is_fresh : bool
            Whether the store has confirmed the list after the stream began.
        """
        versions = self.versions(service, oldest)
        if len(versions) > 1:
            return Origin(Knowledge.MIXED)
        if self.since > oldest or not versions:
            return Origin(Knowledge.SHORT_HISTORY)
        if not is_fresh:
            return Origin(Knowledge.STALE_VIEW)
        return Origin(Knowledge.SINGLE, *versions)
