"""Status that each entry reports, for the ``status`` command."""

from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any, Final

import urllib3

from ..json_input import parse_readable
from ..store.objects import StoredObject

TIMEOUT_S: Final = 1.0
MAX_CONCURRENT: Final = 32

Ask = Callable[[str], dict[str, Any] | None]


def ask(url: str) -> dict[str, Any] | None:
    """Return the JSON object at a URL, None if unavailable."""
    try:
        answer = urllib3.request("GET", url, timeout=TIMEOUT_S, retries=False)
        body = parse_readable(answer.data)
    except (urllib3.exceptions.HTTPError, ValueError, OSError):
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
