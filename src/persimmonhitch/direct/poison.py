"""Blocks requests and prompt parts that crash upstreams, and isolates suspects."""

import math
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from ..decide.crashes import ServiceSize, UpstreamInstance, is_part
from ..decide.dispatch import DispatchRequest, UpstreamView, has_capacity
from ..decide.poison import PROOF_LEAD_S, UNCONFIRMED_TTL_S, CrashHistory
from ..decide.wait_limits import RETRY_JITTER, RETRY_S
from ..fleet.upstream import UpstreamRecord
from ..ids import Cause, Fingerprint, PartId, Upstream, Vm
from ..observe.logs import log
from ..verdict import ErrorCode, Failure
from .peer_messages import (
    CrashReport,
    CrashUpdate,
    LivenessReport,
    LostParts,
    LostPartsUpdate,
    Trial,
)
from .proofs import Proofs

CHECK_DELAY_S: Final = 0.1
"""Delay between a lost connection and an attempt to open another to the upstream."""
MAX_IDLE_CHECKS: Final = 4
"""Upstreams of a service whose connections are checked when a suspect is lost with
another: machines lost together also end upstreams that run nothing."""
RESEND_INTERVAL_S: Final = 2.0
"""Interval of full updates, for entries that missed an incremental update."""
LEARN_S: Final = 3.0
"""Seconds after a start or an isolation until an entry has the reports of all peers."""
RESEND_TTL_S: Final = 60.0
"""Time for which an entry resends an observation."""
ANNOUNCE_DURATION_S: Final = 0.25
"""Time between the announcement of a trial to the peers and its start; two entries that
send the same suspect at once would both lose an upstream."""
ANNOUNCE_PARTS_S: Final = 0.5
"""The same for a part, of which many entries may have requests at the same time."""
ANNOUNCEMENT_TTL_S: Final = 0.3
"""Time after which an announcement expires if no attempt waits to be sent."""
MAX_REPORTED_PARTS: Final = 16
"""Prompt parts of one lost request that peers are told of."""
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
    parts: dict[Fingerprint, tuple[PartId, ...]] = field(default_factory=dict)
    """Prompt parts of lost requests, as in ``LostParts``."""

    def drop_part(self, part: Cause) -> None:
        """Remove a part from all lost requests."""
        self.parts = {
            fingerprint: tuple(other for other in parts if other != part)
            for fingerprint, parts in self.parts.items()
            if parts != (part,)
        }


@dataclass
class _IdleCheck:
    """A connection check of an upstream that has lost no request."""

    record: UpstreamRecord
    lost_at: float
    """Time at which a suspect lost another upstream of the service."""
    check_at: float


@dataclass(frozen=True)
class _PeerTrials:
    at: float
    """Time at which the update was received from the peer."""
    trials: tuple[Trial, ...]


