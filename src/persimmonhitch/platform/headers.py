"""Reads and writes the headers of requests and answers; names are in lower case."""

import re
from collections.abc import Mapping
from typing import Final

from ..fleet.call import CallerHeaders, Load, PromptPart, ReplyMarks, RequestLimit
from ..ids import Account, Adapter, Model, RequestId, Upstream
from ..store.era import Era
from . import names

Headers = Mapping[str, str]

HOP_BY_HOP: Final = frozenset(
    {"connection", "keep-alive", "proxy-connection", "transfer-encoding", "te"}
    | {"trailer", "upgrade", "content-length", "expect", "proxy-authorization"}
)
MOST_RANK: Final = 9
MISDIRECTED: Final = 421
TIMEOUT_TEXT: Final = re.compile(r"timeout=(\d+)")


def _number(text: str | None) -> float | None:
    try:
        value = float(text) if text else None
    except ValueError:
        return None
    # Words such as "nan" are numbers to the parser, but no time.
    return value if value is not None and 0 <= value < 1e9 else None


def _counts(text: str) -> tuple[int, int] | None:
    first, _, second = text.partition(",")
    if not (first.strip().isdigit() and second.strip().isdigit()):
        return None
    return int(first), int(second)


def _parts(text: str) -> tuple[PromptPart, ...]:
    pairs = (item.strip().partition(":") for item in text.split(",") if item)
    return tuple(
        PromptPart(name, int(tokens)) for name, _, tokens in pairs if tokens.isdigit()
    )


def read_caller(headers: Headers) -> CallerHeaders:
    """Return what a caller's headers say; what can't be read counts as absent."""
    counts = _counts(headers.get(names.TOKEN_COUNTS, ""))
    model, _, adapter = headers.get(names.MODEL, "").partition("/")
    patience = _number(headers.get(names.DEADLINE))
    auth = headers.get(names.AUTHORIZATION, "")
    bearer = auth[: len(names.BEARER)].lower() == names.BEARER
    return CallerHeaders(
        request=RequestId(headers.get(names.REQUEST_ID, "")),
        patience=None if patience is None else patience / 1000,
        key=auth[len(names.BEARER) :].strip() if bearer else None,
        model=Model(model) if model else None,
        adapter=Adapter(adapter) if adapter else None,
        prompt_tokens=counts[0] if counts else 0,
        output_tokens=counts[1] if counts else 0,
        counted=counts is not None,
        parts=_parts(headers.get(names.PROMPT_PREFIX, "")),
        last_event=headers.get(names.LAST_EVENT),
    )


def upstream_headers(
    headers: Headers,
    instance: Upstream,
    account: Account | None,
    rank: int | None,
    left: float,
    last_event: str | None,
) -> dict[str, str]:
    """Return the headers of a request that is passed on, without its key.

    What only the system may say of a request is dropped when the caller said it.
    """
    listed = {word.strip() for word in headers.get("connection", "").lower().split(",")}
    dropped = HOP_BY_HOP | names.OWN_HEADERS | listed | {names.AUTHORIZATION}
    passed = {name: text for name, text in headers.items() if name not in dropped}
    passed[names.EXPECTED_INSTANCE] = instance
    passed[names.DEADLINE] = str(max(1, int(left * 1000)))
    if account is not None:
        passed[names.TENANT] = account
    if rank is not None:
        passed[names.PRIORITY] = str(min(max(rank, 0), MOST_RANK))
    if last_event is not None:
        passed[names.LAST_EVENT] = last_event
    return passed


def order_headers(instance: Upstream) -> dict[str, str]:
    """Return the headers of an order that only one instance may take."""
    return {names.EXPECTED_INSTANCE: instance, "content-type": "application/json"}


def _load(text: str) -> Load | None:
    parts = text.split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return Load(running, waiting, slots)


def read_era(headers: Headers) -> Era | None:
    """Return the era that an answer of the store names, None if none can be read."""
    text = headers.get(names.STORE_ERA, "").strip()
    return Era(int(text)) if text.isdecimal() else None


def read_limit(headers: Headers) -> RequestLimit | None:
    """Return the limit of requests that an upstream's answer names."""
    for name in names.SERVER_LIMIT:
        if name in headers:
            return RequestLimit(_number(headers[name].strip()))
    return None


def read_reply(status: int, headers: Headers) -> ReplyMarks:
    """Return what the headers of an upstream's answer say."""
    idle = TIMEOUT_TEXT.search(headers.get(names.KEEP_ALIVE, ""))
    request = headers.get(names.REQUEST_ID)
    instance = headers.get(names.INSTANCE)
    return ReplyMarks(
        signed=names.SIGNATURE in headers,
        not_run=names.NOT_EXECUTED in headers or status == MISDIRECTED,
        request=RequestId(request) if request else None,
        instance=Upstream(instance) if instance else None,
        load=_load(headers.get(names.SERVER_LOAD, "")),
        limit=read_limit(headers),
        retry_after=_number(headers.get(names.RETRY_AFTER)),
        idle_limit=float(idle[1]) if idle else None,
    )


def caller_headers(headers: Headers) -> dict[str, str]:
    """Return the headers of an upstream's answer that reach the caller."""
    listed = {word.strip() for word in headers.get("connection", "").lower().split(",")}
    dropped = HOP_BY_HOP | listed
    return {name: text for name, text in headers.items() if name not in dropped}
