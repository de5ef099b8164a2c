"""Choose among equivalent upstreams although part of their load is unknown.

Load pattern: dozens or hundreds of entries choose at the same moment, by counts that
are a fraction of a second old. If each takes the upstream that looks best, the upstream
receives all requests until the next news, and the others idle meanwhile.

About as many requests have been sent since the news as have ended. The choice assumes
that all entries decide alike, and pours these requests and the new one over the
upstreams as water into vessels: the lowest fill first, up to a common level. A request
then goes to each upstream with the probability of the amount poured there. With fresh
news this is the least loaded upstream, and with news older than the requests a share by
the speed of each upstream. An upstream that joins idle receives as much as it takes to
reach the others.

Upstreams of other zones receive requests only while the own zone is fuller by more than
the cost of crossing, and all of them from twice that cost on.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

UNSEEN_SHARE: Final = 0.25
"""Share of the requests sent since the news that is poured. The others were sent by
earlier news, which showed the same differences, so they have reduced them."""


@dataclass(slots=True)
class Option:
    """One of several equivalent upstreams."""

    known_s: float
    """Expected wait for the work that is known to be there."""
    unseen: float
    """Requests there that have been replaced since the news."""
    request_s: float
    """Time by which one more request extends the wait."""
    crossing_s: float = 0.0
    """Cost of an upstream in another zone; 0 in the zone of the entry."""


def fill(
    levels: Sequence[float], slopes: Sequence[float], amount: float
) -> tuple[float, list[float]]:
    """Pour an amount into vessels; return the common level and the part of each.

    A vessel rises by its slope for each unit poured into it.
    """
    width, volume, level = 0.0, amount, 0.0
    for lowest, slope in sorted(zip(levels, slopes, strict=True)):
        if width and lowest >= level:
            break
        width += 1.0 / slope
        volume += lowest / slope
        level = volume / width
    parts = [
        max(0.0, level - start) / slope
        for start, slope in zip(levels, slopes, strict=True)
    ]
    return level, parts


def choose_even(options: Sequence[Option], sample: float) -> int:
    """Return the index of the chosen option; ``sample`` is a number from 0 to 1."""
    near = [i for i, option in enumerate(options) if not option.crossing_s]
    far = [i for i, option in enumerate(options) if option.crossing_s]
    if not near or not far:
        return _choose_from(options, near or far, sample)
    crossing_s = options[far[0]].crossing_s
    excess_s = _level(options, near) - _level(options, far) - crossing_s
    far_share = min(1.0, max(0.0, excess_s / crossing_s))
    if sample < far_share:
        return _choose_from(options, far, sample / far_share)
    return _choose_from(options, near, (sample - far_share) / (1.0 - far_share))


def _level(options: Sequence[Option], group: Sequence[int]) -> float:
    return _fill_group(options, group)[0]


def _choose_from(options: Sequence[Option], group: Sequence[int], sample: float) -> int:
    _, parts = _fill_group(options, group)
    remaining = sample * sum(parts)
    for index, part in zip(group, parts, strict=True):
        remaining -= part
        if remaining < 0:
            return index
    # Rounding may leave a remainder.
    return group[parts.index(max(parts))]


def _fill_group(
    options: Sequence[Option], group: Sequence[int]
) -> tuple[float, list[float]]:
    members = [options[index] for index in group]
    unseen = sum(option.unseen for option in members)
    return fill(
        [option.known_s for option in members],
        [option.request_s for option in members],
        unseen * UNSEEN_SHARE + 1.0,
    )
