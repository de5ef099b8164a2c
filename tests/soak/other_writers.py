"""Objects that another writer keeps among the records of upstreams."""

import random
import threading
import time

from returns.result import Success

from persimmonhitch.standin.store_state import UnknownAfter
from persimmonhitch.store.objects import Kind

NAMES = tuple(
    f"{first}{rest}"
    for first in ("b", "ledger-1", "llm-1")
    for rest in (" c", "#c", "%41", "%", "&c", "&after=a", "+c", "/..", "ü")
)
"""Names with delimiters of paths and queries; records of upstreams follow them."""
SPECS = (
    {"owner": "inventory", "slots": "many", "address": None},
    {"service": ["llm"], "address": "nowhere", "zone": 1, "state": {}},
    {},
)
PAGE_ITEMS = 1, 2
"""Fewest and most objects of a page of a list."""
MAX_OBJECTS = 4
WHOLE_RUN_RATE = 0.5
"""Share of the objects that stand for the whole run."""
STANDING_S, START_S = (2.0, 8.0), (0.0, 8.0)
"""Shortest and longest time for which an object stands, and before it does."""
RENEWAL_S = 0.25


class OtherWriter(threading.Thread):
    """Writes a few objects, and writes them again where a restored store lacks them.

    The pages of the store are short, so that the objects end some of them.
    """

    def __init__(self, platform, seed, log):
        super().__init__(daemon=True)
        rng = random.Random(f"other writers {seed}")
        self._state = state = platform.state
        self._log = log
        self._ended = threading.Event()
        state.page_items = rng.randint(*PAGE_ITEMS)
        state.unknown_after = rng.choice(list(UnknownAfter))
        self._objects = [
            (name, rng.choice(SPECS), *self._choose_span(rng))
            for name in rng.sample(NAMES, rng.randint(1, MAX_OBJECTS))
        ]
        platform.foreign_names |= {name for name, *_ in self._objects}

    def _choose_span(self, rng):
        """Return the seconds after the start from and until which an object stands."""
        if rng.random() < WHOLE_RUN_RATE:
            return 0.0, float("inf")
        begin = rng.uniform(*START_S)
        return begin, begin + rng.uniform(*STANDING_S)

    def stop(self):
        self._ended.set()

    def start(self):
        """Write the objects that stand from the start, then those that come and go."""
        items, after = self._state.page_items, self._state.unknown_after.value
        self._log(f"{items} objects a page, unknown names: {after}, {self._objects}")
        self._write(0.0)
        super().start()

    def run(self):
        start = time.monotonic()
        while not self._ended.wait(RENEWAL_S):
            self._write(time.monotonic() - start)

    def _write(self, elapsed_s):
        for name, spec, begin, end in self._objects:
            self._apply(name, spec, begin <= elapsed_s < end)

    def _apply(self, name, spec, stands):
        """Create or delete an object where the store does not have it as it should."""
        result = self._state.get(Kind.UPSTREAM, name)
        if not isinstance(result, Success):
            if stands:
                self._state.create(Kind.UPSTREAM, name, spec)
        elif not stands:
            self._state.delete(result.unwrap())
