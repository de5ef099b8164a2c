"""Where calls wait for an upstream, and who goes first."""

import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure as Err
from returns.result import Result, Success

from ..decide.dispatch import Choice, Lane, Need, Step, choose
from ..decide.patience import (
    LIMIT_WORD,
    LOAD_WORD,
    give_up_at,
    limited,
    load_limit,
    refusal,
)
from ..fleet.config import FleetConfig
from ..fleet.upstream import UpstreamRecord
from ..ids import Adapter, Model, Service, Upstream, Vm, Zone
from ..observe.logs import log
from ..verdict import Failure
from .abort import Abort
from .lanes import Lanes
from .news import HoldingNews, NodeNews, Want
from .poison import PoisonGuard
from .upstream_limits import UpstreamLimits

WANT_AGAIN = 0.25
"""Seconds after which something that is still missing is asked for again; an order for
an adapter takes a tenth of that, and a lost message shows by nothing else."""


@dataclass(eq=False)
class _Waiter:
    need: Need
    excluded: frozenset[Upstream]
    give_up_at: float
    decided: threading.Event = field(default_factory=threading.Event)
    upstream: UpstreamRecord | None = None
    failure: Failure | None = None
    last: Choice = Choice(Step.WAIT)
    limited: frozenset[Upstream] = frozenset()
    """All upstreams that could run it, if all of them take no more requests now."""

    def order(self) -> tuple[int, float]:
        return self.need.rank, self.need.arrived


class Permit:
    """A place at one upstream for one attempt; release it exactly once."""

    def __init__(
        self,
        owner: "Dispatcher",
        record: UpstreamRecord,
        need: Need,
        now: float,
        unread: int,
    ) -> None:
        self.record = record
        self.need = need
        self._owner = owner
        self._sent_at = now
        self._unread = unread
        self._was_read = False
        self._released = False

    def heard(self) -> None:
        """Note that the upstream has said something."""
        self._owner.heard(self.record)

    def first_token(self) -> None:
        """Note that the upstream has read the prompt."""
        if not self._was_read:
            self._was_read = True
            self._owner.read(self.record, self.need, self._sent_at, self._unread)

    def release(self) -> None:
        """Give the place back."""
        if not self._released:
            self._released = True
            self._owner.release(self.record, self.need, self._was_read)


