"""Body of a streamed answer."""

from collections.abc import Callable, Generator, Iterator
from typing import Final

from ..ids import RequestId, Tokens
from ..verdict import ErrorCode, Failure, Verdict
from ..wire.messages import Chunk, End, Fail
from .answers import failure_event
from .attempt import Frame

CALLER_DISCONNECTED: Final = Failure(
    ErrorCode.DEADLINE, "the caller has gone", Verdict.MAY_HAVE_RUN
)

OnEnd = Callable[[Failure | None, Tokens | None], None]


class StreamBody:
    """Yields the chunks of a stream and calls ``on_end`` exactly once.

    The server always calls ``close``, even if the caller disconnected before the
    first chunk was read. A plain generator that was never started would skip its
    cleanup then, and the caller's tokens would stay reserved for good.
    """

    def __init__(
        self,
        frames: Generator[Frame, None, None],
        request: RequestId,
        on_chunk: Callable[[], None],
        on_end: OnEnd,
    ) -> None:
        self._frames = frames
        self._request = request
        self._on_chunk = on_chunk
        self._on_end = on_end
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        for frame in self._frames:
            if isinstance(frame, Chunk):
                self._on_chunk()
                yield frame.data
            elif isinstance(frame, End):
                self._end(None, frame.tokens)
            elif isinstance(frame, Fail):
                # A stream that ends without an error event looks complete.
                exc = frame.failure()
                self._end(exc, None)
                yield failure_event(exc, self._request)

    def close(self) -> None:
        """Cancel the rest of the stream."""
        self._frames.close()
        self._end(CALLER_DISCONNECTED, None)

    def _end(self, exc: Failure | None, tokens: Tokens | None) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(exc, tokens)
