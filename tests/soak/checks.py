"""What must hold whatever happens, read from what callers and upstreams saw."""

import math
from collections import defaultdict

from soak.callers import UNKNOWN, WITHDRAWN
from soak.platform import RATES
from soak.upstreams import POISON

CONTACT = 3.0
"""Seconds without a fault after which an entry has to keep bounds of time."""
CONFIG_BOUND = 2.0
DRAIN_BOUND = 2.0
SLACK = 1.0
"""Seconds for a machine that is shared: processes here get no core of their own."""
CLOSE_CROSSED = 0.2
REGRESS_SLACK = 0.25
WINDOW, OVERAGE, RATE_SLACK = 8.0, 1.1, 17_000
TOLD = 0.5
"""Seconds after an answer with a limit from which on an entry has to keep it."""
LIMIT_WINDOW, LIMIT_OVERAGE, LIMIT_SLACK = 4.0, 1.5, 5
BLOCKED = "crashes_upstreams"
CRASHES, LATE_RUNS = 3, 3
"""Upstreams that one call may crash, and its runs later than ``CONTACT`` after that."""
REFUSALS = frozenset({408, 421, 429, 503})
DENIALS = frozenset({400, 401, 403, 404})
SILENCED = "mute callers path"
"""The fault after which answers on open connections of callers get nowhere."""


class Evidence:
    """Records with the look-ups that the checks share.

    ``explained`` holds the requests that each entry's log gives a reason for.
    """

    def __init__(self, records, operator, drained, explained):
        self.records = records
        self.explained = explained
        self.operator = operator
        self.drained = drained
        self.runs = defaultdict(list)
        for run in records.runs:
            self.runs[run.request].append(run)
        self.calls = {call.request: call for call in records.calls}
        self.spans = defaultdict(list)
        for span in records.all_spans():
            self.spans[span.where].append(span)

    def disturbed(self, where, begin, end, planned=True):
        """Return whether a fault there overlaps a time."""
        return any(
            span.begin <= end and span.end >= begin
            for span in self.spans[where]
            if planned or not span.planned
        )

    def in_touch(self, entry, at):
        """Return whether neither an entry nor the store was disturbed before."""
        return not any(
            self.disturbed(where, at - CONTACT, at) for where in (entry, "store")
        )

    def told(self, call):
        """Return a call as a line."""
        runs = [
            f"{run.upstream}@{run.at - self.records.began:.2f}"
            for run in self.runs[call.request]
        ]
        return (
            f"{call.request} {call.kind} {call.path} at {call.entry}"
            f"@{call.sent_at - self.records.began:.2f} status {call.status}"
            f" runs {runs or '-'} {call.error}"
        )


def check_all(found):
    """Return a line for each promise that was broken."""
    checks = (
        _runs_once,
        _refusals_true,
        _answers_whole,
        _accounts_right,
        _keys_and_routes,
        _never_back,
        _nothing_to_the_leaving,
        _rates_held,
        _nothing_cut,
        _answered_in_time,
        _nothing_after_leaving,
        _refusals_explained,
        _refusals_say_when,
        _crashes_contained,
        _limits_kept,
    )
    lines = list(found.records.broken)
    for check in checks:
        lines += [f"{check.__name__[1:]}: {line}" for line in check(found)]
    return lines


def _runs_once(found):
    for call in found.records.calls:
        if call.kind in ("book", "chat") and len(found.runs[call.request]) > 1:
            yield found.told(call)


def _refusals_true(found):
    for call in found.records.calls:
        if call.kind in ("book", "chat") and call.status in REFUSALS:
            if found.runs[call.request]:
                yield found.told(call)


def _answers_whole(found):
    for call in found.records.calls:
        if call.status == 200 and call.whole and not call.right:
            yield found.told(call)
        if call.status == 200 and not found.runs[call.request]:
            yield f"no upstream ran {found.told(call)}"


