"""Definition of tokens and of the cost of a request.

A token is one unit of a model's text. Rates and bursts of plans count prompt and output
tokens alike. The entry has no tokenizers of the models, so it estimates one token per
four bytes of the prompt, rounded up. A request reserves its estimated prompt and its
maximum output, and unused tokens are refunded at its end. A request to a plain service
costs a fixed number of tokens from the configuration, independent of its size.
"""

import math
from dataclasses import dataclass
from typing import Final

from ..catalog.model import ServiceEntry
from ..ids import Tokens

BYTES_PER_TOKEN: Final = 4
DEFAULT_MAX_TOKENS: Final = 256
"""Output limit of a request without ``max_tokens``; also sent to the engine."""


@dataclass(frozen=True)
class Cost:
    """Maximum number of tokens that a request may use.

    The engine must enforce ``max_tokens`` as its output limit. Otherwise a caller could
    pay for one token and receive a thousand.
    """

    prompt: int
    max_tokens: int

    @property
    def total(self) -> Tokens:
        """Return the tokens to reserve before the request may run."""
        return Tokens(float(self.prompt + self.max_tokens))

    def used(self, output: int) -> Tokens:
        """Return the actual cost of a request, at most the reserved tokens."""
        return Tokens(float(self.prompt + min(max(output, 0), self.max_tokens)))


def prompt_tokens(text: bytes) -> int:
    """Return the estimated number of tokens of a prompt."""
    return math.ceil(len(text) / BYTES_PER_TOKEN)


def model_cost(prompt: bytes, max_tokens: int | None) -> Cost:
    """Return the cost of a model request."""
    output = DEFAULT_MAX_TOKENS if max_tokens is None else max_tokens
    return Cost(prompt_tokens(prompt), output)


def service_cost(service: ServiceEntry) -> Tokens:
    """Return the cost of a request to a plain service."""
    return Tokens(service.cost)
