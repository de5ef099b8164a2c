"""Calls that wait for an upstream."""

import threading
import time
from dataclasses import replace

import pytest
from direct_help import no_limits
from fleet import wait_for
from returns.result import Success

from persimmonhitch.decide.dispatch import Need
from persimmonhitch.decide.trust import FAILURES
from persimmonhitch.direct.abort import Abort
from persimmonhitch.direct.dispatcher import Dispatcher
from persimmonhitch.direct.lanes import Lanes
from persimmonhitch.direct.poison import PoisonGuard
from persimmonhitch.fleet.upstream import ORDERS_UNKNOWN, Holding, UpstreamRecord
from persimmonhitch.ids import Model, Service, Upstream, Vm, Zone
from persimmonhitch.verdict import ErrorCode, Failure

LLM, Z1, BIG = Service("llm"), Zone("z1"), Model("big")
STOPPING = Failure(ErrorCode.SHUTTING_DOWN, "stopping", retry_after=0.0)


def record(name="e1", models=(BIG,), slots=2, draining=False, born=1):
    held = Holding(ORDERS_UNKNOWN, {model: frozenset() for model in models})
    return UpstreamRecord(
        Upstream(name), LLM, "10.0.0.1", 80, Z1, slots, draining, born, held
    )


def need(rank=1, aim=5.0, deadline=10.0, model=BIG, adapter=None):
    now = time.monotonic()
    end = now + deadline
    return Need(LLM, model, adapter, 100, 120, rank, now, now + aim, end, end)


def abort():
    return Abort(lambda: False, time.monotonic() + 60)


def dispatcher(*records):
    made = Dispatcher(Z1, lambda _want: None, PoisonGuard(Vm("e1")), no_limits())
    made.update(list(records))
    return made


class Waiting:
    """A call that waits on a thread of its own."""

    def __init__(self, owner, wanted):
        self.result = None
        self._thread = threading.Thread(target=self._run, args=(owner, wanted))
        before = len(owner._waiters)
        self._thread.start()
        wait_for(
            lambda: len(owner._waiters) > before or not self._thread.is_alive(),
            "the call to wait",
        )

    def _run(self, owner, wanted):
        self.result = owner.acquire(wanted, abort())

    def outcome(self):
        self._thread.join(10)
        return self.result


def test_what_waits_at_a_stop_is_refused_while_it_has_time():
    """An entry is told to stop while calls wait in it for a model that is on no engine.
    Kept to the end of the entry's time they get no answer at all; refused at once they
    find their place at another entry.
    """
    made = dispatcher(record(models=()))
    call = Waiting(made, need())
    made.close(STOPPING)
    assert call.outcome().failure() is STOPPING
    assert made.acquire(need(), abort()).failure() is STOPPING


def test_the_most_urgent_goes_first():
    made = dispatcher(record(slots=1))
    first = made.acquire(need(), abort()).unwrap()
    late = Waiting(made, need(rank=2))
    urgent = Waiting(made, need(rank=0))
    first.release()
    permit = urgent.outcome().unwrap()
    assert late.result is None
    permit.release()
    assert isinstance(late.outcome(), Success)


def test_an_upstream_that_leaves_gets_nothing_more():
    """An upstream says that it is draining while calls go to it."""
    made = dispatcher(record("e1"), record("e2"))
    made.update([record("e1", draining=True), record("e2")])
    for _ in range(2):
        assert made.acquire(need(), abort()).unwrap().record.name == "e2"


def test_the_only_engine_with_a_model_is_used_though_its_answers_fail():
    """One engine alone holds a model, and some of its answers fail. Kept from work for
    that, every caller of the model is refused, where most would have been served.
    """
    other = Model("other")
    made = dispatcher(record("e1"), *(record(f"e{n}", (other,)) for n in (2, 3, 4)))
    for _ in range(FAILURES):
        made.failed(record("e1"), unreachable=False)
    assert made.acquire(need(), abort()).unwrap().record.name == "e1"


def test_an_engine_that_takes_no_connection_is_not_used():
    made = dispatcher(record("e1"), record("e2"))
    made.failed(record("e1"), unreachable=True)
    for _ in range(2):
        assert made.acquire(need(), abort()).unwrap().record.name == "e2"


def test_nothing_is_kept_of_upstreams_that_are_gone():
    """Upstreams are replaced day and night, each under a new name. An entry that keeps
    something of each grows until it is ended for its memory, with all of its calls.
    """
    made = dispatcher(record("e0"))
    for number in range(50):
        name = f"e{number}"
        made.update([record(name, models=())])
        assert made.acquire(need(deadline=0.01), abort()).failure()
        made.update([record(name)])
        made.acquire(need(), abort()).unwrap().release()
    made.update([record("last")])
    assert len(made._lanes._mine) <= 1

    def forgotten():
        made.tick()
        return not made._wanted

    wait_for(forgotten, "what was asked for to be forgotten")


@pytest.mark.parametrize(
    ("samples", "least", "most"),
    [
        ((), 15_000, 15_000),
        (((400, 400, 0.1),), 15_000, 15_000),
        (((4000, 4000, 0.1),), 40_000, 40_000),
        (((4000, 4000, 0.1),) * 20 + ((4000, 4000, 0.4),), 36_000, 40_000),
        (((4000, 4000, 0.1),) * 20 + ((4000, 20_000, 0.1),) * 20, 36_000, 40_000),
    ],
)
def test_an_engine_s_speed_is_what_it_reads_while_nothing_else_is_read(
    samples, least, most
):
    """Demand counts in parts of what an engine reads. By the rate of other machines,
    or by one that others' prompts made slow, copies are loaded that nobody needs; by
    one that counts prompts which were long read, busy models get too few.
    """
    lanes = Lanes()
    lanes.update([record("e1")])
    for prompt, before, seconds in samples:
        call = replace(need(), prompt=prompt)
        lanes.start(Upstream("e1"), call)
        lanes.read(Upstream("e1"), call, seconds, before)
        lanes.finish(Upstream("e1"), call, True)
    assert least <= lanes.speed(LLM) <= most
