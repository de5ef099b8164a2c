"""Blocks requests that crash upstreams, and isolates suspects."""

import math
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from ..decide.dispatch import DispatchRequest, UpstreamView
from ..decide.poison import CrashHistory, UpstreamInstance
from ..decide.wait_limits import RETRY_JITTER, RETRY_S
from ..fleet.upstream import UpstreamRecord
from ..ids import Fingerprint, Upstream, Vm
from ..observe.logs import log
from ..verdict import ErrorCode, Failure
from .peer_messages import CrashReport, CrashUpdate, LivenessReport, Trial

CHECK_DELAY_S: Final = 0.1
"""Delay between a lost connection and an attempt to open another to the upstream."""
RESEND_INTERVAL_S: Final = 2.0
"""Interval of full updates, for entries that missed an incremental update."""
RESEND_TTL_S: Final = 60.0
"""Time for which an entry resends an observation."""
ANNOUNCE_DURATION_S: Final = 0.25
"""Time between the announcement of a trial to the peers and its start; two entries that
send the same suspect at once would both lose an upstream."""
ANNOUNCEMENT_TTL_S: Final = 0.3
"""Time after which an announcement expires if no attempt waits to be sent."""
EXPIRY_INTERVAL_S: Final = 1.0
"""Interval at which outdated observations are dropped."""
TRIAL_TTL_S: Final = 2.5
"""Time after which the trials of an unresponsive peer count as ended."""


@dataclass
class _LocalCrash:
    """A crash of an upstream to which this entry had connections."""

    record: UpstreamRecord
    at: float
    """Time at which the newest connection was lost."""
    check_at: float
    confirmed: bool = False
    lost: dict[Fingerprint, bool] = field(default_factory=dict)
    """Lost requests, as in ``CrashReport``."""


@dataclass(frozen=True)
class _PeerTrials:
    at: float
    """Time at which the update was received from the peer."""
    trials: tuple[Trial, ...]


@dataclass
class _Announcement:
    started_at: float
    requested_at: float
    """Time at which an attempt last waited for the trial."""


def instance_of(record: UpstreamRecord) -> UpstreamInstance:
    """Return the instance of an upstream that a record describes."""
    return UpstreamInstance(record.name, record.started_at_ms)


