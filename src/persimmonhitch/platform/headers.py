"""Parsers and builders for headers; all header names are in lower case."""

import re
from collections.abc import Mapping
from typing import Final

from ..fleet.call import CallerHeaders, PromptPart, RateLimit, ReplyHeaders, ServerLoad
from ..ids import Account, Adapter, Model, RequestId, Upstream
from ..store.era import Era
from . import names

Headers = Mapping[str, str]

HOP_BY_HOP: Final = frozenset(
    {"connection", "keep-alive", "proxy-connection", "transfer-encoding", "te"}
    | {"trailer", "upgrade", "content-length", "expect", "proxy-authorization"}
)
MAX_RANK: Final = 9
"""Least urgent rank that the priority header can express."""
MISDIRECTED: Final = 421
"""HTTP status with which an upstream rejects a request without running it."""
STATED_REFUSALS: Final = frozenset({400, MISDIRECTED, 429, 503})
"""HTTP statuses with which an upstream may state that it did not run a request."""
PROMISES: Final = frozenset({408, MISDIRECTED, 429, 503})
"""HTTP statuses that tell callers that their request has not run and never will."""
REJECTIONS: Final = frozenset({429, 503})
"""HTTP statuses with which an upstream rejects requests for a time."""
RESUMPTION_ID: Final = re.compile(r"[\x21-\x7e]{0,128}")
"""Form of the ids of requests and events that a resumption names."""
LOAD_FIGURE: Final = re.compile(r"[0-9]{1,6}")
"""Form of a figure of an upstream's load; larger numbers are no plausible load."""
KEEP_ALIVE_TIMEOUT: Final = re.compile(r"timeout=(\d+)")
WHOLE_NUMBER: Final = re.compile(r"[0-9]{1,15}")
"""Form of counts and versions; larger numbers can't be added up exactly."""


def _parse_number(text: str | None) -> float | None:
    try:
        value = float(text) if text else None
    except ValueError:
        return None
    # float() also accepts "nan" and "inf", which are no valid durations or rates.
    return value if value is not None and 0 <= value < 1e9 else None


def _parse_whole(text: str) -> int | None:
    """Return a whole number, None if malformed or implausibly large."""
    return int(text) if WHOLE_NUMBER.fullmatch(text) else None


def _parse_token_counts(text: str) -> tuple[int, int] | None:
    prompt, _, output = map(str.strip, text.partition(","))
    counts = _parse_whole(prompt), _parse_whole(output)
    return None if counts[0] is None or counts[1] is None else (counts[0], counts[1])


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    pairs = (item.strip().partition(":") for item in text.split(",") if item)
    return tuple(
        PromptPart(name, count)
        for name, _, tokens in pairs
        if (count := _parse_whole(tokens)) is not None
    )


def parse_caller(headers: Headers) -> CallerHeaders:
    """Return the parsed headers of a caller's request; ignore malformed headers."""
    counts = _parse_token_counts(headers.get(names.TOKEN_COUNTS, ""))
    model, _, adapter = headers.get(names.MODEL, "").partition("/")
    timeout_ms = _parse_number(headers.get(names.DEADLINE))
    auth = headers.get(names.AUTHORIZATION, "")
    bearer = auth[: len(names.BEARER)].lower() == names.BEARER
    return CallerHeaders(
        request_id=RequestId(headers.get(names.REQUEST_ID, "")),
        timeout_s=None if timeout_ms is None else timeout_ms / 1000,
        api_key=auth[len(names.BEARER) :].strip() if bearer else None,
        model=Model(model) if model else None,
        adapter=Adapter(adapter) if adapter else None,
        prompt_tokens=counts[0] if counts else 0,
        output_tokens=counts[1] if counts else 0,
        has_token_counts=counts is not None,
        prompt_parts=_parse_prompt_parts(headers.get(names.PROMPT_PREFIX, "")),
        last_event_id=headers.get(names.LAST_EVENT_ID),
        resumes=RequestId(headers.get(names.RESUMES, "").strip()),
        has_valid_resumption=all(
            RESUMPTION_ID.fullmatch(headers[name].strip())
            for name in (names.RESUMES, names.LAST_EVENT_ID)
            if name in headers
        ),
    )


