"""Model of an engine with continuous batching and a prefix cache.

A step takes ``STEP`` for each model with work, ``PER_STREAM`` for each stream that
decodes and ``PER_PROMPT_TOKEN`` for each prompt token, of which at most ``CHUNK`` go
into one step. With these assumptions, forty streams of a few models reach the target of
54 ms between tokens.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from ..ids import Adapter, Model
from .calls import PREFIX_TOKENS, Call

STEP: Final = 0.006
PER_STREAM: Final = 0.0006
PER_PROMPT_TOKEN: Final = 0.00003
CHUNK: Final = 512
PREFIX_SLOTS: Final = 60
ADAPTER_SLOTS: Final = 24
ADAPTER_SECONDS: Final = 0.2


@dataclass
class Stream:
    """A running call."""

    call: Call
    started_at: float
    ready_at: float
    prefill: float
    left: int
    first_at: float | None = None
    gaps: int = 0
    slow_gaps: int = 0


@dataclass(frozen=True)
class Step:
    """Result of one step."""

    seconds: float
    firsts: tuple[Stream, ...]
    decoded: tuple[Stream, ...]
    done: tuple[Stream, ...]


class _Slots:
    """LRU cache of names."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._names: OrderedDict[str, None] = OrderedDict()

    def use(self, name: str) -> bool:
        """Add a name; return whether it was present."""
        hit = name in self._names
        self._names[name] = None
        self._names.move_to_end(name)
        if len(self._names) > self._size:
            self._names.popitem(last=False)
        return hit

    def __contains__(self, name: str) -> bool:
        return name in self._names


class EngineModel:
    """Streams of one engine, advanced step by step."""

    def __init__(self) -> None:
        self.slowness = 1.0
        self.streams: list[Stream] = []
        self._prefixes = _Slots(PREFIX_SLOTS)
        self._adapters = _Slots(ADAPTER_SLOTS)

    def warm_prefix(self, prefix: str) -> float:
        """Return the number of cached prompt tokens."""
        return float(PREFIX_TOKENS) if prefix in self._prefixes else 0.0

    def has_adapter(self, adapter: Adapter | None) -> bool:
        """Return whether an adapter is resident."""
        return adapter is None or adapter in self._adapters

    def start(self, now: float, call: Call) -> None:
        """Start a call."""
        loaded = call.adapter is None or self._adapters.use(call.adapter)
        warm = PREFIX_TOKENS if self._prefixes.use(call.prefix) else 0
        ready_at = now if loaded else now + ADAPTER_SECONDS
        self.streams.append(
            Stream(call, now, ready_at, call.prompt - warm, call.output)
        )

    def serves(self, model: Model) -> bool:
        """Return whether a call of a model is running."""
        return any(stream.call.model == model for stream in self.streams)

    def cancel_late(self, now: float) -> tuple[Stream, ...]:
        """Stop and return the streams whose deadline has passed."""
        late = tuple(each for each in self.streams if each.call.deadline_at <= now)
        if late:
            self.streams = [each for each in self.streams if each not in late]
        return late

    def step(self, now: float) -> Step:
        """Advance all streams by one step that begins now."""
        room = float(CHUNK)
        firsts: list[Stream] = []
        decoded: list[Stream] = []
        for stream in self.streams:
            if stream.first_at is not None:
                decoded.append(stream)
            elif stream.ready_at <= now and room > 0.0:
                taken = min(room, stream.prefill)
                room -= taken
                stream.prefill -= taken
                if stream.prefill <= 0.0:
                    firsts.append(stream)
        models = {stream.call.model for stream in self.streams}
        seconds = self.slowness * (
            STEP * len(models)
            + PER_STREAM * len(decoded)
            + PER_PROMPT_TOKEN * (CHUNK - room)
        )
        return self._finish(now + seconds, seconds, firsts, decoded)

    def _finish(
        self, at: float, seconds: float, firsts: list[Stream], decoded: list[Stream]
    ) -> Step:
        for stream in firsts:
            stream.first_at = at
            stream.left -= 1
        for stream in decoded:
            stream.left -= 1
            stream.gaps += 1
        done = tuple(stream for stream in self.streams if stream.left <= 0)
        if done:
            self.streams = [stream for stream in self.streams if stream.left > 0]
        return Step(seconds, tuple(firsts), tuple(decoded), done)
