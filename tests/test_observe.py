"""Metrics and traces: names, limits, and absence of secrets."""

import re

import pytest

from persimmonhitch.http_client import AnswerPart
from persimmonhitch.ids import Account, ConfigVersion, Service
from persimmonhitch.observe import traces as traces_module
from persimmonhitch.observe.metrics import INSTRUMENTS, OTHER_ACCOUNTS, Metrics
from persimmonhitch.observe.traces import HopName, Traces
from persimmonhitch.verdict import ErrorCode, Failure, Verdict

CALLER_TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
TRACE_ID = CALLER_TRACEPARENT.split("-")[1]
REFUSED = Failure(ErrorCode.RATE_LIMITED, "rate", Verdict.NOT_RUN, 1.0)


@pytest.fixture
def metrics():
    instance = Metrics("entry", "vm1", max_accounts=2)
    yield instance
    instance.close()


@pytest.fixture
def spans(monkeypatch):
    exported = []
    monkeypatch.setattr(traces_module, "log", lambda event, **kv: exported.append(kv))
    return exported


def record_all(metrics, account="a1"):
    account = Account(account)
    metrics.request_started("chat")
    metrics.request_done(account, "chat", 429, REFUSED, 0.2)
    metrics.queue_time(account, 0.1)
    metrics.first_token(account, 0.3)
    metrics.token_gap(0.02)
    metrics.update_age(0.2)
    metrics.tokens_used(account, 12.0)
    metrics.retried(REFUSED)
    metrics.retry_decided(REFUSED.code, True)
    metrics.answer_cut(AnswerPart.BODY)
    metrics.borrowed(account, 5.0)
    metrics.config_version(ConfigVersion(7))
    metrics.store_era(2)
    metrics.evacuated_zones(1)
    metrics.cold_upstreams(3)
    metrics.placement_load(Service("llm"), 0.5)
    metrics.blocked_causes(2)
    metrics.thread_failures({"watch-upstreams": 1})
    metrics.stream_resumed("stream", True)
    metrics.known_streams(1)
    metrics.share_generation(account, 3)
    metrics.load_age(None)
    metrics.load_error(1.5)
    metrics.load_spread(Service("api"), 0.4)
    metrics.waiting_for_room(1, 2)
    metrics.refused_for_room(1, late=True, unused=True)
    metrics.server_load(3, 0.1, {"accepted": 2}, {"read": 100}, {"threads": 0.1})


def test_every_instrument_is_shown(metrics):
    record_all(metrics)
    text = metrics.render().decode()
    for spec in INSTRUMENTS:
        name = spec.name.replace(".", "_")
        found = re.search(rf"^{name}\S*{{(.*?)}} ", text, re.M)
        assert found or (not spec.labels and f"\n{name}" in text), spec.name
        for label in spec.labels:
            assert f'{label}="' in found.group(1)


@pytest.mark.parametrize(
    "line",
    [
        'persimmonhitch_requests_total{account="a1",route="chat",status="429",'
        'verdict="not_run"} 1.0',
        'persimmonhitch_refusals_total{code="rate_limited",verdict="not_run"} 1.0',
        'http_server_active_requests{route="chat"} 0.0',
        "persimmonhitch_config_version 7.0",
        'persimmonhitch_share_generation{account="a1"} 3.0',
        'gen_ai_server_time_to_first_token_seconds_bucket{account="a1",le="0.5"} 1.0',
    ],
)
def test_scrape_lines(metrics, line):
    record_all(metrics)
    assert line in metrics.render().decode().splitlines()


def test_many_accounts_share_one_series(metrics):
    for number in range(50):
        metrics.tokens_used(Account(f"a{number}"), 1.0)
    lines = metrics.render().decode().splitlines()
    series = [x for x in lines if x.startswith("persimmonhitch_tokens_total")]
    assert len(series) == 3
    assert f'persimmonhitch_tokens_total{{account="{OTHER_ACCOUNTS}"}} 48.0' in series


def test_spans_continue_the_callers_trace(spans):
    traces = Traces(1.0)
    parent = traces.resample(CALLER_TRACEPARENT)
    with traces.hop(HopName.ENTRY, parent, request="r1") as entry:
        with traces.hop(HopName.SIDECAR, entry.traceparent) as sidecar:
            sidecar.fail(REFUSED)
    inner, outer = spans
    assert [inner["name"], outer["name"]] == ["sidecar", "entry"]
    assert inner["trace_id"] == outer["trace_id"] == TRACE_ID
    assert inner["parent"] == outer["span_id"]
    assert outer["parent"] == CALLER_TRACEPARENT.split("-")[2]
    assert (inner["code"], inner["verdict"]) == ("rate_limited", "not_run")


def test_span_contains_no_key_or_prompt(spans):
    with Traces(1.0).hop(HopName.ENTRY, "", authorization="Bearer k", model="m" * 999):
        pass
    assert "authorization" not in spans[0]
    assert len(spans[0]["model"]) == traces_module.MAX_VALUE_CHARS


@pytest.mark.parametrize(
    ("ratio", "traceparent", "span_count", "same_trace"),
    [
        (1.0, CALLER_TRACEPARENT, 1, True),
        (1.0, CALLER_TRACEPARENT[:-1] + "0", 1, True),
        (0.0, CALLER_TRACEPARENT, 0, False),
        (0.0, "", 0, False),
        (1.0, "no traceparent", 1, False),
        (1.0, "00-" + "0" * 32 + "-b7ad6b7169203331-01", 1, False),
    ],
)
def test_sampling_ratio_overrides_the_caller(
    spans, ratio, traceparent, span_count, same_trace
):
    traces = Traces(ratio)
    with traces.hop(HopName.ENTRY, traces.resample(traceparent)) as hop:
        assert hop.traceparent
    assert len(spans) == span_count
    assert (span_count and spans[0]["trace_id"] == TRACE_ID) == same_trace


def test_a_span_ends_once(spans):
    hop = Traces(1.0).start(HopName.UPSTREAM, CALLER_TRACEPARENT)
    hop.end()
    hop.end()
    assert len(spans) == 1
