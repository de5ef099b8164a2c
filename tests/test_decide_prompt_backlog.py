"""A burst of prompts at engines that read them one after the other."""

import math
import random
from collections import deque

import pytest

from persimmonhitch.decide.dispatch import (
    DispatchRequest,
    Step,
    UpstreamView,
    choose_upstream,
)
from persimmonhitch.decide.prompt_backlog import BacklogLimit, fits_backlog
from persimmonhitch.decide.wait_limits import queue_key
from persimmonhitch.fleet.config import Route, RouteKind, Target
from persimmonhitch.ids import Model, Service, Upstream, Zone

LLM, MODEL, Z1 = Service("llm"), Model("m"), Zone("z1")
PROMPT, READ_RATE, ENGINES = 2000, 20_000.0, 4
BURST_S, BURST_RATE, USUAL_RATE, END_S = 3.0, 70.0, 20.0, 10.0
TARGETS_S = (0.8, 6.0)
"""Latency targets of urgent and of other requests; half of the requests are urgent."""


def route(latency_target, gap=0.0, kind=RouteKind.STREAM, service=LLM):
    targets = (Target(service, 1.0),)
    return Route("r", "h", "/", kind, targets, 5, latency_target, gap, 0, 1, True, True)


@pytest.mark.parametrize(
    ("routes", "limit"),
    [
        ([], math.inf),
        ([route(0.8, service=Service("other"))], math.inf),
        ([route(0.2, kind=RouteKind.IDEMPOTENT)], math.inf),
        ([route(0.8), route(6.0)], 0.4),
        ([route(2.0, gap=0.3)], 0.3),
    ],
)
def test_limit_of_unread_prompts(routes, limit):
    assert BacklogLimit.from_routes(routes, LLM).seconds == limit


@pytest.mark.parametrize(
    ("pauses", "expected"),
    [
        ([0.1] * 50, 0.4),
        ([0.1] * 40 + [0.5], 0.4),
        ([0.1, 0.1, 0.5] * 30, 0.16),
        ([0.5] * 50 + [0.1] * 100, 0.4),
    ],
)
def test_limit_follows_the_pauses_of_streams(pauses, expected):
    """Guards against streams that pause while their engine reads prompts in a row."""
    limit = BacklogLimit.from_routes([route(2.0, gap=0.4)], LLM)
    for pause_s in pauses:
        limit.record_stream(pause_s)
    assert limit.seconds == pytest.approx(expected)
    newer = BacklogLimit.from_routes([route(2.0, gap=0.4)], LLM)
    assert newer.with_pauses_of(limit).seconds == limit.seconds


@pytest.mark.parametrize(
    ("unread_s", "read_s", "limit_s", "fits"),
    [
        (0.0, 9.0, 0.4, True),
        (0.2, 0.1, 0.4, True),
        (0.2, 0.3, 0.4, False),
        (9.0, 9.0, math.inf, True),
    ],
)
def test_prompts_that_fit(unread_s, read_s, limit_s, fits):
    assert fits_backlog(unread_s, read_s, limit_s) is fits


def arrivals(rng):
    now, result = 0.0, deque()
    while now < END_S:
        now += rng.expovariate(BURST_RATE if now < BURST_S else USUAL_RATE)
        rank = rng.randrange(2)
        target_at = now + TARGETS_S[rank]
        result.append(
            DispatchRequest(
                LLM, MODEL, None, PROMPT, 0, rank, now, target_at, now + 9, now + 9
            )
        )
    return result


def play(limit_s):
    """Return the share of urgent requests in time, and the last one that is late."""
    rng = random.Random(7)
    incoming, waiting, outcomes = arrivals(rng), [], []
    reading = [deque() for _ in range(ENGINES)]
    now = 0.0
    while incoming or waiting:
        now += 0.01
        while incoming and incoming[0].arrived <= now:
            waiting.append(incoming.popleft())
        for queue in reading:
            while queue and queue[0] <= now:
                queue.popleft()
        for request in sorted(waiting, key=queue_key):
            choice = choose_upstream(
                [view(n, queue, now, limit_s) for n, queue in enumerate(reading)],
                request,
                Z1,
                rng.random,
            )
            if choice.step is Step.SEND:
                queue = reading[int(choice.upstream)]
                end = max(now, queue[-1] if queue else 0.0) + PROMPT / READ_RATE
                queue.append(end)
                waiting.remove(request)
                if request.rank == 0:
                    outcomes.append((end <= request.latency_target_at, request.arrived))
    in_time = sum(ok for ok, _ in outcomes) / len(outcomes)
    return in_time, max((at for ok, at in outcomes if not ok), default=0.0)


def view(number, queue, now, limit_s):
    unread = int(max(0.0, (queue[-1] if queue else now) - now) * READ_RATE)
    return UpstreamView(
        Upstream(str(number)),
        Z1,
        64,
        0,
        len(queue),
        0,
        unread,
        True,
        True,
        read_rate=READ_RATE,
        backlog_limit_s=limit_s,
    )


def test_urgent_requests_are_in_time_during_a_burst():
    """Guards against seconds of unread prompts that delay what could be in time."""
    in_time, late_until = play(limit_s=0.4)
    unlimited, unlimited_late_until = play(limit_s=math.inf)
    assert in_time >= 0.95
    assert unlimited <= 0.7
    assert late_until <= BURST_S < unlimited_late_until
