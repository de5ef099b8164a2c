"""Memory that answers occupy in this process, with a bound on their total."""

import threading
from collections import deque
from collections.abc import Callable, Iterator
from typing import Final

from ..decide.held_answers import answers_to_cut
from ..http_client import AnswerBoundExceeded, AnswerPart
from ..observe.logs import log

MAX_RELEASE_S: Final = 0.25
"""Longest time for which an answer waits to grow until the threads of cut ones have
dropped what they hold."""
FREE_BYTES: Final = 65536
"""Size of an answer up to which it is not counted: one read, as small as the buffers
that each request has anyway."""


def nothing_to_cut() -> None:
    """Cut an answer whose connection is free again."""


class HeldAnswer:
    """The part of an answer that is held in memory; its thread reports the size."""

    __slots__ = ("_memory", "cut", "is_cut", "size")

    def __init__(self, memory: "AnswerMemory", cut: Callable[[], None]) -> None:
        self._memory = memory
        self.cut = cut
        """Ends the connection on which the thread of the answer may be blocked."""
        self.size = 0
        self.is_cut = False

    def resize(self, size: int) -> None:
        """Report the bytes held; raise ``AnswerBoundExceeded`` if the answer is cut."""
        if size > FREE_BYTES or self.size:
            self._memory.resize(self, size)
        self.check()

    def check(self) -> None:
        """Raise ``AnswerBoundExceeded`` if the answer is cut."""
        if self.is_cut:
            raise AnswerBoundExceeded(AnswerPart.MEMORY, "the memory for all answers")

    def replace_cut(self, cut: Callable[[], None]) -> None:
        """Replace the function that cuts this answer, unless it is cut already.

        A connection that was read to its end may serve another request next, which
        ``cut`` would break off.
        """
        if self.size:
            self._memory.replace_cut(self, cut)
        self.check()

    def release(self) -> None:
        """Report that nothing is held any longer."""
        if self.size:
            self._memory.resize(self, 0)


class AnswerMemory:
    """Total of all answers held; thread-safe.

    Parameters
    ----------
    max_bytes : int or None
        Bound on the total; None for no bound.
    """

    def __init__(self, max_bytes: int | None = None) -> None:
        self._max_bytes = max_bytes
        self._held: dict[HeldAnswer, int] = {}
        self._total = 0
        self._cut_bytes = 0
        """Bytes of cut answers that their threads have not dropped yet."""
        self._lock = threading.Lock()
        self._released = threading.Condition(self._lock)

    @property
    def total(self) -> int:
        """Return the bytes held by all answers that are not cut."""
        return self._total

    def hold(self, cut: Callable[[], None]) -> HeldAnswer:
        """Return the entry of a new answer."""
        return HeldAnswer(self, cut)

    def resize(self, answer: HeldAnswer, size: int) -> None:
        """Set the size of an answer; cut the largest ones if the total is too large.

        A growing answer waits until the memory of cut ones is free.
        """
        if self._max_bytes is None:
            return
        with self._lock:
            if answer.is_cut:
                self._release_cut(answer, size)
                return
            is_growing = size > answer.size
            self._set(answer, size)
            cuts = self._cut_largest(self._max_bytes)
        for held, end_connection in cuts:
            log("answer_memory_full", bytes=held, limit=self._max_bytes)
            end_connection()
        if is_growing:
            self._wait_for_room(answer, self._max_bytes)

    def _cut_largest(self, max_bytes: int) -> list[tuple[int, Callable[[], None]]]:
        """Cut answers; return the size of each and what ends its connection."""
        if self._total <= max_bytes:
            return []
        cut = answers_to_cut(self._held, max_bytes)
        cuts = [(self._held[each], each.cut) for each in cut]
        for each in cut:
            # Its own size stays, by which its thread knows that it has to let go.
            size = self._held.pop(each)
            each.is_cut = True
            self._total -= size
            self._cut_bytes += size
        return cuts

    def _release_cut(self, answer: HeldAnswer, size: int) -> None:
        if not size:
            self._cut_bytes -= answer.size
            answer.size = 0
            self._released.notify_all()

    def _wait_for_room(self, answer: HeldAnswer, max_bytes: int) -> None:
        with self._released:
            self._released.wait_for(
                lambda: answer.is_cut or self._total + self._cut_bytes <= max_bytes,
                MAX_RELEASE_S,
            )

    def replace_cut(self, answer: HeldAnswer, cut: Callable[[], None]) -> None:
        """Replace the function that cuts an answer."""
        with self._lock:
            answer.cut = cut

    def _set(self, answer: HeldAnswer, size: int) -> None:
        self._total += size - answer.size
        answer.size = size
        if size:
            self._held[answer] = size
        else:
            self._held.pop(answer, None)


class HeldBody:
    """Body of a complete answer, held until its caller has read it."""

    def __init__(self, blocks: list[bytes], held: HeldAnswer) -> None:
        self._blocks = deque(blocks)
        self._held = held

    def __iter__(self) -> Iterator[bytes]:
        while self._blocks:
            self._held.check()
            yield self._blocks.popleft()
            self._held.resize(sum(map(len, self._blocks)))

    def close(self) -> None:
        """Release the memory; the server calls this at the end of each answer."""
        self._blocks.clear()
        self._held.release()
