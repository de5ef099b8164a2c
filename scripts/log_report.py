"""Summarize the decisions in the logs of one or more entries.

Usage: log_report.py FILE...

Prints tables of the requests that were refused or failed, by route and reason with
their mean wait, of the orders by outcome, of the model loads, and of the time for which
models were missing. Lines may have a prefix before ``ts=``.
"""

import re
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from statistics import fmean
from typing import Final

FIELD: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
NAMES: Final = re.compile(r"\b(?=\w*\d)[a-z]{2,}\w*\b")
"""Names of models, services and upstreams, which differ from line to line."""
NUMBERS: Final = re.compile(r"\d+(\.\d+)?")
UNANSWERED: Final = frozenset({"request_refused", "request_failed"})

Record = dict[str, str]


def parse(lines: Iterable[str]) -> Iterator[Record]:
    """Yield the fields of each log line that names an event."""
    for line in lines:
        fields = {name: text.strip('"') for name, text in FIELD.findall(line)}
        if "event" in fields:
            yield fields


def reason_of(record: Record) -> str:
    """Return the reason of a refusal without names and numbers."""
    return NUMBERS.sub("N", NAMES.sub("NAME", record.get("reason", "-")))


def refusal_rows(records: Iterable[Record]) -> list[tuple[int, str, str, str]]:
    """Return the count, route, reason and mean wait of unanswered requests."""
    waits: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
    for record in records:
        if record["event"] in UNANSWERED:
            key = record.get("route", "-"), reason_of(record)
            waits[key].append(float(record.get("waited", 0.0)))
    rows = [(len(found), *key, f"{fmean(found):.2f} s") for key, found in waits.items()]
    return sorted(rows, reverse=True)


def order_rows(records: Iterable[Record]) -> list[tuple[str, str, int]]:
    """Return the numbers of orders by kind and outcome."""
    counts = Counter(
        (
            f"{'load' if r.get('load') == 'True' else 'unload'} "
            f"{'model' if r.get('adapter') == '-' else 'adapter'}",
            r.get("outcome", "-"),
        )
        for r in records
        if r["event"] == "order"
    )
    return [(*key, count) for key, count in sorted(counts.items())]


def load_rows(records: Iterable[Record]) -> list[tuple[str, int]]:
    """Return the numbers of model loads from the weight store and from caches."""
    counts = Counter(
        "weight store" if r.get("cold") == "True" else "cache"
        for r in records
        if r["event"] == "load_begins"
    )
    return sorted(counts.items())


def missing_rows(records: Iterable[Record]) -> list[tuple[str, int, str]]:
    """Return how often and how long models were missing, by the reason of the end."""
    durations: defaultdict[str, list[float]] = defaultdict(list)
    for record in records:
        if record["event"] == "model_missing_ended":
            durations[record.get("why", "-")].append(float(record["missing_for"]))
    return [(why, len(d), f"{fmean(d):.1f} s") for why, d in sorted(durations.items())]


def render(title: str, rows: Iterable[tuple[object, ...]]) -> str:
    """Return rows as an indented table below a title."""
    lines = ["  ".join(str(cell) for cell in row) for row in rows]
    return "\n  ".join([title, *(lines or ["none"])])


def main(paths: list[str]) -> int:
    """Print the tables for the given files."""
    if not paths:
        print(__doc__)
        return 2
    records: list[Record] = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            records += parse(file)
    print(render("requests without an answer", refusal_rows(records)))
    print(render("orders", order_rows(records)))
    print(render("model loads", load_rows(records)))
    print(render("missing models", missing_rows(records)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
