"""Seeded calls of one load pattern."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Final

from ..ids import Account, Adapter, Model, RequestId
from ..wire.messages import Priority
from .sizes import Deployment

BASE_RATE: Final = 3.6
"""Calls per second and engine at load 1."""
DEADLINE: Final = 30.0
BATCH_DEADLINE: Final = 600.0
BATCH_SHARE: Final = 0.1
PROMPT_MEAN: Final = 350.0
OUTPUT_MEAN: Final = 120.0
MOST_PROMPT: Final = 1500
MOST_OUTPUT: Final = 400
PREFIXES: Final = 3
PREFIX_TOKENS: Final = 200
ADAPTER_SHARE: Final = 0.5
GIANT_PROMPT: Final = 6000
GIANT_OUTPUT: Final = 800
RATE_SLACK: Final = 1.3
BURST_SECONDS: Final = 20.0
FLOOD: Final = 5.0


class Pattern(Enum):
    """Load patterns of the simulator."""

    BURST = "burst"
    FLOOD = "flood"
    SLOW = "slow"
    LONG = "long"
    SATURATION = "saturation"
    TENFOLD = "tenfold"


@dataclass(frozen=True)
class Call:
    """One call of one account.

    ``reserved`` is the prompt plus the output limit; ``output`` is the number of tokens
    that the engine will generate, which is unknown in advance.
    """

    request: RequestId
    at: float
    account: Account
    model: Model
    adapter: Adapter | None
    prefix: str
    prompt: int
    output: int
    reserved: float
    deadline: float
    priority: Priority

    @property
    def deadline_at(self) -> float:
        """Return the deadline of the call."""
        return self.at + self.deadline

    @property
    def most_output(self) -> float:
        """Return the output limit in tokens."""
        return self.reserved - self.prompt


@dataclass(frozen=True)
class Allowance:
    """Rate and burst of one account, in tokens, and its weight."""

    rate: float
    burst: float
    weight: float


@dataclass(frozen=True)
class Scene:
    """The calls and accounts of one run."""

    deployment: Deployment
    pattern: Pattern
    seconds: float
    calls: tuple[Call, ...]
    allowances: dict[Account, Allowance]


@dataclass(frozen=True)
class _Shape:
    """Load of a pattern over time and accounts."""

    load: Callable[[float], float]
    flood: float = 1.0
    giants: float = 0.0
    skew: float = 0.7
    heat: float = 0.0
    allowed: float = 1.0


def _flat(load: float) -> Callable[[float], float]:
    return lambda _: load


SHAPES: Final = {
    Pattern.BURST: _Shape(lambda part: 1.5 if 0.4 < part < 0.5 else 0.5),
    Pattern.FLOOD: _Shape(_flat(0.9), flood=FLOOD, skew=1.1),
    Pattern.SLOW: _Shape(_flat(0.5)),
    Pattern.LONG: _Shape(_flat(0.4), giants=0.08),
    Pattern.SATURATION: _Shape(lambda part: 0.5 + 2.5 * part, allowed=6.0),
    Pattern.TENFOLD: _Shape(_flat(0.8), heat=10.0),
}


def _lognormal(rng: Random, mean: float, most: int) -> int:
    return max(1, min(most, int(rng.lognormvariate(0.0, 0.7) * mean / 1.28)))


def mean_cost(rng: Random, count: int = 2000) -> float:
    """Return the mean tokens that a call reserves."""
    sizes = [_sizes(rng, False) for _ in range(count)]
    return sum(prompt + most for prompt, _, most in sizes) / count


def _sizes(rng: Random, giant: bool) -> tuple[int, int, int]:
    if giant:
        return GIANT_PROMPT, GIANT_OUTPUT, GIANT_OUTPUT
    prompt = _lognormal(rng, PROMPT_MEAN, MOST_PROMPT)
    output = _lognormal(rng, OUTPUT_MEAN, MOST_OUTPUT)
    return prompt, output, min(MOST_OUTPUT, 2 * output)


class _Caller:
    """Draws the calls of a scene."""

    def __init__(self, size: Deployment, shape: _Shape, rng: Random) -> None:
        self._size = size
        self._shape = shape
        self._rng = rng
        self._models = size.model_names()
        self._popular = [1.0 / (n + 1) ** shape.skew for n in range(size.models)]
        self._adapters = size.adapter_names()
        self._accounts = size.account_names()
        self._shares = list(size.account_shares)
        # The second smallest account floods, so that its effect on large ones shows.
        self._shares[-2] *= shape.flood

    def total_share(self) -> float:
        """Return the load relative to that without a flood."""
        return sum(self._shares)

    def call(self, number: int, at: float, part: float) -> Call:
        """Return the call at a time; ``part`` of the run has passed."""
        rng = self._rng
        account = rng.choices(self._accounts, self._shares)[0]
        model = rng.choices(self._models, self._weights(part))[0]
        adapted = rng.random() < ADAPTER_SHARE
        adapter = rng.choice(self._adapters) if adapted else None
        giant = account == self._accounts[-1] and rng.random() < self._giants()
        prompt, output, most = _sizes(rng, giant)
        batch = rng.random() < BATCH_SHARE
        return Call(
            request=RequestId(f"r{number}"),
            at=at,
            account=account,
            model=model,
            adapter=adapter,
            prefix=f"{account}/{model}/{rng.randrange(PREFIXES)}",
            prompt=prompt + PREFIX_TOKENS,
            output=output,
            reserved=float(prompt + PREFIX_TOKENS + most),
            deadline=BATCH_DEADLINE if batch else DEADLINE * (3 if giant else 1),
            priority=Priority.BATCH if batch else Priority.INTERACTIVE,
        )

    def _giants(self) -> float:
        return min(1.0, self._shape.giants / self._size.account_shares[-1])

    def _weights(self, part: float) -> list[float]:
        if not self._shape.heat:
            return self._popular
        # Three unpopular models gradually become ten times as popular.
        weights = list(self._popular)
        rise = 1.0 + (self._shape.heat - 1.0) * min(1.0, 2.0 * part)
        for number in range(self._size.models // 2, self._size.models // 2 + 3):
            weights[number] *= rise
        return weights


def draw_scene(
    size: Deployment, pattern: Pattern, seed: int, seconds: float = 60.0
) -> Scene:
    """Return the calls and allowances of a pattern for a seed."""
    rng = Random(f"{size.name}/{pattern.value}/{seed}")
    shape = SHAPES[pattern]
    caller = _Caller(size, shape, rng)
    full = BASE_RATE * size.engines
    calls: list[Call] = []
    at = 0.0
    while True:
        part = at / seconds
        at += rng.expovariate(full * shape.load(part) * caller.total_share())
        if at >= seconds:
            break
        calls.append(caller.call(len(calls), at, part))
    return Scene(size, pattern, seconds, tuple(calls), _allow(size, shape, calls, rng))


def _allow(
    size: Deployment, shape: _Shape, calls: list[Call], rng: Random
) -> dict[Account, Allowance]:
    """Return a rate for each account with some slack above its load."""
    base = BASE_RATE * size.engines * mean_cost(rng) * shape.allowed
    usual = sum(shape.load(n / 100) for n in range(100)) / 100
    allowed = {}
    for account, share in zip(size.account_names(), size.account_shares, strict=True):
        rate = base * usual * share * RATE_SLACK
        if shape.giants and share == size.account_shares[-1]:
            rate += sum(c.reserved for c in calls if c.account == account) / 60.0
        allowed[account] = Allowance(rate, rate * BURST_SECONDS, share)
    return allowed