def _accounts_right(found):
    for run in found.records.runs:
        call = found.calls.get(run.request)
        if call is None or run.key_seen:
            where = f"{run.path} of {run.request!r} at {run.upstream}"
            yield f"{where}: key {run.key_seen}, call {call}"
        elif call.account == UNKNOWN:
            yield f"ran without a key: {found.told(call)}"
        elif call.account != WITHDRAWN and call.account != run.account:
            yield f"ran for {run.account}: {found.told(call)}"
        elif run.deadline_ms is None or run.deadline_ms > call.patience * 1000 + 500:
            yield f"deadline {run.deadline_ms}: {found.told(call)}"


def _bound(found, entry, at):
    """Return the seconds a configuration may take at an entry, None for any."""
    if found.in_touch(entry, at):
        return CONFIG_BOUND + SLACK
    return None


def _keys_and_routes(found):
    operator = found.operator
    for call in found.records.calls:
        bound = _bound(found, call.entry, call.sent_at)
        if call.account in RATES and call.kind != "version":
            if call.status in DENIALS:
                yield f"denied: {found.told(call)}"
        elif call.account == WITHDRAWN and bound is not None and call.kind != "version":
            if _ran_late(found, call, bound):
                yield f"ran with a withdrawn key: {found.told(call)}"
        elif call.kind == "version" and call.account in RATES and bound is not None:
            version = int(call.path.split("/")[1][1:])
            next_at = operator.acknowledged.get(version + 1)
            since = call.sent_at - operator.acknowledged[version]
            gone = version + 1 in operator.sent
            if call.status == 404 and since > bound and not gone:
                yield f"new route unknown after {since:.2f} s: {found.told(call)}"
            if call.status == 200 and next_at and call.sent_at - next_at > bound:
                yield f"old route served: {found.told(call)}"


def _ran_late(found, call, bound):
    withdrawn_at = found.operator.acknowledged.get(call.withdrawn_in)
    if withdrawn_at is None or not found.runs[call.request]:
        return False
    return call.sent_at - withdrawn_at > bound


def _never_back(found):
    """Yield uses of an older configuration after a newer one was seen in force.

    Within one life of a process; a restart begins anew.
    """
    newest = {}
    for call in sorted(found.records.calls, key=lambda c: c.sent_at):
        if call.kind != "version" or call.status != 200 or call.account not in RATES:
            continue
        version = int(call.path.split("/")[1][1:])
        life = call.entry, call.incarnation
        known, seen_at = newest.get(life, (0, 0.0))
        if version < known and call.sent_at - seen_at > REGRESS_SLACK:
            yield f"after version {known}: {found.told(call)}"
        if version >= known:
            newest[life] = version, call.ended_at


def _nothing_to_the_leaving(found):
    for run in found.records.runs:
        since = found.drained.get(run.upstream)
        call = found.calls.get(run.request)
        if since is None or call is None or run.at - since <= DRAIN_BOUND + SLACK:
            continue
        calm = found.in_touch(call.entry, call.sent_at)
        if calm and not found.disturbed("store", since - CONTACT, run.at):
            yield f"{run.at - since:.2f} s after it was leaving: {found.told(call)}"


def _rates_held(found):
    for account, (rate, burst) in RATES.items():
        if not rate:
            continue
        runs = sorted(
            (run.at, run.tokens or 50)
            for run in found.records.runs
            if run.account == account
        )
        most = (rate * WINDOW + burst) * OVERAGE + RATE_SLACK
        total, first = 0, 0
        for at, tokens in runs:
            total += tokens
            while runs[first][0] < at - WINDOW:
                total -= runs[first][1]
                first += 1
            if total > most:
                yield f"{account} got {total} of {most:g} tokens in {WINDOW} s"
                break


def _nothing_cut(found):
    """Yield requests that an entry cut though nothing but planned work went on."""
    for call in found.records.calls:
        if call.whole or call.left_at is not None:
            continue
        if found.disturbed(call.entry, call.sent_at - CONTACT, call.ended_at, False):
            continue
        runs = found.runs[call.request]
        if call.ended_at - call.sent_at < CLOSE_CROSSED and not runs:
            # It met the close of its connection, or a process that had ended.
            continue
        if any(
            run.broken_by_us
            or found.disturbed(run.upstream, run.at - CONTACT, call.ended_at)
            for run in runs
        ):
            continue
        yield found.told(call)


