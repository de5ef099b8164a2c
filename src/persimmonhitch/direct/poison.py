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
from .news import Crashed, CrashNews, SeenAlive, Trial

CHECK_AFTER: Final = 0.1
"""Seconds after a loss at which the upstream is asked whether it takes connections."""
RETELL_EVERY: Final = 2.0
"""Seconds after which all is told again, for entries that have missed some."""
RETELL_LIFE: Final = 60.0
"""Seconds for which an entry goes on telling what it saw."""
ANNOUNCE: Final = 0.25
"""Seconds for which the others are told of a suspected call before it is sent; two
entries that send it at once would both lose an upstream."""
ANNOUNCED_LIFE: Final = 0.3
"""Seconds after which a call is not announced any more that nobody waits to send."""
EXPIRE_EVERY: Final = 1.0
"""Seconds between two looks at what is old."""
TRIALS_LIFE: Final = 2.5
"""Seconds after which a silent peer's calls count as ended."""


@dataclass
class _Seen:
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
class _Announced:
    since: float
    wanted_at: float
    """When a call last waited to be sent."""


def start_of(record: UpstreamRecord) -> UpstreamStart:
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
        changed: Callable[[], None] = lambda: None,
        alone: Callable[[], bool] = lambda: False,
    ) -> None:
        self._vm = vm
        self._clock = clock
        self._changed = changed
        self._alone = alone
        self._lock = threading.Lock()
        self._history = CrashHistory()
        self._running: dict[Fingerprint, Counter[Upstream]] = {}
        self._announced: dict[Fingerprint, _Announced] = {}
        self._peers: dict[Vm, _PeerTrials] = {}
        self._seen: dict[UpstreamStart, _Seen] = {}
        self._alive: dict[UpstreamStart, float] = {}
        self._completed: dict[Fingerprint, float] = {}
        self._judged: dict[Fingerprint, float] = {}
        """Calls that were judged here, and when."""
        self._untold: set[UpstreamStart | Fingerprint] = set()
        """What of all this the others have not been told yet."""
        self._due = False
        self._told_at = -math.inf
        self._expired_at = -math.inf

    # -- calls -------------------------------------------------------------------

    def refusal(self, call: Fingerprint) -> Failure | None:
        """Return why a call is not sent to any upstream, if it is not."""
        with self._lock:
            left = self._history.blocked_for(call, self._clock())
            accused = self._history.blame(call) is not None
        if left is not None:
            reason = "upstreams crashed each time that this request ran"
            return Failure(ErrorCode.CRASHES_UPSTREAMS, reason, retry_after=left)
        if accused and self._alone():
            # The others may have seen it crash more; they take its caller's next try.
            reason = (
                "an upstream crashed while this request ran; another entry may know"
            )
            return Failure(ErrorCode.OVERLOADED, reason, retry_after=_soon())
        return None

    def hold_back(self, need: Need, lanes: Iterable[Lane]) -> None:
        """Close lanes to a suspected call that may not run there now."""
        with self._lock:
            if not self._history.is_suspect(need.call):
                return
            now = self._clock()
            waits = not self._is_its_turn(need.call, now)
            taken = {trial.upstream for trial in self._trials(now)}
        for lane in lanes:
            if waits or lane.upstream in taken:
                lane.trust = 0.0

    def _is_its_turn(self, call: Fingerprint, now: float) -> bool:
        """Return whether a suspected call may be sent; announce it before."""
        if self._history.waits_for_proof(call, now) or call in self._running:
            return False
        for vm, trial in self._peer_trials(now):
            if trial.call == call and (trial.upstream is not None or vm < self._vm):
                self._announced.pop(call, None)
                return False
        announced = self._announced.get(call)
        if announced is None or now - announced.wanted_at > ANNOUNCED_LIFE:
            announced = self._announced[call] = _Announced(now, now)
            self._note_change()
        announced.wanted_at = now
        return now - announced.since >= ANNOUNCE

    def trial_refusal(self, call: Fingerprint) -> Failure | None:
        """Return what a suspected call is told that found no place."""
        with self._lock:
            suspect = self._history.is_suspect(call)
        if not suspect:
            return None
        reason = "upstreams crashed while this request ran; it waits to run apart"
        return Failure(ErrorCode.OVERLOADED, reason, retry_after=_soon())

    def started(self, call: Fingerprint, upstream: Upstream) -> None:
        """Note that a call is sent."""
        with self._lock:
            self._announced.pop(call, None)
            self._running.setdefault(call, Counter())[upstream] += 1
            if self._history.is_suspect(call):
                self._note_change()

    def ended(self, call: Fingerprint, upstream: Upstream) -> None:
        """Note that an attempt has ended, however it ended."""
        with self._lock:
            counts = self._running[call]
            counts[upstream] -= 1
            if not counts[upstream]:
                del counts[upstream]
            if not counts:
                del self._running[call]
            if self._history.is_suspect(call):
                self._note_change()

    def lost(self, call: Fingerprint, record: UpstreamRecord, fresh: bool) -> None:
        """Note that a call was lost with the connection to its upstream."""
        now = self._clock()
        start = start_of(record)
        with self._lock:
            seen = self._seen.setdefault(start, _Seen(record, now, now + CHECK_AFTER))
            seen.at = now
            seen.lost[call] = fresh or seen.lost.get(call, False)
            self._history.lost(start, {call: fresh}, now, now)
            self._note_change(start)

    def answered(self, record: UpstreamRecord, sent_at: float) -> None:
        """Note that an upstream has answered a request that was sent at a time."""
        start = start_of(record)
        with self._lock:
            if not self._history.crashed(start):
                return
            if self._history.alive(start, sent_at):
                self._refuted(start, sent_at)

    def completed(self, call: Fingerprint) -> None:
        """Note that a call came to its end."""
        now = self._clock()
        with self._lock:
            if self._history.blame(call) is None:
                return
            if self._history.completed(call, now):
                log("call_cleared", call=call)
                self._clear(call, now)
                self._completed[call] = now
                self._note_change(call)

    def _clear(self, call: Fingerprint, at: float) -> None:
        """Tell no more of a call that came to its end after it was lost."""
        for seen in self._seen.values():
            if seen.at <= at:
                seen.lost.pop(call, None)

    def unreachable(self, record: UpstreamRecord) -> None:
        """Note that an upstream takes no connection."""
        start = start_of(record)
        with self._lock:
            if self._history.crashed(start):
                self._confirm(start)

    # -- whether upstreams have ended ----------------------------------------------

    def due_checks(self) -> list[UpstreamRecord]:
        """Return upstreams to connect to now, each once for a loss."""
        now = self._clock()
        with self._lock:
            due = [seen for seen in self._seen.values() if seen.check_at <= now]
            for seen in due:
                seen.check_at = math.inf
        return [seen.record for seen in due if not seen.confirmed]

    def listed(self, records: Iterable[UpstreamRecord]) -> None:
        """Take the list of upstreams; one that started anew has ended before."""
        with self._lock:
            if not self._seen:
                return
            found = list(records)
            by_name = {record.name: record for record in found}
            by_address = {(record.host, record.port): record for record in found}
            for start, seen in list(self._seen.items()):
                address = seen.record.host, seen.record.port
                now = by_name.get(start.name) or by_address.get(address)
                if now is not None and start_of(now) != start:
                    self._confirm(start)

    def _confirm(self, start: UpstreamStart) -> None:
        if start in self._seen:
            self._seen[start].confirmed = True
        if not self._history.confirm(start):
            return
        log("upstream_crashed", upstream=start.name, born=start.born)
        self._note_change(start)
        self._judge()

    def _refuted(self, start: UpstreamStart, at: float) -> None:
        log("crash_refuted", upstream=start.name, born=start.born)
        self._seen.pop(start, None)
        self._alive[start] = at
        self._note_change(start)

    def _judge(self) -> None:
        now = self._clock()
        for call in self._history.judge(now):
            left = self._history.blocked_for(call, now)
            log("call_blocked", call=call, seconds=left, source="judged")
            self._judged[call] = now
            self._note_change(call)

    # -- what entries tell each other ----------------------------------------------

    def news(self) -> CrashNews | None:
        """Return what the others have to hear now, None if there is nothing."""
        now = self._clock()
        with self._lock:
            self._forget(now)
            self._judge()
            whole = now - self._told_at >= RETELL_EVERY
            if not (self._due or (whole and self._has_news())):
                return None
            if whole:
                self._told_at = now
            news = self._news(now, whole)
            self._due = False
            self._untold.clear()
            return news

    def _news(self, now: float, whole: bool) -> CrashNews:
        def is_due(key: UpstreamStart | Fingerprint) -> bool:
            return whole or key in self._untold

        crashes = tuple(
            Crashed(
                start.name,
                start.born,
                _age_ms(now, seen.at),
                seen.confirmed,
                dict(seen.lost),
            )
            for start, seen in self._seen.items()
            if is_due(start)
        )
        alive = tuple(
            SeenAlive(start.name, start.born, _age_ms(now, at))
            for start, at in self._alive.items()
            if is_due(start)
        )
        completed = {
            call: _age_ms(now, at)
            for call, at in self._completed.items()
            if is_due(call)
        }
        blocked = {
            call: int(left)
            for call in self._judged
            if is_due(call)
            and (left := self._history.blocked_for(call, now)) is not None
        }
        trials = sorted(self._own_trials(), key=lambda t: (t.call, t.upstream or ""))
        return CrashNews(crashes, alive, completed, tuple(trials), blocked)

    def hear(self, vm: Vm, msg: CrashNews, as_of: float) -> None:
        """Take what another entry saw, which was so at ``as_of``."""
        with self._lock:
            now = self._clock()
            self._peers[vm] = _PeerTrials(now, msg.trials)
            for crash in msg.crashes:
                start = UpstreamStart(crash.upstream, crash.born)
                at = as_of - crash.age_ms / 1000
                self._history.lost(start, crash.calls, at, now)
                if crash.confirmed:
                    self._history.confirm(start)
            for seen in msg.alive:
                start = UpstreamStart(seen.upstream, seen.born)
                if self._history.alive(start, as_of - seen.age_ms / 1000):
                    self._seen.pop(start, None)
            for call, age_ms in msg.completed.items():
                at = as_of - age_ms / 1000
                self._history.completed(call, at)
                self._clear(call, at)
            self._take_blocked({c: as_of + s for c, s in msg.blocked.items()}, vm)
            self._judge()

    def hear_blocked(self, blocked: Mapping[Fingerprint, float]) -> None:
        """Take calls that the store has as blocked, with the time until which."""
        with self._lock:
            self._take_blocked(blocked, "store")

    def blocked(self) -> dict[Fingerprint, float]:
        """Return blocked calls with the monotonic time until which they are."""
        with self._lock:
            return dict(self._history.blocked())

    def _take_blocked(self, blocked: Mapping[Fingerprint, float], source: str) -> None:
        now = self._clock()
        for call, until in blocked.items():
            if until > now and self._history.block(call, until):
                log("call_blocked", call=call, seconds=until - now, source=source)

    def _note_change(self, key: UpstreamStart | Fingerprint | None = None) -> None:
        """Have the others told at once; ``key`` is what is new to tell, if not a trial.

        Trials are told in full each time.
        """
        if key is not None:
            self._untold.add(key)
        self._due = True
        self._changed()

    def _has_news(self) -> bool:
        seen = self._seen or self._alive or self._completed or self._judged
        return bool(seen or self._own_trials())

    def _forget(self, now: float) -> None:
        if now - self._expired_at < EXPIRE_EVERY:
            return
        self._expired_at = now
        self._announced = {
            call: announced
            for call, announced in self._announced.items()
            if now - announced.wanted_at <= ANNOUNCED_LIFE
        }
        self._history.expire(now)
        self._judged = {
            call: at for call, at in self._judged.items() if now - at <= RETELL_LIFE
        }
        self._seen = {
            start: seen
            for start, seen in self._seen.items()
            if now - seen.at <= RETELL_LIFE and self._history.crashed(start)
        }
        self._alive = {s: a for s, a in self._alive.items() if now - a <= RETELL_LIFE}
        self._completed = {
            call: at for call, at in self._completed.items() if now - at <= RETELL_LIFE
        }
        self._peers = {
            vm: told for vm, told in self._peers.items() if now - told.at <= TRIALS_LIFE
        }

    def _own_trials(self) -> set[Trial]:
        running = {
            Trial(call, upstream)
            for call in self._history.suspects()
            for upstream in self._running.get(call, ())
        }
        return running | {Trial(call, None) for call in self._announced}

    def _peer_trials(self, now: float) -> Iterator[tuple[Vm, Trial]]:
        for vm, told in self._peers.items():
            if now - told.at <= TRIALS_LIFE:
                for trial in told.trials:
                    yield vm, trial

    def _trials(self, now: float) -> set[Trial]:
        """Return which suspected calls run where, of all entries."""
        return self._own_trials() | {trial for _, trial in self._peer_trials(now)}


def _soon() -> float:
    return FULL_RETRY * (1.0 + random.random() * SPREAD)


def _age_ms(now: float, at: float) -> int:
    return max(0, int((now - at) * 1000))
