"""Spans for each hop, through OpenTelemetry, free of cost when unsampled."""

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
    """Write each finished span as one event of the log."""

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
    """Starts spans for the requests that are sampled.

    Parameters
    ----------
    node
        Name of this instance, kept as the service's instance.
    ratio
        Share of the requests without a sampled parent that are traced.
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
        """Time a hop; give the ``traceparent`` to send onwards.

        Parameters
        ----------
        name
            The hop.
        traceparent
            What came from the hop before, if anything did.
        **attributes
            Kept with the span.
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
