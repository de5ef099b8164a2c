"""Create, poll, move, release and reclaim the share records in the store."""

import threading
from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

from returns.result import Success

from ..ids import Account, Vm
from ..observe.logs import log
from ..store.objects import Kind, ObjectStore, StoredObject, StoreError
from .account import AccountLimiter
from .actions import Action
from .limiter import Limiter, boot_time
from .messages import ShareRevoked
from .record import (
    MAX_HOLDERS,
    NO_PARTS,
    ShareRecord,
    allocate,
    from_spec,
    rank_vms,
    rebalance,
    reclaim,
    release,
    split_share,
)
from .share import RECLAIM_AFTER_S

POLL_INTERVAL_S: Final = 5.0
"""Poll interval of the store; each poll is two reads, independent of the load."""
CREATE_DELAY_S: Final = 1.0
"""Time after the start of a process during which it creates no share records."""
RETRY_INTERVAL_S: Final = 0.2
"""Poll interval while an account has no record yet, and retry interval of a release."""
REBALANCE_INTERVAL_S: Final = 30.0
"""Period over which demand is measured before shares are rebalanced."""
MAX_REVOKED: Final = 32
READY_TIMEOUT_S: Final = 3.0
"""Maximum wait for holders at startup; ten times the setup time of a peer link."""
RELEASE_TIMEOUT_S: Final = 6.0
"""Maximum wait for pooled shares at shutdown; longer than a pool lease."""


