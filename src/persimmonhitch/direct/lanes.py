"""What this entry knows of each upstream: its record, its work and its failures."""

import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Final

from ..decide.dispatch import READ_RATE, Lane, Need
from ..decide.trust import Trust, is_silent, parts
from ..fleet.call import Load
from ..fleet.config import FleetConfig
from ..fleet.upstream import Holding, UpstreamRecord
from ..ids import Adapter, Model, Service, Upstream, Vm
from .news import HoldingNews, NodeNews, Running
from .peer_work import PeerWork
from .work import Work

MISSING_LIFE: Final = 1.0
"""Seconds for which an engine's word that it lacks something stands against older
news that say it has it."""
TOLD_LIFE: Final = 2.5
"""Seconds for which the word of the lease's holder goes before an engine's own entry,
which is a heartbeat and a lag behind; it is told anew each second."""
BUSY_MARGIN: Final = 0.3
"""Seconds beyond a load's expected end at which orders are tried again; the holder of
the lease tells its end at once."""
SPEED_UP: Final = 0.2
SPEED_DOWN: Final = 0.05
"""Weights of a sample above and below what is taken for an engine's speed: samples are
low where prompts were read between that nobody had told of, and not high."""
SPEED_SAMPLE: Final = 2000
"""Prompt tokens below which the time to a first token is mostly that of other things
than reading."""
RATE_WEIGHT: Final = 0.2
"""Weight of the newest sample in an engine's rate of reading."""
LEAST_SAMPLE: Final = 200
"""Prompt tokens below which the time to a first token says little of that rate."""


@dataclass
class Known:
    """One upstream with what was learned of it."""

    record: UpstreamRecord
    told: Holding | None = None
    """What the holder of the lease says that it holds, at ``told_at``."""
    told_at: float = 0.0
    told_order: tuple[int, int] = (0, 0)
    busy_until: float = 0.0
    """Until when it loads a model and takes no other order."""
    trust: Trust = field(default_factory=Trust)
    heard_at: float = 0.0
    """When it last said anything to a call of this entry."""
    read_rate: float = READ_RATE
    speed: float | None = None
    """Prompt tokens a second that it reads while it reads all the time."""
    missing: dict[tuple[Model, Adapter | None], float] = field(default_factory=dict)
    load: Load | None = None

    def sample_speed(self, sample: float) -> None:
        """Take one sample of its speed of reading."""
        if self.speed is None:
            self.speed = sample
            return
        weight = SPEED_UP if sample > self.speed else SPEED_DOWN
        self.speed += weight * (sample - self.speed)

    def has(self, model: Model, adapter: Adapter | None, now: float) -> bool:
        """Return whether a call for a model and adapter can run there now."""
        holding = self._holding(now)
        if holding is None or not holding.has(model, adapter):
            return False
        since = self.missing.get((model, adapter))
        return since is None or now - since > MISSING_LIFE

    def _holding(self, now: float) -> Holding | None:
        if self.told is not None and now - self.told_at < TOLD_LIFE:
            return self.told
        return self.record.holding


