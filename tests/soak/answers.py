"""Upstreams with unusual answers: unframed, late, cut, with backoffs, or leaving."""

from dataclasses import dataclass

from soak.upstream_faults import UpstreamFaults

MEAN_GAP_S = 1.5
"""Mean seconds between two changes of the answers of an upstream."""
DURATION_S = 1.0, 4.0
"""Shortest and longest time without framing."""

LEAVING_SHARE = 0.15
"""Share of these times for which an upstream leaves instead."""
BACKOFF_SHARE = 0.35
"""Share of these times for which an upstream rejects requests with a backoff."""
REJECTED_SHARE = 0.1, 0.9
BACKOFF_S = (0.0, 0.7, 2.0, 4.0)
LEAVE_S = 6.0
"""Seconds that a leaving upstream still serves."""


@dataclass(frozen=True)
class AnswerStyle:
    """Shares of the answers without framing, and of those that are truncated."""

    unframed: float = 0.0
    truncated: float = 0.0
    rejected: float = 0.0
    """Share of the requests that are rejected with a backoff of ``backoff_s``."""
    backoff_s: float = 0.0


FRAMED = AnswerStyle()


@dataclass(frozen=True)
class Flaws:
    """Shares of the answers that come again late, or end within their head."""

    copied: float = 0.0
    """Share of the answers that are sent again before the next on their connection."""
    headless: float = 0.0


FLAWLESS = Flaws()


class LateAnswers(UpstreamFaults):
    """Makes upstreams send answers twice, or cut heads, for some seconds."""

    def __init__(self, platform, seed):
        super().__init__("late answers", platform, seed, MEAN_GAP_S)

    def _change(self, upstream):
        seconds = self._rng.uniform(*DURATION_S)
        upstream.flaws = Flaws(
            self._rng.uniform(0.0, 0.5), self._rng.choice((0.0, 0.0, 0.2))
        )
        self._start(self._restore, upstream, seconds)

    def _restore(self, upstream, seconds):
        upstream.closed.wait(seconds)
        upstream.flaws = FLAWLESS


class AnswerFaults(UpstreamFaults):
    """Changes the answers of upstreams for some seconds."""

    def __init__(self, platform, records, seed, log):
        super().__init__("answers", platform, seed, MEAN_GAP_S)
        self._records = records
        self._log = log

    def _change(self, upstream):
        seconds = self._rng.uniform(*DURATION_S)
        draw = self._rng.random()
        if draw < LEAVING_SHARE:
            self._start(self._leave, upstream)
            return
        is_backoff = draw < LEAVING_SHARE + BACKOFF_SHARE
        upstream.style = self._backoff_style() if is_backoff else self._unframed()
        self._start(self._restore, upstream, seconds)

    def _unframed(self):
        return AnswerStyle(self._rng.uniform(0.1, 0.6), 0.3)

    def _backoff_style(self):
        rejected = self._rng.uniform(*REJECTED_SHARE)
        return AnswerStyle(rejected=rejected, backoff_s=self._rng.choice(BACKOFF_S))

    def _restore(self, upstream, seconds):
        upstream.closed.wait(seconds)
        upstream.style = FRAMED

    def _leave(self, upstream):
        """Make an upstream leave that reports it in its answers alone."""
        if upstream.draining:
            return
        upstream.draining = upstream.leaving = True
        self._log(f"{upstream.spec.name} leaves, as only its answers report")
        self._platform.add(upstream.spec.service, 0)
        if not upstream.closed.wait(LEAVE_S):
            self._records.open_span("crash", upstream.spec.name)
            self._platform.crash(upstream)