class ShareManager:
    """Share records of all accounts, polled from the store and updated for this VM.

    Parameters
    ----------
    live : callable
        Returns the peers that have an open link to this entry.
    broadcast_revoked : callable
        Informs sidecars and peers that a VM has lost its share.
    """

    def __init__(
        self,
        store: ObjectStore,
        limiter: Limiter,
        live: Callable[[], Iterable[Vm]],
        broadcast_revoked: Callable[[ShareRevoked], None] = lambda _msg: None,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self._broadcast_revoked = broadcast_revoked
        self._revoked: deque[ShareRevoked] = deque(maxlen=MAX_REVOKED)
        self._store = store
        self._limiter = limiter
        self._live = live
        self._ready_by = float("inf")
        self._was_ready = False
        self._clock = clock
        self._objects: dict[Account, StoredObject] = {}
        self._lost_since: dict[Vm, float] = {}
        self._rebalanced_at = clock()
        self._started_at = clock()
        self._needs_holders = False
        self._poll_requested = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="shares", daemon=True)

    def start(self) -> None:
        """Start polling the store."""
        self._thread.start()

    def request_poll(self) -> None:
        """Poll the store without delay because the accounts have changed."""
        self._poll_requested.set()

    def ready(self) -> bool:
        """Return whether each account has had a reachable holder.

        Before that, a request would be refused although its account is within its
        rate. If all holders of an account are lost, this entry must still serve the
        other accounts, so the wait is limited to ``READY_TIMEOUT_S``.
        """
        if self._was_ready:
            return True
        now, accounts = self._clock(), self._limiter.accounts()
        if accounts and self._ready_by == float("inf"):
            self._ready_by = now + READY_TIMEOUT_S
        live = {*self._live(), self._limiter.vm}
        holders = (self._limiter.record(account).parts.keys() for account in accounts)
        self._was_ready = now >= self._ready_by or all(live & vms for vms in holders)
        return self._was_ready

    def close(self) -> None:
        """Stop polling and release the shares of this VM to the other holders."""
        self._stopping.set()
        self._poll_requested.set()
        if self._thread.is_alive():
            self._thread.join(POLL_INTERVAL_S)
        for account in self._limiter.accounts():
            self._limiter.apply(account, lambda lim, now: lim.stop_pooling(now))
        deadline = self._clock() + RELEASE_TIMEOUT_S
        for account in self._limiter.accounts():
            self._release(account, deadline)

    def _run(self) -> None:
        while not self._stopping.is_set():
            complete = self.poll()
            self._poll_requested.wait(POLL_INTERVAL_S if complete else RETRY_INTERVAL_S)
            self._poll_requested.clear()

    def poll(self) -> bool:
        """Read the records once; return whether every account has a record."""
        as_of = self._clock()
        listing = self._store.list_all(Kind.SHARE)
        if not isinstance(listing, Success):
            return self._limiter.request_records(list(self._live()))
        self._objects = {Account(obj.name): obj for obj in listing.unwrap().items}
        self._needs_holders = False
        # A new account starts with its full burst; moving a share now would lose some.
        new_accounts = set(self._limiter.accounts()) - set(self._objects)
        for account in self._limiter.accounts():
            if account in self._objects:
                self._confirm(account, self._objects[account], as_of)
            else:
                self._create_record(account)
        self._resend_revoked()
        self._update_shares(new_accounts)
        records = (self._limiter.record(a) for a in self._limiter.accounts())
        return not self._needs_holders and all(r.generation > 0 for r in records)

    def _confirm(self, account: Account, obj: StoredObject, as_of: float) -> None:
        result = from_spec(obj.spec)
        if not isinstance(result, Success):
            log("share_record_broken", account=account, error=result.failure())
            return
        record = result.unwrap()
        self._record_revoked(account, self._limiter.record(account), record)
        self._limiter.apply(account, lambda lim, now: lim.confirm(record, as_of, now))

    def _create_record(self, account: Account) -> None:
        # Just after the start no peer is linked yet, and an account held only by this
        # VM would lose its tokens if the VM failed.
        if self._clock() - self._started_at < CREATE_DELAY_S:
            return
        record = allocate(NO_PARTS, account, {self._limiter.vm, *self._live()})
        result = self._store.create(Kind.SHARE, account, record.to_spec())
        if not isinstance(result, Success):
            return
        # The account has had no holder, so no loan can be outstanding and the account
        # starts with its full burst.
        self._objects[account] = result.unwrap()
        # Until the account has other holders, it depends on this VM alone.
        self._needs_holders = True
        self._limiter.apply(account, lambda lim, now: lim.initialize(record, now))

    # -- shares of this VM -----------------------------------------------------

    def _update_shares(self, new_accounts: set[Account]) -> None:
        lost = self._lost_vms()
        now = self._clock()
        due = now - self._rebalanced_at >= REBALANCE_INTERVAL_S
        if due:
            self._rebalanced_at = now
        for account, obj in list(self._objects.items()):
            record = self._limiter.record(account)
            if record.generation != obj.spec.get("generation"):
                continue
            if account in new_accounts:
                continue
            if lost & set(record.parts) and self._is_reclaimer(record, lost):
                live = {*self._live(), self._limiter.vm}
                if self._write(account, reclaim(record, lost, live)):
                    self._resend_revoked()
            elif self._limiter.vm in record.parts:
                self._move_share(account, record, due)

    def _record_revoked(
        self, account: Account, old: ShareRecord, new: ShareRecord
    ) -> None:
        # Revoke only VMs missing from the platform's list. Requests that a VM admitted
        # before a clean stop may still wait for an upstream and remain valid.
        for vm in set(old.parts) - set(new.parts):
            if vm in self._lost_since:
                self._revoked.append(ShareRevoked(account, vm, new.generation))

    def _resend_revoked(self) -> None:
        # Each poll repeats the messages for sidecars linked since the previous poll.
        for msg in self._revoked:
            self._broadcast_revoked(msg)

    def _is_reclaimer(self, record: ShareRecord, lost: set[Vm]) -> bool:
        remaining = sorted(set(record.parts) - lost)
        return not remaining or remaining[0] == self._limiter.vm

    def _move_share(self, account: Account, record: ShareRecord, due: bool) -> None:
        own_vm = self._limiter.vm
        if self._limiter.parts(account) < record.parts[own_vm]:
            # An earlier write of this VM had no answer and has not taken effect so far.
            # A newer version rejects it permanently; only then may the share grow.
            self._write(account, ShareRecord(record.generation + 1, record.parts))
            return
        new = None
        others = [vm for vm in self._live() if vm not in record.parts]
        if len(record.parts) < MAX_HOLDERS and others and record.holders()[0] == own_vm:
            new = split_share(record, own_vm, rank_vms(account, others)[0])
            self._needs_holders = new is not None
        elif due:
            demand: dict[Vm, float] = {}
            self._limiter.apply(account, _drain_demand(demand))
            new = rebalance(record, own_vm, demand)
        if new is not None:
            self._transfer(account, new)

    def _transfer(self, account: Account, new: ShareRecord) -> bool:
        # Shrink the share before writing the record. If the answer to the write is
        # lost, the share stays small until a newer record is read.
        shrunk: list[bool] = []
        self._limiter.apply(account, _shrink_step(new, shrunk))
        if not all(shrunk) or not shrunk:
            return False
        return self._write(account, new)

    def _write(self, account: Account, new: ShareRecord) -> bool:
        result = self._store.update(self._objects[account], new.to_spec())
        if not isinstance(result, Success):
            log("share_write_failed", account=account, error=result.failure().detail)
            return False
        self._objects[account] = result.unwrap()
        self._record_revoked(account, self._limiter.record(account), new)
        log("share_moved", account=account, generation=new.generation)
        self._limiter.apply(account, lambda lim, now: lim.adopt(new, now))
        self._limiter.broadcast_record(account, self._live())
        return True

    def _release(self, account: Account, deadline: float) -> None:
        own_vm = self._limiter.vm
        while self._clock() < deadline:
            obj = self._store.get(Kind.SHARE, account)
            if not isinstance(obj, Success):
                if obj.failure().error is not StoreError.UNAVAILABLE:
                    return
            else:
                self._objects[account] = obj.unwrap()
                record = from_spec(obj.unwrap().spec).value_or(NO_PARTS)
                if own_vm not in record.parts:
                    return
                successors = set(self._live())
                if self._transfer(account, release(record, own_vm, successors)):
                    return
            threading.Event().wait(RETRY_INTERVAL_S)

    # -- lost VMs --------------------------------------------------------------

    def _lost_vms(self) -> set[Vm]:
        listing = self._store.list_all(Kind.VM)
        now = self._clock()
        if not isinstance(listing, Success):
            # Without a list, the presence of a VM is unknown: restart all timeouts.
            self._lost_since.clear()
            return set()
        listed = {Vm(obj.name) for obj in listing.unwrap().items}
        if self._limiter.vm not in listed:
            self._lost_since.clear()
            return set()
        holders: set[Vm] = set()
        for account in self._objects:
            holders |= set(self._limiter.record(account).parts)
        missing = holders - listed
        self._lost_since = {vm: self._lost_since.get(vm, now) for vm in missing}
        return {vm for vm, t in self._lost_since.items() if now - t >= RECLAIM_AFTER_S}


Step = Callable[[AccountLimiter, float], list[Action]]


def _drain_demand(target: dict[Vm, float]) -> Step:
    def step(limiter: AccountLimiter, now: float) -> list[Action]:
        target.update(limiter.demand)
        limiter.demand.clear()
        return []

    return step


def _shrink_step(new: ShareRecord, shrunk: list[bool]) -> Step:
    def step(limiter: AccountLimiter, now: float) -> list[Action]:
        limiter.share.advance(now)
        shrunk.append(limiter.share.shrink_to(new, now))
        return limiter.tick(now)

    return step
