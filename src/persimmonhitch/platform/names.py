"""Every name of the platform's calls and headers, in one place."""

from typing import Final

# Headers of a caller's request.
REQUEST_ID: Final = "x-persimmonhitch-request-id"
DEADLINE: Final = "x-persimmonhitch-request-deadline"
"""Milliseconds that the caller, or whoever passes the request on, will wait."""
MODEL: Final = "x-persimmonhitch-model"
TOKEN_COUNTS: Final = "x-persimmonhitch-token-counts"
PROMPT_PREFIX: Final = "x-persimmonhitch-prompt-prefix"
LENGTH_HINT: Final = "x-persimmonhitch-length-hint"
LAST_EVENT_ID: Final = "last-event-id"
AUTHORIZATION: Final = "authorization"
BEARER: Final = "bearer "

# Headers that only this system may set on a request to an upstream.
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

# Headers of an upstream's answer.
SIGNATURE: Final = "x-persimmonhitch-response-signature"
NOT_EXECUTED: Final = "x-persimmonhitch-not-executed"
INSTANCE: Final = "x-persimmonhitch-instance-id"
SERVER_LOAD: Final = "x-persimmonhitch-server-load"
SERVER_LIMIT: Final = ("server-limit", "x-persimmonhitch-server-limit")
"""Requests a second that an upstream takes from all entries; under either name, since
headers of its kind have both forms."""
RETRY_AFTER: Final = "retry-after"
KEEP_ALIVE: Final = "keep-alive"

# Calls that arrive here and calls to upstreams.
READINESS_PATH: Final = "/api/readiness"
REPORT_PATH: Final = "/api/report"
ORDER_PATH: Final = "/api/order"

# Calls to the store.
STORE_ERA: Final = "store-era"
"""Rises by one each time that the store comes back from a copy."""
OBJECTS_PATH: Final = "/api/objects"
CONFIG_NAME: Final = "main"
"""Name of the one object that holds the configuration."""
