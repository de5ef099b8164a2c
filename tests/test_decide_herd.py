"""Many entries choose engines by updates that arrive late."""

import random
from collections import deque
from dataclasses import dataclass, field

import pytest

from persimmonhitch.decide.dispatch import (
    DispatchRequest,
    Step,
    UpstreamView,
    choose_upstream,
)
from persimmonhitch.ids import Model, Service, Upstream, Zone

LLM, MODEL = Service("llm"), Model("m")
ENTRIES, ENGINES, ZONES = 68, 39, 6
PROMPT, REQUEST_RATE, READ_RATE = 2368, 250.0, 25_800.0
INTERVAL_S = 0.2
DURATION_S, JOIN_AT_S, WARM_UP_S = 12.0, 6.0, 3.0
TARGET_S = 0.6


@dataclass
class Engine:
    """Engine that reads one prompt after the other."""

    zone: Zone
    free_at: float = 0.0
    waits: list = field(default_factory=list)


class Fleet:
    """Entries that see their own requests at once and those of others by updates."""

    def __init__(self, delay_s, seed):
        self._delay_s = delay_s
        self._rng = random.Random(seed)
        self._engines = [Engine(Zone(f"z{n % ZONES}")) for n in range(ENGINES)]
        self._sent = [[deque() for _ in range(ENGINES + 1)] for _ in range(ENTRIES)]
        self._reported = [[0] * (ENGINES + 1) for _ in range(ENTRIES)]
        self._totals = [0] * (ENGINES + 1)
        self._in_transit = deque()
        self._update_at = [self._rng.random() * INTERVAL_S for _ in range(ENTRIES)]

    def run(self):
        """Return the delays from request to first token, for each engine."""
        now = 0.0
        while now < DURATION_S:
            now += self._rng.expovariate(REQUEST_RATE)
            if now >= JOIN_AT_S and len(self._engines) == ENGINES:
                self._engines.append(Engine(Zone("z0")))
            self._exchange_updates(now)
            self._dispatch(self._rng.randrange(ENTRIES), now)
        return [engine.waits for engine in self._engines]

    def _dispatch(self, entry, now):
        zone = Zone(f"z{entry % ZONES}")
        request = DispatchRequest(
            LLM, MODEL, None, PROMPT, 0, 1, now, now + TARGET_S, now + 5, now + 5
        )
        views = [self._view(entry, n, now) for n in range(len(self._engines))]
        choice = choose_upstream(views, request, zone, self._rng.random)
        assert choice.step is Step.SEND
        number = int(choice.upstream)
        engine = self._engines[number]
        engine.free_at = max(now, engine.free_at) + PROMPT / READ_RATE
        self._sent[entry][number].append(engine.free_at)
        if now >= WARM_UP_S:
            engine.waits.append(engine.free_at - now)

    def _unread(self, entry, number, now):
        sent = self._sent[entry][number]
        while sent and sent[0] <= now:
            sent.popleft()
        return len(sent) * PROMPT

    def _view(self, entry, number, now):
        others = self._totals[number] - self._reported[entry][number]
        unread = self._unread(entry, number, now) + others
        zone = self._engines[number].zone
        name = Upstream(str(number))
        return UpstreamView(
            name, zone, 64, 0, 0, 0, unread, True, True, read_rate=READ_RATE
        )

    def _exchange_updates(self, now):
        for entry, at in enumerate(self._update_at):
            if at <= now:
                self._update_at[entry] = at + INTERVAL_S
                engines = range(len(self._engines))
                reported = [self._unread(entry, number, now) for number in engines]
                self._in_transit.append((now + self._delay_s, entry, reported))
        while self._in_transit and self._in_transit[0][0] <= now:
            _, entry, reported = self._in_transit.popleft()
            for number, unread in enumerate(reported):
                self._totals[number] += unread - self._reported[entry][number]
                self._reported[entry][number] = unread


def _late_share(waits):
    return sum(wait > TARGET_S for wait in waits) / len(waits)


@pytest.mark.parametrize("delay_s", [0.1, 0.3])
def test_entries_spread_requests_despite_late_updates(delay_s):
    """With the same updates, all entries would find the same engine to be the best."""
    waits = Fleet(delay_s, 1).run()
    assert _late_share([w for engine_waits in waits for w in engine_waits]) <= 0.02
    # The engine that joins idle would be the best for all entries and get all requests.
    assert _late_share(waits[ENGINES]) <= 0.05