def _answered_in_time(found):
    for call in found.records.calls:
        took = call.ended_at - call.sent_at
        if call.left_at is None and took > call.patience + 0.5 + SLACK:
            if found.in_touch(call.entry, call.ended_at) and not _silenced(found, call):
                yield f"{took:.2f} s: {found.told(call)}"


def _silenced(found, call):
    """Return whether a call's connection went silent for good before its end."""
    return any(
        span.what == SILENCED and call.opened_at <= span.begin <= call.ended_at
        for span in found.spans[call.entry]
    )


def _nothing_after_leaving(found):
    for call in found.records.calls:
        if call.left_at is None or not found.in_touch(call.entry, call.left_at):
            continue
        for run in found.runs[call.request]:
            late = run.at - call.left_at > 0.5 + SLACK
            # What was sent in time may come late over a path that was harmed.
            if late and not found.disturbed(run.upstream, call.sent_at, run.at):
                yield found.told(call)


def _refusals_explained(found):
    """Yield requests that an entry refused or failed without a line that says why.

    A process that is killed takes its last lines along.
    """
    for call in found.records.calls:
        if call.status in (None, 200, 500) or not call.whole:
            continue
        killed = any(
            span.what == "kill" and span.begin - 1.0 <= call.ended_at <= span.end
            for span in found.spans[call.entry]
        )
        if call.request not in found.explained[call.entry] and not killed:
            yield found.told(call)


def _refusals_say_when(found):
    """Yield refusals of what has not run that don't say when to come back."""
    for call in found.records.calls:
        if call.status in (429, 503) and call.whole and call.retry_after is None:
            yield found.told(call)


def _crashes_contained(found):
    """Yield calls that went on crashing upstreams, and others blamed for it."""
    runs = defaultdict(list)
    for run in sorted(found.records.runs, key=lambda run: run.at):
        if run.body.startswith(POISON):
            runs[run.body].append(run)
    for body, crashes in runs.items():
        if len(crashes) <= CRASHES:
            continue
        until = crashes[CRASHES - 1].at + CONTACT + SLACK
        late = [run for run in crashes if run.at > until]
        calls = [found.calls[run.request] for run in late]
        calm = [call for call in calls if found.in_touch(call.entry, call.sent_at)]
        if len(calm) > LATE_RUNS:
            yield f"{body!r} crashed {len(crashes)}, {len(calm)} of them late"
    for call in found.records.calls:
        if call.code == BLOCKED and not call.body.startswith(POISON):
            yield f"blocked: {found.told(call)}"


def _limits_kept(found):
    """Yield limits of upstreams that entries which knew them broke together."""
    for span in found.records.limits:
        sent = _sent_knowing(found, span)
        most = span.takes * LIMIT_WINDOW * LIMIT_OVERAGE + LIMIT_SLACK
        for at in sent:
            count = sum(at <= other < at + LIMIT_WINDOW for other in sent)
            if at + LIMIT_WINDOW > span.begin + CONTACT and count > most:
                yield f"{span.upstream} takes {span.takes} a second, got {count}"
                break


def _sent_knowing(found, span):
    """Return when entries in touch that had passed a limit on sent calls there."""
    sent, told = [], {}
    for run in sorted(found.records.runs, key=lambda run: run.at):
        call = found.calls.get(run.request)
        if run.upstream != span.upstream or call is None:
            continue
        if not span.begin <= run.at <= span.end:
            continue
        knows = run.at - told.get(call.entry, run.at) >= TOLD
        if knows and found.in_touch(call.entry, run.at):
            sent.append(run.at)
        if call.whole:
            told[call.entry] = min(told.get(call.entry, math.inf), call.ended_at)
    return sent
