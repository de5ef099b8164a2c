"""Keeps calls that crash upstreams from reaching more of them."""

import math
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Final

from ..decide.dispatch import Lane, Need
from ..decide.patience import FULL_RETRY, SPREAD
from ..decide.poison import CrashHistory, UpstreamStart
from ..fleet.upstream import UpstreamRecord
from ..ids import Fingerprint, Upstream, Vm
from ..observe.logs import log
from ..verdict import ErrorCode, Failure
from .peer_messages import CrashReport, CrashUpdate, LivenessReport, Trial

CHECK_DELAY_S: Final = 0.1
"""Seconds after a loss at which the upstream is asked whether it takes connections."""
RESEND_INTERVAL_S: Final = 2.0
"""Seconds after which all is told again, for entries that have missed some."""
RESEND_TTL_S: Final = 60.0
"""Seconds for which an entry goes on telling what it saw."""
ANNOUNCE_DURATION_S: Final = 0.25
"""Seconds for which the others are told of a suspected call before it is sent; two
entries that send it at once would both lose an upstream."""
ANNOUNCEMENT_TTL_S: Final = 0.3
"""Seconds after which a call is not announced any more that nobody waits to send."""
EXPIRY_INTERVAL_S: Final = 1.0
"""Seconds between two looks at what is old."""
TRIAL_TTL_S: Final = 2.5
"""Seconds after which a silent peer's calls count as ended."""


@dataclass
class _LocalCrash:
    """What this entry saw of one crash."""

    record: UpstreamRecord
    at: float
    check_at: float
    confirmed: bool = False
    lost: dict[Fingerprint, bool] = field(default_factory=dict)


@dataclass(frozen=True)
class _PeerTrials:
    at: float
    trials: tuple[Trial, ...]


@dataclass
class _Announcement:
    started_at: float
    requested_at: float
    """When a call last waited to be sent."""


def instance_of(record: UpstreamRecord) -> UpstreamStart:
    """Return which life of an upstream a record is of."""
    return UpstreamStart(record.name, record.born)


