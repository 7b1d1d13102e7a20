"""Tests of logs, metrics and traces."""

import pytest
from loguru import logger

from buckthornwall.telemetry import Metrics, Tracing, log_event

SAMPLED = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"
UNSAMPLED = SAMPLED[:-1] + "0"


@pytest.fixture
def lines():
    """Collect what is logged."""
    found = []
    logger.remove()
    handler = logger.add(
        lambda text: found.append(str(text).strip()), format="{message}"
    )
    yield found
    logger.remove(handler)


def test_an_event_is_one_line_of_pairs(lines):
    log_event("refused", code=7, detail='two\nlines and "quotes"', empty="")
    assert lines == ['event=refused code=7 detail="two lines and \'quotes\'" empty=""']


def test_braces_in_a_value_are_harmless(lines):
    log_event("odd", detail="{} {x}")
    assert lines == ['event=odd detail="{} {x}"']


def test_a_sampled_request_has_a_span_a_hop_under_one_trace(lines):
    tracing = Tracing("n1", 0.0)
    with (
        tracing.span("completion", SAMPLED, route="m") as outgoing,
        tracing.span("upstream", outgoing, engine="e1") as last,
    ):
        pass
    assert last.split("-")[1] == "a" * 32
    assert len(lines) == 2
    assert all("trace=" + "a" * 32 in line for line in lines)
    inner, outer = lines
    assert f"parent={outgoing.split('-')[2]}" in inner
    assert "parent=" + "b" * 16 in outer


@pytest.mark.parametrize("traceparent", [None, UNSAMPLED])
def test_an_unsampled_request_has_none_and_is_passed_on(lines, traceparent):
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
