"""Paths and header names of the platform's APIs."""

from collections.abc import Iterable
from typing import Final

# Request headers set by callers.
REQUEST_ID: Final = "x-persimmonhitch-request-id"
DEADLINE: Final = "x-persimmonhitch-request-deadline"
"""Milliseconds for which the sender of the request waits for the answer."""
MODEL: Final = "x-persimmonhitch-model"
TOKEN_COUNTS: Final = "x-persimmonhitch-token-counts"
PROMPT_PREFIX: Final = "x-persimmonhitch-prompt-prefix"
LENGTH_HINT: Final = "x-persimmonhitch-length-hint"
RESUMES: Final = "resumes"
"""Request id of the attempt that brought the first event of a resumed stream."""
LAST_EVENT_ID: Final = "last-event-id"
AUTHORIZATION: Final = "authorization"
BEARER: Final = "bearer "

# Request headers that only this system may set.
ACCOUNT: Final = "x-persimmonhitch-tenant"
EXPECTED_INSTANCE: Final = "x-persimmonhitch-expected-instance"
PRIORITY: Final = "x-persimmonhitch-request-priority"
EXPECTED_VERSION: Final = "x-persimmonhitch-expected-version"
HOLD: Final = "x-persimmonhitch-hold"
PIN: Final = "x-persimmonhitch-pin-duration"
KV_BACKUP: Final = "x-persimmonhitch-kv-backup"
KV_FROM: Final = "kv-from"
KV_FETCH: Final = "kv-fetch"
WAIT_MS: Final = "wait-ms"
RESERVED_HEADERS: Final = frozenset(
    {ACCOUNT, EXPECTED_INSTANCE, PRIORITY, EXPECTED_VERSION, HOLD, PIN, KV_BACKUP}
    | {KV_FROM, KV_FETCH, WAIT_MS}
)

# Reply headers set by upstreams.
SIGNATURE: Final = "x-persimmonhitch-response-signature"
NOT_EXECUTED: Final = "x-persimmonhitch-not-executed"
INSTANCE: Final = "x-persimmonhitch-instance-id"
SERVER_LOAD: Final = "x-persimmonhitch-server-load"
SERVER_LIMIT: Final = ("server-limit", "x-persimmonhitch-server-limit")
"""Requests per second that an upstream accepts from all entries together. Both names
are read, since upstreams send this header with and without the prefix."""
COLD_REMAINING: Final = "x-persimmonhitch-cold-remaining"
"""Milliseconds for which an upstream stays slow; in its health answers."""
SERVER_LEAVING: Final = ("server-leaving", "x-persimmonhitch-server-leaving")
"""Whether an upstream is leaving; both names are read, as for ``SERVER_LIMIT``."""
RETRY_AFTER: Final = "retry-after"
KEEP_ALIVE: Final = "keep-alive"

# Paths served by entries and by upstreams.
READINESS_PATH: Final = "/api/readiness"
REPORT_PATH: Final = "/api/report"
ORDER_PATH: Final = "/api/order"

# The store.
STORE_ERA: Final = "store-era"
"""Incremented each time the store is restored from an older copy."""
OBJECTS_PATH: Final = "/api/objects"
PRESSURE_CONTRACT: Final = "pressure"
"""Part of the platform's rules for callers that ask for more than there is room for."""
CONFIG_NAME: Final = "main"
"""Name of the only object of the configuration kind."""


def asks_for_load_control(contracts: Iterable[str]) -> bool:
    """Return whether rules for callers that compete for room are in force."""
    return PRESSURE_CONTRACT in {name.strip() for name in contracts}
