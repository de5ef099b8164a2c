"""Even load by stated loads: the replay of many entries, and the rules alone."""

import hashlib
import random
from dataclasses import replace
from statistics import fmean

import pytest
from even_load_fleet import EvenLoadFleet, Load

from persimmonhitch.decide.dispatch import (
    Choice,
    DispatchRequest,
    Step,
    UpstreamView,
    choose_upstream,
)
from persimmonhitch.decide.even_choice import Option, choose_even, fill
from persimmonhitch.decide.load_estimate import (
    MAX_FIGURES_AGE_S,
    MIN_UNUSABLE_S,
    CountedWork,
    FiguresCheck,
    FiguresState,
    StatedLoad,
    effective_slowdown,
    estimate_load,
)
from persimmonhitch.ids import Adapter, Model, Service, Upstream, Zone

Z1, Z2 = Zone("z1"), Zone("z2")
API = Service("api")
BUSY = 0.7
"""Share of the capacity that callers ask for in a busy hour."""


def results(load, seeds):
    """Return mean results without and with stated loads."""
    return [
        [
            fmean(figure)
            for figure in zip(
                *(
                    EvenLoadFleet(replace(load, seed=seed), stated).run()
                    for seed in range(1, seeds + 1)
                ),
                strict=True,
            )
        ]
        for stated in (False, True)
    ]


# -- replay ------------------------------------------------------------------------


@pytest.mark.parametrize("uneven", [False, True])
def test_stated_load_halves_spread_waits_and_overruns(uneven):
    """Guards against entries that all send to the upstream that looked idle before."""
    before, after = results(Load(22, 3, BUSY, 0.25, uneven), 8)
    for figure_before, figure_after in zip(before, after, strict=True):
        assert figure_after <= figure_before / 2


@pytest.mark.parametrize(
    "load",
    [
        Load(4, 3, BUSY, 0.25),
        Load(4, 3, BUSY, 1.0, uneven=True),
        Load(22, 3, BUSY, 0.05),
        Load(22, 3, BUSY, 1.0, uneven=True),
        Load(68, 12, BUSY, 0.25, uneven=True, duration_s=7.0),
        Load(68, 12, BUSY, 1.0, duration_s=7.0),
    ],
    ids=str,
)
def test_load_is_as_even_as_before_at_any_size_and_age(load):
    """Guards against a choice that fits one size of the fleet and one age of news."""
    before, after = results(load, 2)
    assert after[0] <= before[0]
    assert after[1] <= before[1]


@pytest.mark.parametrize(
    ("news_age_s", "uneven"), [(0.05, True), (0.25, False), (1.0, True)]
)
def test_load_of_hundreds_of_entries_is_as_even_as_before(news_age_s, uneven):
    """Guards against a choice that needs each entry to know a share of the answers."""
    load = Load(360, 16, BUSY, news_age_s, uneven, duration_s=6.0)
    before, after = results(load, 1)
    for figure_before, figure_after in zip(before, after, strict=True):
        assert figure_after <= figure_before


@pytest.mark.parametrize("fault", ["joins", "liar", "silent"])
def test_one_odd_upstream_gets_no_crowd(fault):
    """Guards against a crowd at an upstream that is new, lies or states nothing."""
    load = Load(22, 3, BUSY, 0.25, **{fault: True})
    fleet = EvenLoadFleet(load, stated=True)
    fleet.run()
    odd = sorted(fleet.servers[-1 if load.joins else 0].waits)
    assert odd[int(0.95 * len(odd))] <= load.work_s


@pytest.mark.parametrize("uneven", [False, True])
def test_first_tokens_of_engines_are_no_later(uneven):
    load = Load(22, 21, BUSY, 0.25, uneven, engines=True, duration_s=10.0)
    before, after = results(load, 3)
    assert after[1] <= before[1]


# -- choices without stated loads --------------------------------------------------


def random_choices(rng):
    """Yield choices among random views of upstreams that state no slowdown."""
    for _ in range(400):
        model = rng.choice([None, Model("m")])
        adapter = rng.choice([None, Adapter("a")]) if model else None
        prompt = rng.randrange(1, 4000) if model else 0
        request = DispatchRequest(
            API, model, adapter, prompt, prompt + 50, 1, 0.0, 1.0, 5.0, 5.0
        )
        views = [
            UpstreamView(
                Upstream(f"e{n}"),
                rng.choice([Z1, Z2]),
                rng.choice([1, 6, 64]),
                rng.choice([0, 40_000]),
                rng.randrange(0, 8),
                rng.randrange(0, 40_000),
                rng.randrange(0, 20_000) if model else 0,
                rng.random() < 0.9,
                rng.random() < 0.5,
                rng.choice([0.0, 0.0, 0.2]),
                rng.uniform(5_000, 30_000),
                rng.choice([1.0, 1.0, 0.5, 0.01, 0.0]),
                rng.random() < 0.1,
            )
            for n in range(rng.randrange(0, 7))
        ]
        yield choose_upstream(views, request, Z1, rng.random)


def test_choices_without_stated_loads_are_as_recorded():
    """Guards earlier deployments: their upstreams state no slowdown."""
    chosen = [
        f"{choice.step.value} {choice.upstream} {choice.wait_s:.6f}"
        for choice in random_choices(random.Random(59))
    ]
    digest = hashlib.sha256("\n".join(chosen).encode()).hexdigest()
    assert digest[:16] == "245d5213d55bbe4c"


