"""Size and cost of a list from the object API."""

import json
from collections.abc import Iterator, Sequence
from typing import Any, Final

from ..store.objects import Kind, StoredObject, Version
from .base import MICRO, SLOPES, Reading, Slope, resident, seconds_each

KIB: Final = 1024


def sidecar_spec(number: int) -> dict[str, Any]:
    """Return the record of one sidecar with two models loaded."""
    return {
        "vm": f"vm-{number}",
        "zone": f"zone-{number % 18}",
        "region": f"region-{number % 5}",
        "host": f"10.0.{number // 250}.{number % 250}",
        "port": 7400,
        "kind": "engine",
        "incarnation": f"{number:024x}",
        "models": [f"model-{number % 590}", f"model-{(number + 295) % 590}"],
        "memory": 80.0,
    }


def run(sizes: Sequence[int]) -> Iterator[Reading]:
    """Measure a list of sidecar records: bytes, parse time and memory."""
    before = resident()
    held: list[StoredObject] = []
    for size in sizes:
        specs = [sidecar_spec(number) for number in range(size)]
        document = json.dumps(specs).encode()
        del specs
        parse = seconds_each(lambda doc=document: json.loads(doc))  # type: ignore[misc]
        fresh = json.loads(document)[len(held) :]
        held += [_object(len(held) + i, spec) for i, spec in enumerate(fresh)]
        yield Reading(
            size,
            (
                ("list KiB", len(document) / KIB),
                ("parse ms", parse * MICRO / 1000),
                ("memory KiB", (resident() - before) / KIB),
            ),
        )


def _object(number: int, spec: dict[str, Any]) -> StoredObject:
    return StoredObject(Kind.SIDECAR, f"sidecar-{number}", Version(number), spec)


SLOPES.register("sidecar-records")(Slope("sidecars", (10, 100, 1000, 5500), run))
