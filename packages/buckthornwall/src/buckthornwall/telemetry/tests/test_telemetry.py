"""Tests of logs, metrics and traces."""

import pytest
from loguru import logger

from buckthornwall.telemetry import Metrics, Tracing, log_event

SAMPLED = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"
UNSAMPLED = SAMPLED[:-1] + "0"


@pytest.fixture
def lines():
    """Return the list of logged lines."""
    logged = []
    logger.remove()
    handler = logger.add(
        lambda text: logged.append(str(text).strip()), format="{message}"
    )
    yield logged
    logger.remove(handler)


def test_event_with_newlines_and_quotes_is_one_line(lines):
    log_event("refused", code=7, detail='two\nlines and "quotes"', empty="")
    assert lines == ['event=refused code=7 detail="two lines and \'quotes\'" empty=""']


def test_braces_in_value_are_not_formatted(lines):
    log_event("odd", detail="{} {x}")
    assert lines == ['event=odd detail="{} {x}"']


def test_spans_of_sampled_request_share_its_trace(lines):
    tracing = Tracing("n1", 0.0)
    with (
        tracing.span("completion", SAMPLED, route="m") as outgoing,
        tracing.span("upstream", outgoing, engine="e1") as inner_traceparent,
    ):
        pass
    assert inner_traceparent.split("-")[1] == "a" * 32
    assert len(lines) == 2
    assert all("trace=" + "a" * 32 in line for line in lines)
    inner, outer = lines
    assert f"parent={outgoing.split('-')[2]}" in inner
    assert "parent=" + "b" * 16 in outer


@pytest.mark.parametrize("traceparent", [None, UNSAMPLED])
def test_unsampled_request_has_no_span_and_keeps_traceparent(lines, traceparent):
    with Tracing("n1", 0.0).span("completion", traceparent) as outgoing:
        assert outgoing == traceparent
    assert lines == []


def test_metrics_are_rendered():
    metrics = Metrics()
    metrics.requests.inc({"class": "urgent", "outcome": "served"})
    metrics.set_gauge("records_number", "Records in force.", 7)
    body, headers = metrics.render("")
    assert b'buckthornwall_requests_total{class="urgent",outcome="served"} 1' in body
    assert b"buckthornwall_records_number 7" in body
    assert "text/plain" in headers["Content-Type"]