def upstream_headers(
    headers: Headers,
    instance: Upstream,
    account: Account | None,
    rank: int | None,
    time_left: float,
    last_event_id: str | None,
) -> dict[str, str]:
    """Return the headers of a request to an upstream, without the caller's API key.

    Only this system sets reserved headers; those in the caller's request are dropped.
    """
    # Headers that the Connection header lists apply to one connection only.
    listed = {word.strip() for word in headers.get("connection", "").lower().split(",")}
    dropped = HOP_BY_HOP | names.RESERVED_HEADERS | listed | {names.AUTHORIZATION}
    forwarded = {name: text for name, text in headers.items() if name not in dropped}
    forwarded[names.EXPECTED_INSTANCE] = instance
    forwarded[names.DEADLINE] = str(max(1, int(time_left * 1000)))
    if account is not None:
        forwarded[names.ACCOUNT] = account
    if rank is not None:
        forwarded[names.PRIORITY] = str(min(max(rank, 0), MAX_RANK))
    if last_event_id is not None:
        forwarded[names.LAST_EVENT_ID] = last_event_id
    return forwarded


def order_headers(instance: Upstream) -> dict[str, str]:
    """Return the headers of an order that only the given instance accepts."""
    return {names.EXPECTED_INSTANCE: instance, "content-type": "application/json"}


def _parse_load(text: str) -> ServerLoad | None:
    """Return the load that an upstream states, None if missing or out of range."""
    parts = [part.strip() for part in text.split(",")]
    if len(parts) not in (3, 4) or not all(LOAD_FIGURE.fullmatch(p) for p in parts):
        return None
    running, waiting, slots, *rest = (int(part) for part in parts)
    if slots == 0 or rest == [0]:
        return None
    return ServerLoad(running, waiting, slots, rest[0] / 100 if rest else None)


def parse_era(headers: Headers) -> Era | None:
    """Return the era in a reply of the store, or None if missing or malformed."""
    number = _parse_whole(headers.get(names.STORE_ERA, "").strip())
    return None if number is None else Era(number)


def parse_limit(headers: Headers) -> RateLimit | None:
    """Return the request rate limit in an upstream's reply, if present."""
    for name in names.SERVER_LIMIT:
        if name in headers:
            return RateLimit(_parse_number(headers[name].strip()))
    return None


def is_leaving(headers: Headers) -> bool:
    """Return whether an upstream's reply reports that the upstream is leaving."""
    values = (headers.get(name, "").strip() for name in names.SERVER_LEAVING)
    return any(value not in ("", "0") for value in values)


def _parse_backoff(status: int, headers: Headers) -> float | None:
    """Return the seconds for which an upstream that rejects a request wants no others.

    A date, a negative number or a malformed value counts as none.
    """
    text = headers.get(names.RETRY_AFTER, "").strip()
    if status not in REJECTIONS:
        return None
    # The number may exceed all others that the protocol contains.
    return float(text) if text.isdecimal() else _parse_number(text)


def _parse_cold(text: str | None) -> float:
    """Return the remaining seconds of an upstream's cold state, 0 if malformed."""
    return (_parse_number(text) or 0.0) / 1000


def parse_reply(status: int, headers: Headers) -> ReplyHeaders:
    """Return the parsed headers of an upstream's reply."""
    idle_timeout = KEEP_ALIVE_TIMEOUT.search(headers.get(names.KEEP_ALIVE, ""))
    request_id = headers.get(names.REQUEST_ID)
    instance = headers.get(names.INSTANCE)
    return ReplyHeaders(
        has_signature=names.SIGNATURE in headers,
        not_run=status == MISDIRECTED
        or (names.NOT_EXECUTED in headers and status in STATED_REFUSALS),
        request_id=RequestId(request_id) if request_id else None,
        instance=Upstream(instance) if instance else None,
        load=_parse_load(headers.get(names.SERVER_LOAD, "")),
        limit=parse_limit(headers),
        leaving=is_leaving(headers),
        cold_s=_parse_cold(headers.get(names.COLD_REMAINING)),
        backoff_s=_parse_backoff(status, headers),
        idle_timeout_s=float(idle_timeout[1]) if idle_timeout else None,
    )


def response_headers(headers: Headers) -> dict[str, str]:
    """Return the headers of an upstream's reply that are forwarded to the caller."""
    listed = {word.strip() for word in headers.get("connection", "").lower().split(",")}
    dropped = HOP_BY_HOP | listed
    return {name: text for name, text in headers.items() if name not in dropped}
