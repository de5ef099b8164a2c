"""Observes how callers read their answers, and drops the slowest at a bound."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from ..decide.slow_readers import BLOCKED_FRACTION, SlowReader, readers_to_drop
from ..observe.logs import log

CHECK_INTERVAL_S: Final = 0.25


@dataclass(frozen=True)
class _Wait:
    channel: Any
    since: float
    sent_before: int


class SlowReaders:
    """Checks the channels of a server; used by one thread.

    Parameters
    ----------
    max_unread : int
        Bound on the unread bytes of all callers.
    max_buffered : int
        Unread bytes of one caller beyond which its request waits.
    places : int
        Most requests at a time.
    """

    def __init__(
        self,
        max_unread: int,
        max_buffered: int,
        places: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._max_unread = max_unread
        self._max_buffered = max_buffered
        self._max_blocked = int(places * BLOCKED_FRACTION)
        self._clock = clock
        self._checked_at = clock()
        self._waits: dict[int, _Wait] = {}

    def check(self, channels: Iterable[Any]) -> None:
        """Drop callers if a bound is exceeded; does nothing between two checks."""
        now = self._clock()
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        waiting = [channel for channel in channels if channel.total_outbufs_len]
        self._waits = {id(channel): self._wait(channel, now) for channel in waiting}
        readers = [self._reader(wait, now) for wait in self._waits.values()]
        for reader in readers_to_drop(readers, self._max_unread, self._max_blocked):
            log(
                "slow_reader_dropped",
                bytes=reader.unread,
                seconds=round(reader.waiting_s, 2),
                rate=round(reader.rate),
                readers=len(readers),
                limit=self._max_unread,
                places=self._max_blocked,
            )
            self._waits.pop(reader.conn).channel.drop()

    def _wait(self, channel: Any, now: float) -> _Wait:
        wait = self._waits.get(id(channel))
        # The reference to the channel keeps its id from being reused.
        return wait or _Wait(channel, now, channel.sent_bytes)

    def _reader(self, wait: _Wait, now: float) -> SlowReader:
        channel = wait.channel
        return SlowReader(
            id(channel),
            channel.total_outbufs_len,
            channel.sent_bytes - wait.sent_before,
            now - wait.since,
            channel.total_outbufs_len > self._max_buffered,
        )
