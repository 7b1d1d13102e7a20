"""OpenTelemetry spans for each hop; requests that are not sampled cost nothing."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from .logs import log_event

__all__ = ["Tracing"]

NS_PER_MS = 1_000_000
SAMPLED_SUFFIX = "-01"
PROPAGATOR = TraceContextTextMapPropagator()


class LogSpanExporter(SpanExporter):
    """Logs each finished span as an event."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log the spans."""
        for span in spans:
            log_event(
                "span",
                name=span.name,
                trace=f"{span.context.trace_id:032x}",
                span=f"{span.context.span_id:016x}",
                parent=f"{span.parent.span_id:016x}" if span.parent else "-",
                ms=(span.end_time - span.start_time) // NS_PER_MS,
                **span.attributes,
            )
        return SpanExportResult.SUCCESS


class Tracing:
    """Starts spans for sampled requests.

    Parameters
    ----------
    node
        Name of this instance, recorded as the host name of its spans.
    ratio
        Fraction of the requests without a ``traceparent`` that are sampled.
    """

    def __init__(self, node: str, ratio: float) -> None:
        self.ratio = ratio
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(ratio)),
            resource=Resource({"service.name": "buckthornwall", "host.name": node}),
        )
        provider.add_span_processor(SimpleSpanProcessor(LogSpanExporter()))
        self.tracer = provider.get_tracer("buckthornwall")

    @contextmanager
    def span(
        self, name: str, traceparent: str | None, **attributes: Any
    ) -> Iterator[str | None]:
        """Record a span for a hop; yield the ``traceparent`` for the next hop.

        Parameters
        ----------
        name
            Name of the span.
        traceparent
            Header received from the previous hop, if any.
        **attributes
            Attributes of the span.
        """
        sampled = traceparent is not None and traceparent.endswith(SAMPLED_SUFFIX)
        if not sampled and (traceparent is not None or not self.ratio):
            yield traceparent
            return
        carrier = {"traceparent": traceparent} if traceparent else {}
        context = PROPAGATOR.extract(carrier)
        with self.tracer.start_as_current_span(
            name, context=context, attributes=attributes
        ) as span:
            outgoing: dict[str, str] = {}
            PROPAGATOR.inject(outgoing, trace.set_span_in_context(span))
            yield outgoing.get("traceparent", traceparent)