class PoisonGuard:
    """Blocks calls that have crashed upstreams; safe to use from many threads.

    Parameters
    ----------
    vm : Vm
        The one that this entry runs on.
    changed : callable
        Called when there is something that others have to hear at once.
    alone : callable
        Returns whether this entry hears none of the others.
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
        self._crashes: dict[UpstreamStart, _LocalCrash] = {}
        self._alive: dict[UpstreamStart, float] = {}
        self._completed: dict[Fingerprint, float] = {}
        self._own_blocked: dict[Fingerprint, float] = {}
        """Calls that were judged here, and when."""
        self._unsent: set[UpstreamStart | Fingerprint] = set()
        """What of all this the others have not been told yet."""
        self._update_due = False
        self._full_update_at = -math.inf
        self._expired_at = -math.inf

    # -- calls -------------------------------------------------------------------

    def refusal(self, fingerprint: Fingerprint) -> Failure | None:
        """Return why a call is not sent to any upstream, if it is not."""
        with self._lock:
            remaining_s = self._history.blocked_for(fingerprint, self._clock())
            is_suspected = self._history.blame(fingerprint) is not None
        if remaining_s is not None:
            reason = "upstreams crashed each time that this request ran"
            return Failure(ErrorCode.CRASHES_UPSTREAMS, reason, retry_after=remaining_s)
        if is_suspected and self._is_isolated():
            # The others may have seen it crash more; they take its caller's next try.
            reason = (
                "an upstream crashed while this request ran; another entry may know"
            )
            return Failure(ErrorCode.OVERLOADED, reason, retry_after=_retry_after_s())
        return None

    def exclude_upstreams(self, request: Need, views: Iterable[Lane]) -> None:
        """Close lanes to a suspected call that may not run there now."""
        with self._lock:
            if not self._history.is_suspect(request.call):
                return
            now = self._clock()
            must_wait = not self._may_run_trial(request.call, now)
            trial_upstreams = {trial.upstream for trial in self._all_trials(now)}
        for view in views:
            if must_wait or view.upstream in trial_upstreams:
                view.trust = 0.0

    def _may_run_trial(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a suspected call may be sent; announce it before."""
        if (
            self._history.waits_for_proof(fingerprint, now)
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
        """Return what a suspected call is told that found no place."""
        with self._lock:
            suspect = self._history.is_suspect(fingerprint)
        if not suspect:
            return None
        reason = "upstreams crashed while this request ran; it waits to run apart"
        return Failure(ErrorCode.OVERLOADED, reason, retry_after=_retry_after_s())

    def started(self, fingerprint: Fingerprint, upstream: Upstream) -> None:
        """Note that a call is sent."""
        with self._lock:
            self._announced.pop(fingerprint, None)
            self._running.setdefault(fingerprint, Counter())[upstream] += 1
            if self._history.is_suspect(fingerprint):
                self._mark_changed()

    def ended(self, fingerprint: Fingerprint, upstream: Upstream) -> None:
        """Note that an attempt has ended, however it ended."""
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
        self, fingerprint: Fingerprint, record: UpstreamRecord, fresh: bool
    ) -> None:
        """Note that a call was lost with the connection to its upstream."""
        now = self._clock()
        instance = instance_of(record)
        with self._lock:
            crash = self._crashes.setdefault(
                instance, _LocalCrash(record, now, now + CHECK_DELAY_S)
            )
            crash.at = now
            crash.lost[fingerprint] = fresh or crash.lost.get(fingerprint, False)
            self._history.lost(instance, {fingerprint: fresh}, now, now)
            self._mark_changed(instance)

    def answered(self, record: UpstreamRecord, sent_at: float) -> None:
        """Note that an upstream has answered a request that was sent at a time."""
        instance = instance_of(record)
        with self._lock:
            if not self._history.crashed(instance):
                return
            if self._history.alive(instance, sent_at):
                self._refute(instance, sent_at)

    def completed(self, fingerprint: Fingerprint) -> None:
        """Note that a call came to its end."""
        now = self._clock()
        with self._lock:
            if self._history.blame(fingerprint) is None:
                return
            if self._history.completed(fingerprint, now):
                log("call_cleared", call=fingerprint)
                self._drop_losses(fingerprint, now)
                self._completed[fingerprint] = now
                self._mark_changed(fingerprint)

    def _drop_losses(self, fingerprint: Fingerprint, completed_at: float) -> None:
        """Tell no more of a call that came to its end after it was lost."""
        for crash in self._crashes.values():
            if crash.at <= completed_at:
                crash.lost.pop(fingerprint, None)

    def unreachable(self, record: UpstreamRecord) -> None:
        """Note that an upstream takes no connection."""
        instance = instance_of(record)
        with self._lock:
            if self._history.crashed(instance):
                self._confirm(instance)

    # -- whether upstreams have ended ----------------------------------------------

    def due_checks(self) -> list[UpstreamRecord]:
        """Return upstreams to connect to now, each once for a loss."""
        now = self._clock()
        with self._lock:
            due = [crash for crash in self._crashes.values() if crash.check_at <= now]
            for crash in due:
                crash.check_at = math.inf
        return [crash.record for crash in due if not crash.confirmed]

    def update_upstreams(self, records: Iterable[UpstreamRecord]) -> None:
        """Take the list of upstreams; one that started anew has ended before."""
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

    def _confirm(self, instance: UpstreamStart) -> None:
        if instance in self._crashes:
            self._crashes[instance].confirmed = True
        if not self._history.confirm(instance):
            return
        log("upstream_crashed", upstream=instance.name, born=instance.born)
        self._mark_changed(instance)
        self._block_attributed()

    def _refute(self, instance: UpstreamStart, alive_at: float) -> None:
        log("crash_refuted", upstream=instance.name, born=instance.born)
        self._crashes.pop(instance, None)
        self._alive[instance] = alive_at
        self._mark_changed(instance)

    def _block_attributed(self) -> None:
        now = self._clock()
        for fingerprint in self._history.judge(now):
            remaining_s = self._history.blocked_for(fingerprint, now)
            log("call_blocked", call=fingerprint, seconds=remaining_s, source="judged")
            self._own_blocked[fingerprint] = now
            self._mark_changed(fingerprint)

    # -- what entries tell each other ----------------------------------------------

    def next_update(self) -> CrashUpdate | None:
        """Return what the others have to hear now, None if there is nothing."""
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
        def is_due(key: UpstreamStart | Fingerprint) -> bool:
            return is_full or key in self._unsent

        crashes = tuple(
            CrashReport(
                instance.name,
                instance.born,
                _age_ms(now, crash.at),
                crash.confirmed,
                dict(crash.lost),
            )
            for instance, crash in self._crashes.items()
            if is_due(instance)
        )
        alive = tuple(
            LivenessReport(instance.name, instance.born, _age_ms(now, at))
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
        """Take what another entry saw, which was so at ``as_of``."""
        with self._lock:
            now = self._clock()
            self._peers[vm] = _PeerTrials(now, msg.trials)
            for crash in msg.crashes:
                instance = UpstreamStart(crash.upstream, crash.started_at_ms)
                at = as_of - crash.age_ms / 1000
                self._history.lost(instance, crash.lost, at, now)
                if crash.confirmed:
                    self._history.confirm(instance)
            for report in msg.alive:
                instance = UpstreamStart(report.upstream, report.started_at_ms)
                if self._history.alive(instance, as_of - report.age_ms / 1000):
                    self._crashes.pop(instance, None)
            for fingerprint, age_ms in msg.completed.items():
                at = as_of - age_ms / 1000
                self._history.completed(fingerprint, at)
                self._drop_losses(fingerprint, at)
            self._add_blocked({f: as_of + s for f, s in msg.blocked.items()}, vm)
            self._block_attributed()

    def receive_blocked(self, blocked: Mapping[Fingerprint, float]) -> None:
        """Take calls that the store has as blocked, with the time until which."""
        with self._lock:
            self._add_blocked(blocked, "store")

    def blocked(self) -> dict[Fingerprint, float]:
        """Return blocked calls with the monotonic time until which they are."""
        with self._lock:
            return dict(self._history.blocked())

    def _add_blocked(self, blocked: Mapping[Fingerprint, float], source: str) -> None:
        now = self._clock()
        for fingerprint, until in blocked.items():
            if until > now and self._history.block(fingerprint, until):
                log(
                    "call_blocked", call=fingerprint, seconds=until - now, source=source
                )

    def _mark_changed(self, key: UpstreamStart | Fingerprint | None = None) -> None:
        """Have the others told at once; ``key`` is what is new to tell, if not a trial.

        Trials are told in full each time.
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
            if now - crash.at <= RESEND_TTL_S and self._history.crashed(instance)
        }
        self._alive = {i: a for i, a in self._alive.items() if now - a <= RESEND_TTL_S}
        self._completed = {
            key: at for key, at in self._completed.items() if now - at <= RESEND_TTL_S
        }
        self._peers = {
            vm: peer for vm, peer in self._peers.items() if now - peer.at <= TRIAL_TTL_S
        }

    def _trials(self) -> set[Trial]:
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
        """Return which suspected calls run where, of all entries."""
        return self._trials() | {trial for _, trial in self._peer_trials(now)}


def _retry_after_s() -> float:
    return FULL_RETRY * (1.0 + random.random() * SPREAD)


def _age_ms(now: float, at: float) -> int:
    return max(0, int((now - at) * 1000))
