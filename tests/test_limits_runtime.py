"""Rate limits enforced by several entries, with threads, store and messages."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from fleet import wait_for
from returns.result import Success

from persimmonhitch.catalog.model import AccountEntry, Catalog
from persimmonhitch.limits.limiter import Limiter
from persimmonhitch.limits.messages import ShareRevoked
from persimmonhitch.limits.record import PARTS
from persimmonhitch.limits.revoked import RevokedShares
from persimmonhitch.limits.share_manager import ShareManager
from persimmonhitch.play.limits_world import ACCOUNT, plan
from persimmonhitch.standin.store_state import StoreState
from persimmonhitch.store.objects import Kind
from persimmonhitch.verdict import ErrorCode, Verdict
from persimmonhitch.wire.codec import decode, encode


class FakeLinks:
    """Deliver messages between limiters in one process through the codec."""

    def __init__(self):
        self.handlers = {}
        self.unlinked = set()
        self.pool = ThreadPoolExecutor(1)

    def link_of(self, vm):
        links = self

        class Link:
            def on(self, kind, handler):
                links.handlers[vm, kind] = handler

            def send(self, to, msg):
                handler = links.handlers.get((to, type(msg)))
                if handler is None or to in links.unlinked or vm in links.unlinked:
                    return False
                links.pool.submit(handler, vm, decode(encode(msg)).unwrap())
                return True

        return Link()


class Fleet:
    """Limiters and share managers of several entries on one fake store."""

    def __init__(self, names, rate=1000.0, burst=500.0):
        self.store, self.links = StoreState(), FakeLinks()
        self.names = names
        self.limiters, self.managers = {}, {}
        for vm in names:
            self.start(vm, plan(rate, burst))

    def start(self, vm, account_plan):
        catalog = Catalog(
            plans={account_plan.name: account_plan},
            accounts={ACCOUNT: AccountEntry(ACCOUNT, account_plan.name)},
        )
        limiter = Limiter(vm, self.links.link_of(vm))
        limiter.update(catalog)
        others = [name for name in self.names if name != vm]
        manager = ShareManager(self.store, limiter, lambda: others)
        limiter.start()
        self.limiters[vm], self.managers[vm] = limiter, manager

    def close(self):
        for limiter in self.limiters.values():
            limiter.close()


@pytest.fixture
def fleet(monkeypatch):
    monkeypatch.setattr("persimmonhitch.limits.share_manager.CREATE_DELAY_S", 0.0)
    running = Fleet(["vm0", "vm1", "vm2"])
    others, running.managers["vm0"]._live = running.managers["vm0"]._live, lambda: []
    running.managers["vm0"].poll()
    running.managers["vm0"]._live = others
    for vm in running.names[1:]:
        running.managers[vm].poll()
    yield running
    running.close()


def test_new_holder_receives_its_share_at_once(fleet):
    """The store becomes unavailable just after a share was moved, before any entry
    reads the new record. The new holder must still receive its share, otherwise the
    account loses that part of its rate for the whole outage."""
    fleet.managers["vm0"].poll()
    fleet.store.faults.down = True
    record = fleet.limiters["vm0"].record(ACCOUNT)
    new_holder = next(vm for vm in record.parts if vm != "vm0")
    wait_for(
        lambda: fleet.limiters[new_holder].parts(ACCOUNT) == record.parts[new_holder],
        "the new holder to receive its share",
    )


def test_rate_holds_over_all_entries_while_the_store_is_down(fleet):
    """The store is unavailable and a caller sends far more than its rate through three
    entries at the same time. It must get its rate and burst exactly once, and every
    refusal must come at once and contain the time to the next retry."""
    fleet.store.faults.down = True
    started_at, lock = time.monotonic(), threading.Lock()
    admitted, refusals = [], []

    def send(vm):
        for _ in range(40):
            sent_at = time.monotonic()
            result = fleet.limiters[vm].reserve(ACCOUNT, 50.0, 0.05)
            with lock:
                if isinstance(result, Success):
                    admitted.append(time.monotonic())
                else:
                    refusals.append((time.monotonic() - sent_at, result.failure()))

    threads = [threading.Thread(target=send, args=(vm,)) for vm in fleet.names]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed = max(admitted) - started_at
    assert 450 <= 50 * len(admitted) <= 500 + 1000 * elapsed
    assert {vm.code for _, vm in refusals} == {ErrorCode.RATE_LIMITED}
    assert all(exc.verdict is Verdict.NOT_RUN for _, exc in refusals)
    assert all(exc.retry_after and exc.retry_after > 0 for _, exc in refusals)


def test_unused_tokens_are_refunded(fleet):
    """A caller reserves a large output and uses a small part. Without the refund it
    would be refused within its rate, also at an entry without a share."""
    for _ in range(30):
        result = fleet.limiters["vm2"].reserve(ACCOUNT, 400.0, 1.0)
        assert isinstance(result, Success)
        fleet.limiters["vm2"].settle(result.unwrap(), 1.0)


def test_cost_above_the_burst_is_refused_at_once(fleet):
    refusal = fleet.limiters["vm1"].reserve(ACCOUNT, 501.0, 5.0).failure()
    assert refusal.code is ErrorCode.RATE_LIMITED
    assert refusal.retry_after is None


def test_plan_change_applies_to_a_waiting_request(fleet):
    """A request waits for tokens of a slow plan while the operator raises the plan.
    The request must be admitted at once instead of being refused."""
    fleet.limiters["vm0"].reserve(ACCOUNT, 500.0, 0.1)
    for vm in fleet.names:
        fleet.limiters[vm].update(_catalog(plan(1.0, 500.0)))
    with ThreadPoolExecutor(1) as pool:
        fut = pool.submit(fleet.limiters["vm0"].reserve, ACCOUNT, 50.0, 100.0)
        fleet.limiters["vm0"].update(_catalog(plan(5000.0, 500.0)))
        assert isinstance(fut.result(timeout=5), Success)


def _catalog(account_plan):
    return Catalog(
        plans={account_plan.name: account_plan},
        accounts={ACCOUNT: AccountEntry(ACCOUNT, account_plan.name)},
    )


def test_clean_stop_transfers_the_share(fleet):
    """An entry is replaced. Its share must be transferred to a remaining entry,
    otherwise the account loses that part of its rate until the platform no longer
    lists the VM."""
    fleet.managers["vm0"].close()
    record = fleet.store.get(Kind.SHARE, ACCOUNT).unwrap()
    assert "vm0" not in record.spec["parts"]
    assert sum(record.spec["parts"].values()) == PARTS


def test_lost_answer_of_a_move_keeps_the_share_small(fleet):
    """A holder transfers half of its share and the answer of the store is lost. The
    write may have taken effect, so the holder must not use that half again."""
    manager, limiter = fleet.managers["vm0"], fleet.limiters["vm0"]
    manager._objects[ACCOUNT] = fleet.store.get(Kind.SHARE, ACCOUNT).unwrap()
    fleet.store.faults.lost_answers = 1
    manager._update_shares(set())
    parts = fleet.store.get(Kind.SHARE, ACCOUNT).unwrap().spec["parts"]
    assert limiter._accounts[ACCOUNT].share.parts <= parts["vm0"] < PARTS
    manager.poll()
    parts = fleet.store.get(Kind.SHARE, ACCOUNT).unwrap().spec["parts"]
    assert limiter.record(ACCOUNT).parts == parts
    assert limiter.parts(ACCOUNT) == parts["vm0"]


def test_failed_move_is_undone(fleet):
    """A holder tries to transfer half of its share while the store is unavailable, and
    the write is lost. When the store is available again, the holder must use its
    whole share, but only after the lost write can no longer take effect."""
    manager, limiter = fleet.managers["vm0"], fleet.limiters["vm0"]
    manager._live = lambda: ["vm1"]
    manager.poll()
    fleet.store.faults.down = True
    manager._live = lambda: ["vm2"]
    manager._update_shares(set())
    assert limiter.parts(ACCOUNT) == PARTS // 4
    fleet.store.faults.down = False
    manager._live = lambda: []
    manager.poll()
    assert limiter.parts(ACCOUNT) == PARTS // 2
    assert fleet.store.get(Kind.SHARE, ACCOUNT).unwrap().spec["generation"] == 3


def test_share_of_a_listed_vm_is_never_reclaimed(fleet):
    """The platform's list may be outdated or unavailable. A VM loses its share only
    after a long absence from lists that contain the polling VM."""
    now, revoked = [0.0], []
    manager = ShareManager(
        fleet.store, fleet.limiters["vm1"], lambda: [], revoked.append, lambda: now[0]
    )
    manager.poll()
    assert "vm0" in fleet.store.get(Kind.SHARE, ACCOUNT).unwrap().spec["parts"]
    fleet.store.create(Kind.VM, "vm1", {})
    for now[0] in (10.0, 39.0):
        manager.poll()
        assert "vm0" in fleet.store.get(Kind.SHARE, ACCOUNT).unwrap().spec["parts"]
    now[0] = 41.0
    manager.poll()
    assert "vm0" not in fleet.store.get(Kind.SHARE, ACCOUNT).unwrap().spec["parts"]
    assert revoked == [ShareRevoked(ACCOUNT, "vm0", 2)]


@pytest.mark.parametrize(
    ("lender", "generation", "refused"),
    [("vm0", 1, True), ("vm0", 2, False), ("vm1", 1, False)],
)
def test_sidecar_refuses_a_revoked_share(lender, generation, refused):
    """A VM missing from the platform's list is partitioned but still runs, and admits
    requests from a share that was reclaimed. A sidecar refuses these requests only."""
    revoked = RevokedShares()
    revoked.add(ShareRevoked(ACCOUNT, "vm0", 2))
    refusal = revoked.refusal(ACCOUNT, lender, generation)
    assert (refusal is not None) is refused
    if refusal is not None:
        assert (refusal.verdict, refusal.retry_after) == (Verdict.NOT_RUN, 1.0)
