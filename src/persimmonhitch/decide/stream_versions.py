"""Software versions that may have begun a stream, and where it may go on.

Load pattern: engines of two software versions serve one service, for seconds during a
release or for hours. What they write does not fit together, and no engine checks which
version wrote the events before those that it is asked for. After the crash of an engine
or an entry, dozens of callers come back to other entries within a second, each with the
id of the attempt that brought its first event.

An entry that knows the version that began a stream sends it to that version alone. One
that does not know may send it on if only one version can have begun it: the only one
listed since the oldest stream began, by a history that reaches that far. A shorter one
proves nothing, since the last engine of a version may leave while all entries are down.
Everything else is refused: a joined stream looks valid to its caller.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from ..fleet.upstream import UpstreamRecord
from ..ids import Service, SoftwareVersion


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
    """The list of upstreams may be out of date."""

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
        """Time from which on the history is complete."""
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

    def merge(
        self, since: float, seen: Iterable[tuple[Service, SoftwareVersion, float]]
    ) -> None:
        """Add the history of a peer."""
        self.since = min(self.since, since)
        for service, version, at in seen:
            versions = self._seen.setdefault(service, {})
            versions[version] = max(at, versions.get(version, at))

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
            Whether the list of upstreams is up to date.
        """
        versions = self.versions(service, oldest)
        if len(versions) > 1:
            return Origin(Knowledge.MIXED)
        if not is_fresh:
            return Origin(Knowledge.STALE_VIEW)
        if self.since > oldest:
            return Origin(Knowledge.SHORT_HISTORY)
        return Origin(Knowledge.SINGLE, next(iter(versions), None))
