"""Time that engines take to read prompts, by model.

Load pattern: the models of one service differ by several times in the time that a
prompt token takes, engines of one service differ in speed, and the busiest model is the
fastest one. If all prompt tokens counted alike, prompts of slow models would be sent to
engines that can't read them in time, while engines with many tokens of a fast model
would be considered full.

The work of a prompt is therefore counted in tokens of a reference model, which an
engine of usual speed reads at ``REFERENCE_RATE``. The factor of a model is learned from
the time between sending a prompt to an engine that reads no other one and its first
token, less the slowdown that the engine states. Under load most of these samples are
too long, some by several times: other entries have sent prompts there that are not
known yet. Nothing shortens a sample but cached parts, a small share of a prompt. A
sample that is shorter than expected therefore counts for many longer ones, and the time
by which a longer one exceeds ``MAX_EXCESS`` of what was expected does not count. A
model without samples has the factor of the known model whose weights are closest in
size, since larger models read more slowly.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from ..ids import Model

REFERENCE_RATE: Final = 15_000.0
"""Prompt tokens per second of the reference model that an engine reads."""
FIRST_TOKEN_S: Final = 0.03
"""Seconds of a first token that are not spent on reading: the round trip and a step."""
MIN_SAMPLE_TOKENS: Final = 500
"""Below this prompt size, most of the time to the first token is not reading."""
SHORT_WEIGHT: Final = 0.4
"""Weight of a sample that took less time than expected."""
LONG_WEIGHT: Final = 0.02
"""Weight of a sample that took longer; prompts of others may be the reason."""
MAX_EXCESS: Final = 1.5
"""Largest ratio of a sample to the expected time that counts."""
MIN_FACTOR: Final = 0.02
MAX_FACTOR: Final = 10.0


@dataclass
class _ModelFactor:
    value: float = 1.0

    def add(self, sample: float) -> None:
        weight = SHORT_WEIGHT if sample < self.value else LONG_WEIGHT
        self.value += weight * (min(sample, self.value * MAX_EXCESS) - self.value)


@dataclass
class ReadCosts:
    """Read costs of the models of one service.

    Parameters
    ----------
    sizes : mapping
        Size of the weights of each model in MB.
    """

    sizes: Mapping[Model, float] = field(default_factory=dict)
    _factors: dict[Model, _ModelFactor] = field(default_factory=dict)

    def factor(self, model: Model | None) -> float:
        """Return the reference tokens that one prompt token of a model counts as."""
        if model is None:
            return 1.0
        known = self._factors.get(model)
        if known is not None:
            return known.value
        size = self.sizes.get(model)
        if size is None or not self._factors:
            return 1.0
        nearest = min(
            self._factors, key=lambda m: (abs(self.sizes.get(m, 0.0) - size), m)
        )
        return self._factors[nearest].value

    def read_rates(self) -> dict[Model, float]:
        """Return the tokens per second that a usual engine reads of each model."""
        return {m: REFERENCE_RATE / f.value for m, f in self._factors.items()}

    def work(self, model: Model | None, tokens: int) -> int:
        """Return the reference tokens that a prompt counts as."""
        return max(1, round(tokens * self.factor(model))) if tokens > 0 else 0

    def record_solo(
        self, model: Model, tokens: int, seconds: float, slowdown: float
    ) -> None:
        """Record the first token of a prompt that an engine read alone.

        Parameters
        ----------
        tokens : int
            Tokens of the prompt.
        seconds : float
            Time from sending the request to its first token.
        slowdown : float
            How many times as long as usual work took at the engine meanwhile.
        """
        if tokens < MIN_SAMPLE_TOKENS or slowdown <= 0:
            return
        read_s = max(0.0, seconds / slowdown - FIRST_TOKEN_S)
        sample = read_s * REFERENCE_RATE / tokens
        factor = self._factors.setdefault(model, _ModelFactor())
        factor.add(min(MAX_FACTOR, max(MIN_FACTOR, sample)))
