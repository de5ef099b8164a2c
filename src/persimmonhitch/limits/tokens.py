"""What a token is and what a request costs: the one place that says so.

A token is one unit of a model's text, in the prompt or in the answer; rates and
bursts of plans count both alike. The entry has no tokenizer for each of the models,
so it estimates a prompt as one token for each four bytes, rounded up. A request
reserves its estimated prompt and the most output that it may ask for; when it ends,
what was not used is given back. A call of a plain service costs what its entry in
the configuration says, whatever its size.
"""

import math
from dataclasses import dataclass
from typing import Final

from ..catalog.model import ServiceEntry
from ..ids import Tokens

BYTES_PER_TOKEN: Final = 4
DEFAULT_MAX_TOKENS: Final = 256
"""Output of a request that states no ``max_tokens``; the engine is told it too."""


@dataclass(frozen=True)
class Cost:
    """Tokens that a request may use at most.

    ``max_tokens`` is the output that the engine must be held to: without the
    enforcement a caller could ask for one token and take a thousand.
    """

    prompt: int
    max_tokens: int

    @property
    def total(self) -> Tokens:
        """Return what has to be reserved before the request may run."""
        return Tokens(float(self.prompt + self.max_tokens))

    def used(self, output: int) -> Tokens:
        """Return what a request cost in the end, never more than was reserved."""
        return Tokens(float(self.prompt + min(max(output, 0), self.max_tokens)))


def prompt_tokens(text: bytes) -> int:
    """Return the estimate for a prompt."""
    return math.ceil(len(text) / BYTES_PER_TOKEN)


def model_cost(prompt: bytes, max_tokens: int | None) -> Cost:
    """Return the cost of a model request."""
    output = DEFAULT_MAX_TOKENS if max_tokens is None else max_tokens
    return Cost(prompt_tokens(prompt), output)


def service_cost(service: ServiceEntry) -> Tokens:
    """Return the cost of one call of a plain service."""
    return Tokens(service.cost)