class PoisonGuard:
    """Blocks requests that have crashed upstreams; thread-safe.

    Parameters
    ----------
    vm : Vm
        VM of this entry.
    on_change : callable
        Called when peers must receive an update at once.
    is_isolated : callable
        Returns whether this entry receives no updates from any peer.
    """

    def __init__(
        self,
        vm: Vm,
        clock: Callable[[], float] = time.monotonic,
        on_change: Callable[[], None] = lambda: None,
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._on_change = on_change
        self._is_isolated = is_isolated
        self._lock = threading.Lock()
        self._history = CrashHistory()
        self._running: dict[Fingerprint, Counter[Upstream]] = {}
        self._announced: dict[Fingerprint, _Announcement] = {}
        self._peers: dict[Vm, _PeerTrials] = {}
        self._crashes: dict[UpstreamInstance, _LocalCrash] = {}
        self._alive: dict[UpstreamInstance, float] = {}
        self._completed: dict[Fingerprint, float] = {}
        self._own_blocked: dict[Fingerprint, float] = {}
        """Time at which this entry itself, not a peer, blocked each request."""
        self._unsent: set[UpstreamInstance | Fingerprint] = set()
        """Changed instances and requests that the next update must include."""
        self._update_due = False
        self._full_update_at = -math.inf
        self._expired_at = -math.inf

    # -- requests ------------------------------------------------------------------

    def refusal(self, fingerprint: Fingerprint) -> Failure | None:
        """Return the refusal of a blocked request, None if it may be sent."""
        with self._lock:
            remaining_s = self._history.blocked_for(fingerprint, self._clock())
            is_suspected = self._history.crash_counts(fingerprint) is not None
        if remaining_s is not None:
            reason = "upstreams crashed each time that this request ran"
            return Failure(ErrorCode.CRASHES_UPSTREAMS, reason, retry_after=remaining_s)
        if is_suspected and self._is_isolated():
            # Peers may have recorded more crashes; the caller can reach a peer next.
            reason = (
                "an upstream crashed while this request ran; another entry may know"
            )
            return Failure(ErrorCode.OVERLOADED, reason, retry_after=_retry_after_s())
        return None

    def exclude_upstreams(
        self, request: DispatchRequest, views: Iterable[UpstreamView]
    ) -> None:
        """Exclude upstreams on which a suspect request may not run now."""
        with self._lock:
            if not self._history.is_suspect(request.fingerprint):
                return
            now = self._clock()
            must_wait = not self._may_run_trial(request.fingerprint, now)
            trial_upstreams = {trial.upstream for trial in self._all_trials(now)}
        for view in views:
            if must_wait or view.upstream in trial_upstreams:
                view.traffic_share = 0.0

    def _may_run_trial(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a suspect may be sent; announce its trial first if needed."""
        if (
            self._history.awaits_confirmation(fingerprint, now)
            or fingerprint in self._running
        ):
            return False
        for vm, trial in self._peer_trials(now):
            if trial.fingerprint == fingerprint and (
                trial.upstream is not None or vm < self._vm
            ):
                self._announced.pop(fingerprint, None)
                return False
        announcement = self._announced.get(fingerprint)
        if announcement is None or now - announcement.requested_at > ANNOUNCEMENT_TTL_S:
            announcement = self._announced[fingerprint] = _Announcement(now, now)
            self._mark_changed()
        announcement.requested_at = now
        return now - announcement.started_at >= ANNOUNCE_DURATION_S

    def trial_refusal(self, fingerprint: Fingerprint) -> Failure | None:
        """Return the refusal of a suspect that got no slot, None for other requests."""
        with self._lock:
            suspect = self._history.is_suspect(fingerprint)
        if not suspect:
            return None
        reason = "upstreams crashed while this request ran; it waits to run apart"
        return Failure(ErrorCode.OVERLOADED, reason, retry_after=_retry_after_s())

    def started(self, fingerprint: Fingerprint, upstream: Upstream) -> None:
        """Record that an attempt is sent."""
        with self._lock:
            self._announced.pop(fingerprint, None)
            self._running.setdefault(fingerprint, Counter())[upstream] += 1
            if self._history.is_suspect(fingerprint):
                self._mark_changed()

    def ended(self, fingerprint: Fingerprint, upstream: Upstream) -> None:
        """Record that an attempt has ended, with any outcome."""
        with self._lock:
            counts = self._running[fingerprint]
            counts[upstream] -= 1
            if not counts[upstream]:
                del counts[upstream]
            if not counts:
                del self._running[fingerprint]
            if self._history.is_suspect(fingerprint):
                self._mark_changed()

    def connection_lost(
        self, fingerprint: Fingerprint, record: UpstreamRecord, recent: bool
    ) -> None:
        """Record that a request lost the connection to its upstream.

        ``recent`` is whether its answer had started recently or was yet to start.
        """
        now = self._clock()
        instance = instance_of(record)
        with self._lock:
            crash = self._crashes.setdefault(
                instance, _LocalCrash(record, now, now + CHECK_DELAY_S)
            )
            crash.at = now
            crash.lost[fingerprint] = recent or crash.lost.get(fingerprint, False)
            self._history.record_lost(instance, {fingerprint: recent}, now, now)
            self._mark_changed(instance)

    def answered(self, record: UpstreamRecord, sent_at: float) -> None:
        """Record that an upstream has answered a request sent at ``sent_at``."""
        instance = instance_of(record)
        with self._lock:
            if not self._history.has_crashed(instance):
                return
            if self._history.record_alive(instance, sent_at):
                self._refute(instance, sent_at)

    def completed(self, fingerprint: Fingerprint) -> None:
        """Record that a request ran to completion; this ends any suspicion."""
        now = self._clock()
        with self._lock:
            if self._history.crash_counts(fingerprint) is None:
                return
            if self._history.record_completed(fingerprint, now):
                log("call_cleared", call=fingerprint)
                self._drop_losses(fingerprint, now)
                self._completed[fingerprint] = now
                self._mark_changed(fingerprint)

    def _drop_losses(self, fingerprint: Fingerprint, completed_at: float) -> None:
        """Remove a completed request from the earlier crashes at which it was lost."""
        for crash in self._crashes.values():
            if crash.at <= completed_at:
                crash.lost.pop(fingerprint, None)

    def unreachable(self, record: UpstreamRecord) -> None:
        """Record that an upstream accepts no connection."""
        instance = instance_of(record)
        with self._lock:
            if self._history.has_crashed(instance):
                self._confirm(instance)

    # -- confirmation of crashes ---------------------------------------------------

    def due_checks(self) -> list[UpstreamRecord]:
        """Return upstreams whose connection check is due, once per crash."""
        now = self._clock()
        with self._lock:
            due = [crash for crash in self._crashes.values() if crash.check_at <= now]
            for crash in due:
                crash.check_at = math.inf
        return [crash.record for crash in due if not crash.confirmed]

    def update_upstreams(self, records: Iterable[UpstreamRecord]) -> None:
        """Apply the list of upstreams; a new instance confirms the end of the old."""
        with self._lock:
            if not self._crashes:
                return
            listed = list(records)
            by_name = {record.name: record for record in listed}
            by_address = {(record.host, record.port): record for record in listed}
            for instance, crash in list(self._crashes.items()):
                address = crash.record.host, crash.record.port
                current = by_name.get(instance.name) or by_address.get(address)
                if current is not None and instance_of(current) != instance:
                    self._confirm(instance)

    def _confirm(self, instance: UpstreamInstance) -> None:
        if instance in self._crashes:
            self._crashes[instance].confirmed = True
        if not self._history.confirm(instance):
            return
        log(
            "upstream_crashed",
            upstream=instance.name,
            born=instance.started_at_ms,
            suspects=self._history.suspect_count(instance),
        )
        self._mark_changed(instance)
        self._block_attributed()

    def _refute(self, instance: UpstreamInstance, alive_at: float) -> None:
        log("crash_refuted", upstream=instance.name, born=instance.started_at_ms)
        self._crashes.pop(instance, None)
        self._alive[instance] = alive_at
        self._mark_changed(instance)

    def _block_attributed(self) -> None:
        now = self._clock()
        for fingerprint in self._history.block_attributed(now):
            remaining_s = self._history.blocked_for(fingerprint, now)
            log("call_blocked", call=fingerprint, seconds=remaining_s, source="judged")
            self._own_blocked[fingerprint] = now
            self._mark_changed(fingerprint)

    # -- updates between entries ---------------------------------------------------

    def next_update(self) -> CrashUpdate | None:
        """Return the update that is due for the peers, None if there is none."""
        now = self._clock()
        with self._lock:
            self._expire(now)
            self._block_attributed()
            is_full = now - self._full_update_at >= RESEND_INTERVAL_S
            if not (self._update_due or (is_full and self._has_observations())):
                return None
            if is_full:
                self._full_update_at = now
            update = self._build_update(now, is_full)
            self._update_due = False
            self._unsent.clear()
            return update

    def _build_update(self, now: float, is_full: bool) -> CrashUpdate:
        def is_due(key: UpstreamInstance | Fingerprint) -> bool:
            return is_full or key in self._unsent

        crashes = tuple(
            CrashReport(
                instance.name,
                instance.started_at_ms,
                _age_ms(now, crash.at),
                crash.confirmed,
                dict(crash.lost),
            )
            for instance, crash in self._crashes.items()
            if is_due(instance)
        )
        alive = tuple(
            LivenessReport(instance.name, instance.started_at_ms, _age_ms(now, at))
            for instance, at in self._alive.items()
            if is_due(instance)
        )
        completed = {
            fingerprint: _age_ms(now, at)
            for fingerprint, at in self._completed.items()
            if is_due(fingerprint)
        }
        blocked = {
            fingerprint: int(remaining_s)
            for fingerprint in self._own_blocked
            if is_due(fingerprint)
            and (remaining_s := self._history.blocked_for(fingerprint, now)) is not None
        }
        trials = sorted(self._trials(), key=lambda t: (t.fingerprint, t.upstream or ""))
        return CrashUpdate(crashes, alive, completed, tuple(trials), blocked)

    def receive(self, vm: Vm, msg: CrashUpdate, as_of: float) -> None:
        """Apply the observations of a peer as of the monotonic time ``as_of``."""
        with self._lock:
            now = self._clock()
            self._peers[vm] = _PeerTrials(now, msg.trials)
            for crash in msg.crashes:
                instance = UpstreamInstance(crash.upstream, crash.started_at_ms)
                at = as_of - crash.age_ms / 1000
                self._history.record_lost(instance, crash.lost, at, now)
                if crash.confirmed:
                    self._history.confirm(instance)
            for report in msg.alive:
                instance = UpstreamInstance(report.upstream, report.started_at_ms)
                if self._history.record_alive(instance, as_of - report.age_ms / 1000):
                    self._crashes.pop(instance, None)
            for fingerprint, age_ms in msg.completed.items():
                at = as_of - age_ms / 1000
                self._history.record_completed(fingerprint, at)
                self._drop_losses(fingerprint, at)
            self._add_blocked({f: as_of + s for f, s in msg.blocked.items()}, vm)
            self._block_attributed()

    def receive_blocked(self, blocked: Mapping[Fingerprint, float]) -> None:
        """Apply blocked requests from the store, with the end of each block."""
        with self._lock:
            self._add_blocked(blocked, "store")

    def blocked(self) -> dict[Fingerprint, float]:
        """Return blocked requests with the monotonic time at which each block ends."""
        with self._lock:
            return dict(self._history.blocked())

    def _add_blocked(self, blocked: Mapping[Fingerprint, float], source: str) -> None:
        now = self._clock()
        for fingerprint, until in blocked.items():
            if until > now and self._history.block(fingerprint, until):
                log(
                    "call_blocked", call=fingerprint, seconds=until - now, source=source
                )

    def _mark_changed(self, key: UpstreamInstance | Fingerprint | None = None) -> None:
        """Request an update at once; ``key`` is the changed instance or request.

        Trials need no key, since each update carries all of them.
        """
        if key is not None:
            self._unsent.add(key)
        self._update_due = True
        self._on_change()

    def _has_observations(self) -> bool:
        found = self._crashes or self._alive or self._completed or self._own_blocked
        return bool(found or self._trials())

    def _expire(self, now: float) -> None:
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        self._announced = {
            key: announcement
            for key, announcement in self._announced.items()
            if now - announcement.requested_at <= ANNOUNCEMENT_TTL_S
        }
        self._history.expire(now)
        self._own_blocked = {
            key: at for key, at in self._own_blocked.items() if now - at <= RESEND_TTL_S
        }
        self._crashes = {
            instance: crash
            for instance, crash in self._crashes.items()
            if now - crash.at <= RESEND_TTL_S and self._history.has_crashed(instance)
        }
        self._alive = {i: a for i, a in self._alive.items() if now - a <= RESEND_TTL_S}
        self._completed = {
            key: at for key, at in self._completed.items() if now - at <= RESEND_TTL_S
        }
        self._peers = {
            vm: peer for vm, peer in self._peers.items() if now - peer.at <= TRIAL_TTL_S
        }

    def _trials(self) -> set[Trial]:
        """Return the trials at this entry, running or announced."""
        running = {
            Trial(fingerprint, upstream)
            for fingerprint in self._history.suspects()
            for upstream in self._running.get(fingerprint, ())
        }
        return running | {Trial(fingerprint, None) for fingerprint in self._announced}

    def _peer_trials(self, now: float) -> Iterator[tuple[Vm, Trial]]:
        for vm, peer in self._peers.items():
            if now - peer.at <= TRIAL_TTL_S:
                for trial in peer.trials:
                    yield vm, trial

    def _all_trials(self, now: float) -> set[Trial]:
        """Return the trials of all entries."""
        return self._trials() | {trial for _, trial in self._peer_trials(now)}


def _retry_after_s() -> float:
    return RETRY_S * (1.0 + random.random() * RETRY_JITTER)


def _age_ms(now: float, at: float) -> int:
    return max(0, int((now - at) * 1000))
