"""The operators' bound of retries, as counted by the upstreams of a service."""

from bisect import bisect_right


def _count(times, begin, end):
    return bisect_right(times, end) - bisect_right(times, begin)


def excess_retries(bound, requests, retries):
    """Return the most retries beyond the bound in any window, negative if within it.

    ``requests`` are the times of all requests for the service, and ``retries`` those of
    the arrivals beyond the first of each request.
    """
    requests, retries, window = sorted(requests), sorted(retries), bound.window_s
    worst = -bound.slack
    for end in retries:
        begin = end - window
        asked = max(
            _count(requests, begin - back, end - back)
            for back in (0.0, window / 2, window)
        )
        allowed = bound.ratio * asked + bound.slack
        worst = max(worst, _count(retries, begin, end) - allowed)
    return worst


def retry_times(arrivals):
    """Return the times of all arrivals but the first of each request.

    ``arrivals`` are pairs of a request id and a time.
    """
    seen, times = set(), []
    for request_id, at in sorted(arrivals, key=lambda arrival: arrival[1]):
        if request_id in seen:
            times.append(at)
        seen.add(request_id)
    return times
