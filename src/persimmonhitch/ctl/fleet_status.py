"""Status that each entry reports, for the ``status`` command."""

from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any, Final

import urllib3

from ..http_client import InvalidAnswer, bounded_pool, read_body
from ..json_input import parse_readable
from ..store.objects import StoredObject

TIMEOUT_S: Final = 1.0
MAX_CONCURRENT: Final = 32
MAX_STATUS_BYTES: Final = 64 * 1024

Ask = Callable[[str], dict[str, Any] | None]


def ask(url: str) -> dict[str, Any] | None:
    """Return the JSON object at a URL, None if unavailable."""
    try:
        with bounded_pool(timeout=TIMEOUT_S) as pool:
            answer = pool.request("GET", url, preload_content=False)
            body = parse_readable(read_body(answer, MAX_STATUS_BYTES, TIMEOUT_S))
    except (urllib3.exceptions.HTTPError, InvalidAnswer, ValueError, OSError):
        return None
    return body if isinstance(body, dict) else None


def with_answers(entries: Iterable[StoredObject], asked: Ask) -> list[StoredObject]:
    """Return entries with the status and version that each reports.

    The entries are queried directly. If each wrote its version to the store, 360
    entries would write a hundred times per second after a change.
    """
    found = list(entries)
    with ThreadPoolExecutor(MAX_CONCURRENT) as pool:
        return list(pool.map(lambda obj: _with_answer(obj, asked), found))


def _with_answer(obj: StoredObject, asked: Ask) -> StoredObject:
    host, port = obj.spec.get("http_host"), obj.spec.get("http_port")
    answer = asked(f"http://{host}:{port}/readyz") or {"status": "no answer"}
    kept = {key: answer.get(key) for key in ("status", "version")}
    return replace(obj, spec={**obj.spec, **kept})