# -- the estimate ------------------------------------------------------------------


def estimate(work, stated=None, service_s=0.1, mean=0.0, now=10.0):
    return estimate_load(work, stated, service_s, mean, now)


@pytest.mark.parametrize(
    ("work", "stated", "running", "known"),
    [
        # Fresh news is exact.
        (CountedWork(1, 0, 4, 0, 0.0), None, 5, 5),
        # Requests of the peers end before their news arrives; own ones are known.
        (CountedWork(1, 0, 4, 0, 10.0), None, 5, 1),
        # An answer of this moment is worth more than peers' counts.
        (CountedWork(1, 0, 4, 0, 0.25), StatedLoad(9, 1, 1.0, 10.0), 9, 9),
        # Requests sent since the answer are added to it.
        (CountedWork(3, 0, 0, 0, 0.25), StatedLoad(9, 1, 1.0, 10.0), 11, 11),
        # Figures older than a second are not used.
        (
            CountedWork(0, 0, 4, 0, 0.0),
            StatedLoad(9, 0, 1.0, 9.9 - MAX_FIGURES_AGE_S),
            4,
            4,
        ),
    ],
)
def test_estimate_joins_counts_by_age(work, stated, running, known):
    found = estimate(work, stated)
    assert found.running == pytest.approx(running, abs=0.05)
    assert found.known_running == pytest.approx(known, abs=0.05)


@pytest.mark.parametrize(
    ("age_s", "certain"), [(0.0, 9.0), (0.05, 4.4), (0.25, 1.5), (1.0, 1.0)]
)
def test_old_news_of_a_full_upstream_leaves_doubt(age_s, certain):
    """Guards against idle upstreams whose requests wait at entries for news."""
    found = estimate(CountedWork(1, 0, 8, 0, age_s), mean=4.0)
    assert found.certain_running == pytest.approx(certain, abs=0.2)


@pytest.mark.parametrize(
    ("stated", "age_s", "expected"),
    [
        (2.5, 0.0, 2.5),
        (2.5, 0.3, 1.75),
        (2.5, 0.6, 1.0),
        (2.5, 5.0, 1.0),
        (0.8, 0.3, 0.9),
        (900.0, 0.0, 10.0),
    ],
)
def test_slowdown_fades(stated, age_s, expected):
    assert effective_slowdown(stated, age_s) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("answers", "state"),
    [
        ([(4, 4)] * 10, FiguresState.USABLE),
        ([(0, 8)] * 10, FiguresState.IMPLAUSIBLE),
        ([(0, 8)] * 3, FiguresState.USABLE),
        ([(0, 2)] * 10, FiguresState.USABLE),
        ([(9, 0)] * 10, FiguresState.USABLE),
        ([(4, 4), None, None], FiguresState.USABLE),
        ([(4, 4), None, None, None], FiguresState.SILENT),
        ([(4, 4), None, None, None, (4, 4)], FiguresState.SILENT),
        ([(4, 4), None, None, None] + [(4, 4)] * 9, FiguresState.USABLE),
    ],
)
def test_figures_that_can_not_be_true_are_not_used(answers, state):
    """Guards against an upstream that says it is idle and is full, or stops telling."""
    check, changes = FiguresCheck(), 0
    for n, answer in enumerate(answers):
        now = n * MIN_UNUSABLE_S / 5
        changes += check.add(*answer, now) if answer else check.add_silent(now)
    assert check.state is state
    assert changes <= 2


# -- the choice --------------------------------------------------------------------


@pytest.mark.parametrize(
    ("levels", "slopes", "amount", "parts"),
    [
        ([0, 0], [1, 1], 1, [0.5, 0.5]),
        ([0, 9], [1, 1], 1, [1, 0]),
        ([0, 1], [1, 1], 3, [2, 1]),
        ([0, 0], [1, 3], 4, [3, 1]),
        ([2, 0, 1], [1, 1, 1], 1, [0, 1, 0]),
    ],
)
def test_fill(levels, slopes, amount, parts):
    assert fill(levels, slopes, amount)[1] == pytest.approx(parts)


@pytest.mark.parametrize(
    ("near_s", "far_share"), [(0.0, 0.0), (0.04, 0.0), (0.06, 0.5), (0.2, 1.0)]
)
def test_requests_leave_a_zone_that_is_fuller(near_s, far_share):
    """Guards against a zone whose upstream is full while those of others idle."""
    options = [Option(near_s, 0, 0.01), Option(0.0, 0, 0.01, crossing_s=0.04)]
    chosen = [choose_even(options, n / 1000) for n in range(1000)]
    assert fmean(chosen) == pytest.approx(far_share, abs=0.01)


def test_adapter_stays_where_it_is_resident():
    """Guards against loads of an adapter at every engine that is less loaded."""
    work = CountedWork(0, 0, 3, 0.05, 0.2)
    views = [
        UpstreamView(
            Upstream(f"e{n}"), Z1, 64, 0, 3, 0, 750, True, n == 0,
            estimate=estimate(work if n == 0 else CountedWork(0, 0, 0, 0, 0.2)),
        )
        for n in range(3)
    ]  # fmt: skip
    request = DispatchRequest(
        API, Model("m"), Adapter("a"), 900, 950, 1, 0.0, 1.0, 5.0, 5.0
    )
    rng = random.Random(1)
    chosen = {choose_upstream(views, request, Z1, rng.random) for _ in range(99)}
    assert chosen == {Choice(Step.SEND, Upstream("e0"))}
