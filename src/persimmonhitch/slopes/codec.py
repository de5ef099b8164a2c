"""Cost and size of each message against its content."""

from collections.abc import Callable, Iterator, Sequence
from typing import Any, Final

from ..catalog.changes import Change, Delta, new_change_id
from ..catalog.messages import ConfigPull, ConfigPush
from ..catalog.model import KeyEntry, KeyState
from ..ids import (
    Account,
    ConfigVersion,
    Incarnation,
    KeyHash,
    Model,
    Tokens,
    Upstream,
    Vm,
    Zone,
    new_incarnation,
    new_request_id,
)
from ..wire.codec import decode, encode
from ..wire.messages import PROTOCOL, Chunk, Hello, LoadReport, Priority, Role, Submit
from .base import MICRO, SLOPES, Reading, Slope, seconds_each

LIFE: Final[Incarnation] = new_incarnation()
VERSION: Final = ConfigVersion(123_456)


def report(models: int) -> LoadReport:
    """Return a load report of an upstream with ``size`` models."""
    names = tuple(Model(f"model-{number:05d}") for number in range(models))
    return LoadReport(
        upstream=Upstream("engine-01234"),
        incarnation=LIFE,
        models=names,
        draining=False,
        running=12,
        concurrency_limit=32,
        queued=3,
        queued_tokens=1234.5,
        token_rate=165.4,
        first_token_s=0.412,
        token_gap_s=0.0412,
        version=VERSION,
    )


def submit(body: int) -> Submit:
    """Return a request with a body of ``size`` bytes."""
    return Submit(
        request=new_request_id(),
        attempt=1,
        incarnation=LIFE,
        account=Account("account-17"),
        model=Model("model-00017"),
        adapter=None,
        version=VERSION,
        priority=Priority.INTERACTIVE,
        timeout_s=30.0,
        repeatable=True,
        method="POST",
        path="/v1/chat/completions",
        headers={"content-type": "application/json"},
        body=b"x" * body,
        cost=Tokens(400.0),
        traceparent=f"00-{'a' * 32}-{'b' * 16}-01",
        weight=1.0,
        lender=Vm("entry-0123"),
        share_generation=17,
    )


def chunk(data: int) -> Chunk:
    """Return a part of an answer with ``size`` bytes."""
    return Chunk(new_request_id(), 1, 17, b"x" * data)


def hello(_size: int) -> Hello:
    """Return the first message of a link."""
    vm, zone = Vm("entry-0123"), Zone("nordeste-1")
    return Hello(PROTOCOL, Role.ENTRY, vm, zone, LIFE, VERSION)


def config_push(changes: int) -> ConfigPush:
    """Return an answer with ``size`` changes of one key each."""
    key = KeyEntry(KeyHash("0" * 64), Account("account-17"), KeyState.WITHDRAWN)
    delta = Delta(keys=(key,))
    made = tuple(
        Change(ConfigVersion(VERSION + i), new_change_id(), "ana", 1.8e9, delta)
        for i in range(changes)
    )
    return ConfigPush(VERSION, True, True, 2**62, made)


def config_pull(_size: int) -> ConfigPull:
    """Return the request that an entry sends to a peer."""
    return ConfigPull(VERSION, 2**62)


def _slope(make: Callable[[int], Any]) -> Callable[[Sequence[int]], Iterator[Reading]]:
    def run(sizes: Sequence[int]) -> Iterator[Reading]:
        for size in sizes:
            msg = make(size)
            frame = encode(msg)
            pack = seconds_each(lambda msg=msg: encode(msg))  # type: ignore[misc]
            read = seconds_each(lambda frame=frame: decode(frame))  # type: ignore[misc]
            yield Reading(
                size,
                (
                    ("bytes", len(frame)),
                    ("encode us", pack * MICRO),
                    ("decode us", read * MICRO),
                ),
            )

    return run


SLOPES.register("codec-report")(Slope("models", (1, 10, 100, 1000), _slope(report)))
SLOPES.register("codec-submit")(
    Slope("body bytes", (100, 1000, 10_000, 100_000), _slope(submit))
)
SLOPES.register("codec-chunk")(Slope("bytes", (10, 100, 1000, 10_000), _slope(chunk)))
SLOPES.register("codec-hello")(Slope("hello", (1,), _slope(hello)))
SLOPES.register("codec-config-push")(
    Slope("changes", (0, 1, 10, 100), _slope(config_push))
)
SLOPES.register("codec-config-pull")(Slope("question", (1,), _slope(config_pull)))