class Dispatcher:
    """Hands out places at upstreams, the most urgent call first."""

    def __init__(
        self,
        zone: Zone,
        want: Callable[[Want], None],
        poison: PoisonGuard,
        limits: UpstreamLimits,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._zone = zone
        self._want = want
        self._poison = poison
        self._limits = limits
        self._clock = clock
        self._lock = threading.Lock()
        self._lanes = Lanes(clock)
        self._waiters: list[_Waiter] = []
        self._wanted: dict[tuple[Model, Adapter | None, Upstream | None], float] = {}
        self._coming: dict[Model, float] = {}
        self._asked: dict[Model, float] = {}
        self._cfg: FleetConfig | None = None
        self._closing: Failure | None = None

    # -- calls -------------------------------------------------------------------

    def acquire(
        self, need: Need, abort: Abort, excluded: frozenset[Upstream] = frozenset()
    ) -> Result[Permit, Failure]:
        """Wait for a place; return it, or why there is none in time."""
        now = self._clock()
        waiter = _Waiter(need, excluded, give_up_at(need))
        with self._lock:
            if self._closing is not None:
                return Err(self._closing)
            self._waiters.append(waiter)
            self._match()
            if not waiter.decided.is_set():
                self._refuse_hopeless(waiter, now)
        abort.on_fire(waiter.decided.set)
        while not waiter.decided.wait(max(0.0, waiter.give_up_at - now)):
            now = self._clock()
            if now >= waiter.give_up_at:
                break
        with self._lock:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            if waiter.upstream is None:
                return Err(waiter.failure or self._no_place(waiter))
            unread = self._lanes.unread(waiter.upstream.name)
            sent_at = self._clock()
        return Success(Permit(self, waiter.upstream, need, sent_at, unread))

    def _no_place(self, waiter: _Waiter) -> Failure:
        on_trial = None
        if waiter.last.step is Step.WAIT:
            on_trial = self._poison.trial_refusal(waiter.need.call)
        if on_trial is None and waiter.limited:
            return limited(waiter.need, self._limits.wait(waiter.limited))
        return on_trial or refusal(waiter.last.step, waiter.need)

    def _refuse_hopeless(self, waiter: _Waiter, now: float) -> None:
        """Refuse at once what waits for a load that ends too late."""
        need = waiter.need
        if waiter.last.step is not Step.LOAD or need.model is None:
            return
        ready_at = self._coming.get(need.model, 0.0)
        if ready_at <= now:
            # Nobody has said yet that it is being loaded.
            waiter.give_up_at = min(need.deadline_at, now + LOAD_WORD)
            return
        if ready_at < load_limit(need):
            waiter.give_up_at = load_limit(need)
            return
        waiter.failure = refusal(Step.LOAD, need, ready_at - now)
        waiter.decided.set()

    def asked(self, model: Model, tokens: float) -> None:
        """Count what callers ask of a model, whether it is served or not."""
        with self._lock:
            self._asked[model] = self._asked.get(model, 0.0) + tokens

    def read(
        self, record: UpstreamRecord, need: Need, sent_at: float, unread: int
    ) -> None:
        """Count a first token; its engine may have room for the next prompt."""
        with self._lock:
            self._lanes.read(record.name, need, self._clock() - sent_at, unread)

    def release(self, record: UpstreamRecord, need: Need, was_read: bool) -> None:
        """Count the end of an attempt and let the next one in."""
        with self._lock:
            self._lanes.finish(record.name, need, was_read)
            self._poison.ended(need.call, record.name)
            self._match(record)

    def close(self, failure: Failure) -> None:
        """Refuse what waits, and what comes; it has time left to go elsewhere."""
        with self._lock:
            self._closing = failure
            for waiter in self._waiters:
                waiter.failure = failure
                waiter.decided.set()

    def _match(self, freed: UpstreamRecord | None = None) -> None:
        """Give every place that is free to the first that can use it.

        Where it is known that only ``freed`` has a place more than before, calls that
        can't run there are not looked at.
        """
        for waiter in sorted(self._waiters, key=_Waiter.order):
            if waiter.decided.is_set():
                continue
            if freed is not None and not self._lanes.serves(freed, waiter.need):
                continue
            waiter.failure = self._poison.refusal(waiter.need.call)
            if waiter.failure is not None:
                waiter.decided.set()
                continue
            lanes = self._lanes.lanes(waiter.need, waiter.excluded)
            self._poison.hold_back(waiter.need, lanes)
            waiter.limited = self._all_limited(waiter.need, lanes)
            waiter.last = choose(lanes, waiter.need, self._zone)
            self._act(waiter, waiter.last)
            if waiter.limited and not waiter.decided.is_set():
                self._refuse_limited(waiter)

    def _all_limited(self, need: Need, lanes: list[Lane]) -> frozenset[Upstream]:
        closed = self._limits.hold_back(lanes)
        able = {ln.upstream for ln in lanes if need.model is None or ln.model_here}
        return closed & able if closed and able <= closed else frozenset()

    def _refuse_limited(self, waiter: _Waiter) -> None:
        """Refuse at once what finds no place in its time."""
        wait = self._limits.wait(waiter.limited)
        now = self._clock()
        if wait is None:
            waiter.give_up_at = min(waiter.give_up_at, now + LIMIT_WORD)
        elif now + wait > waiter.give_up_at:
            waiter.failure = limited(waiter.need, wait)
            waiter.decided.set()

    def _act(self, waiter: _Waiter, choice: Choice) -> None:
        need = waiter.need
        if choice.step is Step.SEND and choice.upstream is not None:
            known = self._lanes.get(choice.upstream)
            assert known is not None
            self._lanes.start(choice.upstream, need)
            self._poison.started(need.call, choice.upstream)
            self._limits.sent(choice.upstream)
            waiter.upstream = known.record
            self._waiters.remove(waiter)
            waiter.decided.set()
        elif choice.step is Step.NONE:
            waiter.failure = refusal(Step.NONE, need)
            waiter.decided.set()
        elif choice.step in (Step.FETCH, Step.LOAD) and need.model is not None:
            adapter = need.adapter if choice.step is Step.FETCH else None
            self._ask(need.model, adapter, choice.upstream)

    def _ask(
        self, model: Model, adapter: Adapter | None, upstream: Upstream | None
    ) -> None:
        now = self._clock()
        wanted = model, adapter, upstream
        if now - self._wanted.get(wanted, -WANT_AGAIN) >= WANT_AGAIN:
            self._wanted[wanted] = now
            self._want(Want(*wanted, self._asked.get(model, 0.0)))

    # -- what is known -----------------------------------------------------------

    def configure(self, cfg: FleetConfig) -> None:
        """Take a new configuration."""
        with self._lock:
            self._cfg = cfg
            self._lanes.configure(cfg)

    def update(self, records: list[UpstreamRecord]) -> None:
        """Take the list of upstreams."""
        with self._lock:
            self._lanes.update(records)
            self._match()

    def hear_holding(self, msg: HoldingNews) -> None:
        """Take what an engine holds now."""
        now = self._clock()
        with self._lock:
            for model, left in msg.coming.items():
                self._coming[model] = now + left
            self._lanes.hear_holding(msg)
            self._match()
            for waiter in list(self._waiters):
                if msg.coming and waiter.need.model in msg.coming:
                    self._refuse_hopeless(waiter, now)

    def hear_node(self, vm: Vm, msg: NodeNews) -> None:
        """Take what a peer has at each upstream; what waits is looked at by ``tick``.

        Dozens of peers tell more often than their places change, and a look at all
        that waits at each message would take all of a small VM's time.
        """
        with self._lock:
            self._lanes.hear_node(vm, msg)

    def missing(self, record: UpstreamRecord, need: Need) -> None:
        """Note that an engine lacks what its records say it has."""
        with self._lock:
            self._lanes.missing(record.name, need)

    def failed(self, record: UpstreamRecord, unreachable: bool) -> None:
        """Note a failed answer, or a connection that could not be made."""
        now = self._clock()
        with self._lock:
            known = self._lanes.get(record.name)
            if known is None:
                return
            trust = known.trust
            out = trust.unreachable(now) if unreachable else trust.failed(now)
        if unreachable:
            self._poison.unreachable(record)
        if out:
            log("upstream_out", upstream=record.name, unreachable=unreachable)

    def ok(self, record: UpstreamRecord) -> None:
        """Note an answer that is as it should be."""
        now = self._clock()
        with self._lock:
            known = self._lanes.get(record.name)
            if known is not None:
                known.heard_at = now
                known.trust.ok(now)

    def heard(self, record: UpstreamRecord) -> None:
        """Note a sign of life; without the lock, since each token is one."""
        known = self._lanes.get(record.name)
        if known is not None:
            known.heard_at = self._clock()

    def news(self) -> NodeNews:
        """Return this entry's work for its peers; what it spent is left empty."""
        with self._lock:
            return NodeNews({}, dict(self._asked), self._lanes.running())

    def read_rate(self, service: Service) -> float:
        """Return the prompt tokens a second that an engine of a service reads."""
        with self._lock:
            return self._lanes.speed(service)

    def tick(self) -> None:
        """Look again at what waits; upstreams return to trust with time alone."""
        now = self._clock()
        with self._lock:
            wanted = self._wanted.items()
            self._wanted = {w: at for w, at in wanted if now - at < WANT_AGAIN}
            self._lanes.expire()
            if self._waiters:
                self._match()
