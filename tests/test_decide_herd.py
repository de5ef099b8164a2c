"""Many entries choose engines on news that are late."""

import random
from collections import deque
from dataclasses import dataclass, field

import pytest

from persimmonhitch.decide.dispatch import Lane, Need, Step, choose
from persimmonhitch.ids import Model, Service, Upstream, Zone

LLM, MODEL = Service("llm"), Model("m")
ENTRIES, ENGINES, ZONES = 68, 39, 6
PROMPT, RATE, SPEED = 2368, 250.0, 25_800.0
NEWS_EVERY = 0.2
SECONDS, JOINS_AT, WARM = 12.0, 6.0, 3.0
AIM = 0.6


@dataclass
class Engine:
    """Reads one prompt after the other."""

    zone: Zone
    free_at: float = 0.0
    waits: list = field(default_factory=list)


class Fleet:
    """Entries that know their own calls at once and all others' by late news."""

    def __init__(self, late, seed):
        self._late = late
        self._rng = random.Random(seed)
        self._engines = [Engine(Zone(f"z{n % ZONES}")) for n in range(ENGINES)]
        self._own = [[deque() for _ in range(ENGINES + 1)] for _ in range(ENTRIES)]
        self._told = [[0] * (ENGINES + 1) for _ in range(ENTRIES)]
        self._sums = [0] * (ENGINES + 1)
        self._on_way = deque()
        self._news_at = [self._rng.random() * NEWS_EVERY for _ in range(ENTRIES)]

    def play(self):
        """Return the seconds from a call to its first token, for each engine."""
        now = 0.0
        while now < SECONDS:
            now += self._rng.expovariate(RATE)
            if now >= JOINS_AT and len(self._engines) == ENGINES:
                self._engines.append(Engine(Zone("z0")))
            self._news(now)
            self._call(self._rng.randrange(ENTRIES), now)
        return [engine.waits for engine in self._engines]

    def _call(self, entry, now):
        zone = Zone(f"z{entry % ZONES}")
        need = Need(LLM, MODEL, None, PROMPT, 0, 1, now, now + AIM, now + 5, now + 5)
        lanes = [self._lane(entry, n, now) for n in range(len(self._engines))]
        choice = choose(lanes, need, zone, self._rng.random)
        assert choice.step is Step.SEND
        number = int(choice.upstream)
        engine = self._engines[number]
        engine.free_at = max(now, engine.free_at) + PROMPT / SPEED
        self._own[entry][number].append(engine.free_at)
        if now >= WARM:
            engine.waits.append(engine.free_at - now)

    def _unread(self, entry, number, now):
        own = self._own[entry][number]
        while own and own[0] <= now:
            own.popleft()
        return len(own) * PROMPT

    def _lane(self, entry, number, now):
        others = self._sums[number] - self._told[entry][number]
        unread = self._unread(entry, number, now) + others
        zone = self._engines[number].zone
        name = Upstream(str(number))
        return Lane(name, zone, 64, 0, 0, 0, unread, True, True, read_rate=SPEED)

    def _news(self, now):
        for entry, at in enumerate(self._news_at):
            if at <= now:
                self._news_at[entry] = at + NEWS_EVERY
                known = range(len(self._engines))
                told = [self._unread(entry, number, now) for number in known]
                self._on_way.append((now + self._late, entry, told))
        while self._on_way and self._on_way[0][0] <= now:
            _, entry, told = self._on_way.popleft()
            for number, unread in enumerate(told):
                self._sums[number] += unread - self._told[entry][number]
                self._told[entry][number] = unread


def _late_part(waits):
    return sum(wait > AIM for wait in waits) / len(waits)


@pytest.mark.parametrize("late", [0.1, 0.3])
def test_entries_do_not_all_choose_the_same_engine(late):
    """All that look at the same news would find the same engine the soonest."""
    waits = Fleet(late, 1).play()
    assert _late_part([w for found in waits for w in found]) <= 0.02
    # The one that joined empty; taken for the best by all, it gets all of the calls.
    assert _late_part(waits[ENGINES]) <= 0.05