class Lanes:
    """All upstreams; not safe by itself, its owner holds the lock."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._cfg: FleetConfig | None = None
        self._known: dict[Upstream, Known] = {}
        self._by_service: defaultdict[Service, list[Known]] = defaultdict(list)
        self._mine: defaultdict[Upstream, Work] = defaultdict(Work)
        self._peers = PeerWork()

    def configure(self, cfg: FleetConfig) -> None:
        """Take a new configuration."""
        self._cfg = cfg

    def update(self, records: Iterable[UpstreamRecord]) -> None:
        """Take the list of upstreams; what was learned of those that stay is kept."""
        known: dict[Upstream, Known] = {}
        for record in records:
            old = self._known.get(record.name)
            if old is None or (old.record.host, old.record.port) != (
                record.host,
                record.port,
            ):
                known[record.name] = Known(record)
                continue
            if record.born != old.record.born:
                # It started anew under its name and holds nothing of before.
                old = Known(record)
            old.record = record
            known[record.name] = old
        self._known = known
        mine = self._mine.items()
        kept = {name: w for name, w in mine if w.requests or name in known}
        self._mine = defaultdict(Work, kept)
        self._by_service = defaultdict(list)
        for item in known.values():
            if not item.record.draining:
                self._by_service[item.record.service].append(item)

    def hear_holding(self, msg: HoldingNews) -> None:
        """Take what the holder of the lease says that an engine holds."""
        known = self._known.get(msg.upstream)
        if known is None or known.record.born != msg.born:
            return
        if (msg.epoch, msg.number) < known.told_order:
            return
        known.told_order = msg.epoch, msg.number
        models = {model: frozenset(names) for model, names in msg.models.items()}
        for model, names in models.items():
            known.missing.pop((model, None), None)
            for name in names:
                known.missing.pop((model, name), None)
        known.told = Holding(msg.orders, models)
        known.told_at = self._clock()
        loading = msg.coming.values()
        known.busy_until = known.told_at + max(loading, default=-1.0) + BUSY_MARGIN

    def hear_node(self, vm: Vm, msg: NodeNews) -> None:
        """Take what a peer has at each upstream."""
        self._peers.hear(vm, msg, self._clock())

    def expire(self) -> None:
        """Forget the work of peers that have gone silent."""
        self._peers.expire(self._clock())

    def missing(self, upstream: Upstream, need: Need) -> None:
        """Note that an engine said that it lacks a model or adapter."""
        known = self._known.get(upstream)
        if known is not None and need.model is not None:
            known.missing[need.model, need.adapter] = self._clock()

    def get(self, upstream: Upstream) -> Known | None:
        """Return what is known of one upstream."""
        return self._known.get(upstream)

    def serves(self, record: UpstreamRecord, need: Need) -> bool:
        """Return whether an upstream can run a call once it has a place."""
        known = self._known.get(record.name)
        if known is None or record.service != need.service:
            return False
        return need.model is None or known.has(need.model, None, self._clock())

    def serving(self, service: Service) -> list[Known]:
        """Return the upstreams of a service that are not leaving."""
        return self._by_service[service]

    def start(self, upstream: Upstream, need: Need) -> None:
        """Count a call that is sent."""
        self._mine[upstream].start(need, self._clock())

    def read(self, upstream: Upstream, need: Need, seconds: float, before: int) -> None:
        """Count a call whose first token came, ``seconds`` after it was sent.

        ``before`` is the number of prompt tokens that were to be read by then.
        """
        self._mine[upstream].unread -= need.prompt
        known = self._known.get(upstream)
        if known is not None and before >= LEAST_SAMPLE and seconds > 0:
            known.read_rate += RATE_WEIGHT * (before / seconds - known.read_rate)
            # Alone: of what others sent some was read by then, and was told as unread.
            if before == need.prompt >= SPEED_SAMPLE:
                known.sample_speed(before / seconds)

    def speed(self, service: Service) -> float:
        """Return the prompt tokens a second that an engine of a service reads."""
        speeds = [k.speed for k in self._by_service[service] if k.speed is not None]
        return median(speeds) if speeds else READ_RATE

    def finish(self, upstream: Upstream, need: Need, was_read: bool) -> None:
        """Count a call that has ended."""
        self._mine[upstream].finish(need, was_read)

    def unread(self, upstream: Upstream) -> int:
        """Return the prompt tokens that an upstream has yet to read, of all entries."""
        return self._mine[upstream].unread + self._peers.at(upstream).unread

    def lanes(self, need: Need, excluded: frozenset[Upstream]) -> list[Lane]:
        """Return the upstreams that a call may go to."""
        spec = self._cfg.services.get(need.service) if self._cfg else None
        kv_tokens = spec.engine.kv_tokens if spec and spec.engine else 0
        now = self._clock()
        every = self._by_service[need.service]
        trusted = parts([known.trust for known in every], now)
        able = {
            known.record.name
            for known in every
            if need.model is None or known.has(need.model, None, now)
        }
        lanes = [
            self._lane(known, need, kv_tokens, part, now)
            for known, part in zip(every, trusted, strict=True)
            if known.record.name not in excluded
        ]
        self._trust_the_last(lanes, able)
        return lanes

    def _trust_the_last(self, lanes: list[Lane], able: set[Upstream]) -> None:
        """Let failing upstreams work that are all there are for a call.

        An answer in two is more than none: their callers would be refused at once.
        """
        left = [lane for lane in lanes if lane.upstream in able]
        if any(lane.trust >= 1.0 for lane in left):
            return
        for lane in left:
            if self._known[lane.upstream].trust.reachable and not lane.silent:
                lane.trust = 1.0

    def _lane(
        self, known: Known, need: Need, kv_tokens: int, part: float, now: float
    ) -> Lane:
        name = known.record.name
        mine = self._mine[name]
        others = self._peers.at(name)
        model = need.model
        silent = is_silent(mine.requests, known.heard_at, mine.idle_until, now)
        return Lane(
            upstream=name,
            zone=known.record.zone,
            slots=known.record.slots,
            kv_tokens=kv_tokens,
            running=mine.requests + others.requests,
            tokens=mine.tokens + others.tokens,
            unread=mine.unread + others.unread,
            model_here=model is not None and known.has(model, None, now),
            adapter_here=model is not None and known.has(model, need.adapter, now),
            fetches=now >= known.busy_until,
            read_rate=known.read_rate,
            trust=0.0 if silent else part,
            silent=silent,
        )

    def running(self) -> tuple[Running, ...]:
        """Return this entry's work at each upstream, for its peers."""
        return tuple(
            work.running(name) for name, work in self._mine.items() if work.requests
        )