@dataclass
class _RunningCall:
    """Attempts of one request that are in progress."""

    parts: tuple[PartId, ...]
    upstreams: Counter[Upstream] = field(default_factory=Counter)


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
    entry_count : callable
        Returns the number of entries of the fleet.
    """

    def __init__(
        self,
        vm: Vm,
        clock: Callable[[], float] = time.monotonic,
        on_change: Callable[[], None] = lambda: None,
        is_isolated: Callable[[], bool] = lambda: False,
        entry_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._on_change = on_change
        self._is_isolated = is_isolated
        self._lock = threading.Lock()
        self._history = CrashHistory()
        self._proofs = Proofs(entry_count)
        self._running: dict[Fingerprint, _RunningCall] = {}
        self._announced: dict[Cause, _Announcement] = {}
        self._peers: dict[Vm, _PeerTrials] = {}
        self._crashes: dict[UpstreamInstance, _LocalCrash] = {}
        self._listed: tuple[UpstreamRecord, ...] = ()
        self._idle_checks: dict[UpstreamInstance, _IdleCheck] = {}
        self._alive: dict[UpstreamInstance, float] = {}
        self._completed: dict[Cause, float] = {}
        self._own_blocked: dict[Cause, float] = {}
        """Time at which this entry itself, not a peer, blocked each cause."""
        self._unsent: set[UpstreamInstance | Cause] = set()
        """Changed instances and causes that the next update must include."""
        self._unsent_parts: set[UpstreamInstance] = set()
        """Instances whose lost parts the next update of parts must include."""
        self._parts_sent_at = -math.inf
        self._update_due = False
        self._isolated_at = clock()
        """When this entry last received no updates of its peers."""
        self._full_update_at = -math.inf
        self._expired_at = -math.inf

    # -- requests ------------------------------------------------------------------

    def refusal(
        self, fingerprint: Fingerprint, parts: Collection[PartId] = ()
    ) -> Failure | None:
        """Return the refusal of a blocked request, None if it may be sent."""
        with self._lock:
            if self._history.is_empty:
                return None
            now = self._clock()
            cause = self._history.blocking(fingerprint, parts, now)
            is_suspected = self._history.crash_counts(fingerprint) is not None or any(
                map(self._is_suspect, parts)
            )
            remaining_s = (
                None if cause is None else self._history.blocked_for(cause, now)
            )
        if cause is not None:
            subject = f"a request with {cause}" if is_part(cause) else "this request"
            reason = f"upstreams crashed each time that {subject} ran"
            return Failure(ErrorCode.CRASHES_UPSTREAMS, reason, retry_after=remaining_s)
        if is_suspected and self._is_isolated():
            # Peers may have recorded more crashes; the caller can reach a peer next.
            reason = (
                "an upstream crashed while this request ran; another entry may know"
            )
            return Failure(ErrorCode.OVERLOADED, reason, retry_after=_retry_after_s())
        return None

    def exclude_upstreams(
        self, request: DispatchRequest, views: Sequence[UpstreamView]
    ) -> None:
        """Exclude upstreams on which a suspect request may not run now."""
        with self._lock:
            suspects = self._suspects_of(request.fingerprint, request.parts)
            if not suspects:
                return
            now = self._clock()
            may_run = [self._may_run_trial(cause, now) for cause in suspects]
            trial_upstreams = {trial.upstream for trial in self._all_trials(now)}
        for view in views:
            if not all(may_run) or view.upstream in trial_upstreams:
                view.traffic_share = 0.0
        _keep_least_loaded(views, request)

    def _suspects_of(
        self, fingerprint: Fingerprint, parts: Iterable[PartId]
    ) -> list[Cause]:
        """Return the causes for which a request has to run in isolation."""
        if self._history.is_empty:
            return []
        return [cause for cause in (fingerprint, *parts) if self._is_suspect(cause)]

    def _is_suspect(self, cause: Cause) -> bool:
        """Return whether a cause is suspected and no request with it ran lately."""
        if not self._history.is_suspect(cause):
            return False
        crashed_at = self._history.latest_crash_at(cause)
        return not self._proofs.covers(cause, crashed_at - PROOF_LEAD_S)

    def _may_run_trial(self, cause: Cause, now: float) -> bool:
        """Return whether a suspect may be sent; announce its trial first if needed."""
        if self._history.awaits_confirmation(cause, now) or self._is_running(cause):
            return False
        for vm, trial in self._peer_trials(now):
            if trial.cause == cause and (trial.upstream is not None or vm < self._vm):
                self._announced.pop(cause, None)
                return False
        announcement = self._announced.get(cause)
        if announcement is None or now - announcement.requested_at > ANNOUNCEMENT_TTL_S:
            announcement = self._announced[cause] = _Announcement(now, now)
            self._mark_changed()
        announcement.requested_at = now
        duration_s = ANNOUNCE_PARTS_S if is_part(cause) else ANNOUNCE_DURATION_S
        return now - announcement.started_at >= duration_s

    def _is_running(self, cause: Cause) -> bool:
        return any(True for _ in self._running_with(cause))

    def _running_with(self, cause: Cause) -> Iterator[Upstream]:
        """Yield the upstreams that run a request or one with a part."""
        if is_part(cause):
            for call in self._running.values():
                if cause in call.parts:
                    yield from call.upstreams
        elif Fingerprint(cause) in self._running:
            yield from self._running[Fingerprint(cause)].upstreams

    def trial_refusal(
        self, fingerprint: Fingerprint, parts: Collection[PartId] = ()
    ) -> Failure | None:
        """Return the refusal of a suspect that got no slot, None for other requests."""
        with self._lock:
            suspects = self._suspects_of(fingerprint, parts)
        if not suspects:
            return None
        reason = "upstreams crashed while this request ran; it waits to run apart"
        found = next(filter(is_part, suspects), None)
        if found is not None:
            reason = f"upstreams crashed while requests with {found} ran; these wait"
        return Failure(ErrorCode.OVERLOADED, reason, retry_after=_retry_after_s())

    def started(
        self,
        fingerprint: Fingerprint,
        upstream: Upstream,
        parts: tuple[PartId, ...] = (),
    ) -> None:
        """Record that an attempt is sent."""
        with self._lock:
            for cause in (fingerprint, *parts) if self._announced else ():
                self._announced.pop(cause, None)
            call = self._running.setdefault(fingerprint, _RunningCall(parts))
            call.upstreams[upstream] += 1
            if self._suspects_of(fingerprint, parts):
                self._mark_changed()

    def ended(self, fingerprint: Fingerprint, upstream: Upstream) -> None:
        """Record that an attempt has ended, with any outcome."""
        with self._lock:
            call = self._running[fingerprint]
            call.upstreams[upstream] -= 1
            if not call.upstreams[upstream]:
                del call.upstreams[upstream]
            if not call.upstreams:
                del self._running[fingerprint]
            if self._suspects_of(fingerprint, call.parts):
                self._mark_changed()

    def connection_lost(
        self,
        fingerprint: Fingerprint,
        record: UpstreamRecord,
        recent: bool,
        parts: Iterable[PartId] = (),
    ) -> None:
        """Record that a request lost the connection to its upstream.

        ``recent`` is whether its answer had started recently or was yet to start.
        """
        now = self._clock()
        instance = instance_of(record)
        parts = tuple(parts)
        with self._lock:
            if self._suspects_of(fingerprint, parts):
                self._plan_idle_checks(record, now)
            crash = self._crashes.setdefault(
                instance, _LocalCrash(record, now, now + CHECK_DELAY_S)
            )
            crash.at = now
            crash.lost[fingerprint] = recent or crash.lost.get(fingerprint, False)
            self._history.record_lost(instance, {fingerprint: recent}, now, now)
            unproven = self._unproven(parts, now)
            if unproven:
                crash.parts[fingerprint] = unproven
                self._history.record_lost_parts(instance, {fingerprint: unproven})
                self._unsent_parts.add(instance)
            self._mark_changed(instance)

    def _plan_idle_checks(self, lost: UpstreamRecord, now: float) -> None:
        """Plan connection checks of upstreams that run no suspect."""
        idle = [
            record
            for record in self._listed
            if record.service == lost.service
            and record.name != lost.name
            and not record.draining
            and not self._history.has_crashed(instance_of(record))
            and instance_of(record) not in self._idle_checks
        ]
        room = max(0, MAX_IDLE_CHECKS - len(self._idle_checks))
        for record in random.sample(idle, min(room, len(idle))):
            check = _IdleCheck(record, now, now + CHECK_DELAY_S)
            self._idle_checks[instance_of(record)] = check

    def _unproven(self, parts: Iterable[PartId], now: float) -> tuple[PartId, ...]:
        """Return parts that have not completed lately, known suspects first."""
        unproven = (p for p in parts if not self._proofs.covers(p, now - PROOF_LEAD_S))
        ordered = sorted(unproven, key=lambda part: not self._history.has_lost(part))
        return tuple(ordered[:MAX_REPORTED_PARTS])

    def answered(self, record: UpstreamRecord, sent_at: float) -> None:
        """Record that an upstream has answered a request sent at ``sent_at``."""
        instance = instance_of(record)
        with self._lock:
            if not self._history.has_crashed(instance):
                return
            if self._history.record_alive(instance, sent_at):
                self._refute(instance, sent_at)

    def completed(
        self, fingerprint: Fingerprint, parts: Collection[PartId] = ()
    ) -> None:
        """Record that a request ran to completion; this ends any suspicion.

        ``parts`` are empty if the upstream failed the request.
        """
        now = self._clock()
        with self._lock:
            self._proofs.add((fingerprint, *parts), now)
            if parts:
                self._history.record_served(now)
            if self._history.is_empty:
                return
            for cause in self._history.blocked_within(parts):
                self._clear(cause, now)
            for cause in (fingerprint, *parts):
                if self._history.has_lost(cause):
                    self._clear(cause, now)

    def _clear(self, cause: Cause, completed_at: float) -> None:
        """Clear a cause of earlier crashes, and tell the peers."""
        was_blocked = cause in self._history.blocked()
        if self._history.record_completed(cause, completed_at):
            log("call_cleared", call=cause, was_blocked=was_blocked)
            self._own_blocked.pop(cause, None)
            self._drop_losses(cause, completed_at)
            self._completed[cause] = completed_at
            self._mark_changed(cause)

    def _drop_losses(self, cause: Cause, completed_at: float) -> None:
        """Remove a completed request or part from the reports of earlier crashes."""
        for crash in self._crashes.values():
            if is_part(cause):
                if crash.at <= completed_at + PROOF_LEAD_S:
                    crash.drop_part(cause)
            elif crash.at <= completed_at:
                crash.lost.pop(Fingerprint(cause), None)

    def unreachable(self, record: UpstreamRecord) -> None:
        """Record that an upstream accepts no connection."""
        instance = instance_of(record)
        with self._lock:
            check = self._idle_checks.pop(instance, None)
            if check is not None and not self._history.has_crashed(instance):
                at = check.lost_at
                self._crashes[instance] = _LocalCrash(record, at, math.inf)
                self._history.record_lost(instance, {}, at, self._clock())
            if self._history.has_crashed(instance):
                self._confirm(instance)

    def reachable(self, record: UpstreamRecord) -> None:
        """Record that an upstream accepts connections after a lost answer.

        It runs or was restarted; its answers or its registration tell these apart.
        """
        with self._lock:
            self._idle_checks.pop(instance_of(record), None)
            self._history.record_reachable(instance_of(record))

    # -- confirmation of crashes ---------------------------------------------------

    def due_checks(self) -> list[UpstreamRecord]:
        """Return upstreams whose connection check is due, once per crash."""
        now = self._clock()
        with self._lock:
            due = [crash for crash in self._crashes.values() if crash.check_at <= now]
            idle = [c for c in self._idle_checks.values() if c.check_at <= now]
            for crash in due:
                crash.check_at = math.inf
            for check in idle:
                check.check_at = math.inf
        records = [crash.record for crash in due if not crash.confirmed]
        return records + [check.record for check in idle]

    def update_upstreams(self, records: Iterable[UpstreamRecord]) -> None:
        """Apply the list of upstreams; a new instance confirms the end of the old."""
        with self._lock:
            self._listed = listed = tuple(records)
            self._history.update_sizes(self._service_sizes())
            if not self._crashes:
                return
            by_name = {record.name: record for record in listed}
            by_address = {(record.host, record.port): record for record in listed}
            for instance, crash in list(self._crashes.items()):
                address = crash.record.host, crash.record.port
                current = by_name.get(instance.name) or by_address.get(address)
                if current is not None and instance_of(current) != instance:
                    self._confirm(instance)

    def _service_sizes(self) -> dict[UpstreamInstance, ServiceSize]:
        """Return the service of each listed upstream, and how many of it may run."""
        running = [
            record
            for record in self._listed
            if not (record.draining or self._history.has_crashed(instance_of(record)))
        ]
        counts = Counter(record.service for record in running)
        return {
            instance_of(record): ServiceSize(record.service, counts[record.service])
            for record in running
        }

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

    def _runs_anywhere(self, cause: Cause, now: float) -> bool:
        """Return whether an entry has sent a suspect and awaits its outcome."""
        return any(
            trial.cause == cause and trial.upstream for trial in self._all_trials(now)
        )

    def _block_attributed(self) -> None:
        now = self._clock()
        is_informed = now - self._isolated_at >= LEARN_S
        for cause in self._history.block_attributed(
            now, is_informed, lambda cause: self._runs_anywhere(cause, now)
        ):
            remaining_s = self._history.blocked_for(cause, now)
            log(
                "call_blocked",
                call=cause,
                seconds=remaining_s,
                source="judged",
                upstreams=",".join(self._history.crashed_with(cause)),
            )
            self._own_blocked[cause] = now
            self._mark_changed(cause)

    # -- updates between entries ---------------------------------------------------

    def next_update(self) -> CrashUpdate | None:
        """Return the update that is due for the peers, None if there is none."""
        now = self._clock()
        with self._lock:
            if not self._history.is_empty and self._is_isolated():
                self._isolated_at = now
            self._expire(now)
            self._publish_proofs(now)
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
        def is_due(key: UpstreamInstance | Cause) -> bool:
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
            cause: _age_ms(now, at)
            for cause, at in self._completed.items()
            if is_due(cause)
        }
        blocked = {
            cause: int(remaining_s)
            for cause in self._own_blocked
            if is_due(cause)
            and (remaining_s := self._history.blocked_for(cause, now)) is not None
        }
        trials = sorted(self._trials(), key=lambda t: (t.cause, t.upstream or ""))
        return CrashUpdate(crashes, alive, completed, tuple(trials), blocked)

    def _publish_proofs(self, now: float) -> None:
        """Tell the peers that reported parts completed here, unless another has."""
        for part, at in self._proofs.due(now).items():
            log("call_cleared", call=part)
            self._completed[part] = at
            self._mark_changed(part)

    def next_parts_update(self) -> LostPartsUpdate | None:
        """Return the lost parts that are due for the peers, None if there are none."""
        now = self._clock()
        with self._lock:
            is_full = now - self._parts_sent_at >= RESEND_INTERVAL_S
            if not (self._unsent_parts or is_full):
                return None
            due = tuple(
                LostParts(instance.name, instance.started_at_ms, dict(crash.parts))
                for instance, crash in self._crashes.items()
                if crash.parts and (is_full or instance in self._unsent_parts)
            )
            self._unsent_parts.clear()
            if is_full:
                self._parts_sent_at = now
            return LostPartsUpdate(due) if due else None

    def receive_parts(self, msg: LostPartsUpdate) -> None:
        """Apply the lost parts that a peer reports, after its crashes."""
        with self._lock:
            now = self._clock()
            for report in msg.crashes:
                instance = UpstreamInstance(report.upstream, report.started_at_ms)
                crashed_at = self._history.crashed_at(instance)
                if crashed_at is None:
                    continue
                for part in {part for parts in report.lost.values() for part in parts}:
                    proven_at = self._proofs.announce(
                        part, crashed_at - PROOF_LEAD_S, now
                    )
                    if proven_at is not None:
                        self._history.record_completed(part, proven_at)
                self._history.record_lost_parts(instance, report.lost)
            self._block_attributed()

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
            for cause, age_ms in msg.completed.items():
                at = as_of - age_ms / 1000
                self._history.record_completed(cause, at)
                self._drop_losses(cause, at)
                self._proofs.announced(cause, at)
            self._add_blocked({f: as_of + s for f, s in msg.blocked.items()}, vm)
            self._block_attributed()

    def receive_blocked(self, blocked: Mapping[Cause, float]) -> None:
        """Apply blocked requests from the store, with the end of each block."""
        with self._lock:
            self._add_blocked(blocked, "store")

    def lift(self, cause: Cause) -> None:
        """Lift a block that operators or other entries have lifted in the store."""
        with self._lock:
            was_blocked = cause in self._history.blocked()
            self._history.record_completed(cause, self._clock())
            self._own_blocked.pop(cause, None)
        if was_blocked:
            log("call_cleared", call=cause, was_blocked=True)

    def is_refuted(self, cause: Cause, until: float) -> bool:
        """Return whether a cause completed after a block with this end began."""
        with self._lock:
            return self._history.is_refuted(cause, until)

    def blocked(self) -> dict[Cause, float]:
        """Return blocked requests with the monotonic time at which each block ends."""
        with self._lock:
            return dict(self._history.blocked())

    def _add_blocked(self, blocked: Mapping[Cause, float], source: str) -> None:
        now = self._clock()
        for cause, until in blocked.items():
            if until > now and self._history.block(cause, until):
                log("call_blocked", call=cause, seconds=until - now, source=source)

    def _mark_changed(self, key: UpstreamInstance | Cause | None = None) -> None:
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
        self._idle_checks = {
            instance: check
            for instance, check in self._idle_checks.items()
            if now - check.lost_at <= UNCONFIRMED_TTL_S
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
            Trial(cause, upstream)
            for cause in filter(self._is_suspect, self._history.suspects())
            for upstream in self._running_with(cause)
        }
        return running | {Trial(cause, None) for cause in self._announced}

    def _peer_trials(self, now: float) -> Iterator[tuple[Vm, Trial]]:
        for vm, peer in self._peers.items():
            if now - peer.at <= TRIAL_TTL_S:
                for trial in peer.trials:
                    yield vm, trial

    def _all_trials(self, now: float) -> set[Trial]:
        """Return the trials of all entries."""
        return self._trials() | {trial for _, trial in self._peer_trials(now)}


def _keep_least_loaded(views: Sequence[UpstreamView], request: DispatchRequest) -> None:
    """Exclude all upstreams but those where a crash costs the fewest requests."""
    free = [
        view
        for view in views
        if (view.has_model or request.model is None) and has_capacity(view, request)
    ]
    free = [view for view in free if not view.leaving] or free
    least = min((view.running for view in free), default=0)
    for view in views:
        if view not in free or view.running > least:
            view.traffic_share = 0.0


def _retry_after_s() -> float:
    return RETRY_S * (1.0 + random.random() * RETRY_JITTER)


def _age_ms(now: float, at: float) -> int:
    return max(0, int((now - at) * 1000))
