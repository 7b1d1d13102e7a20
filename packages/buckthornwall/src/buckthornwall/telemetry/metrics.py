"""The metrics of one instance, in a registry of its own."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0]
PREFIX = "buckthornwall_"


class Metrics:
    """Every collector by attribute; labels are given at the call."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter(
            "requests_total", "Requests ended, by class and outcome."
        )
        self.refusals = self._counter("refusals_total", "Refusals, by code.")
        self.tokens = self._counter("tokens_total", "Tokens relayed, by class.")
        self.wasted_tokens = self._counter(
            "wasted_tokens_total", "Tokens of answers cut off, by class."
        )
        self.retries = self._counter("retries_total", "Attempts after the first.")
        self.first_token = self._histogram(
            "first_token_seconds", "Seconds from request to first token, by class."
        )
        self.slot_wait = self._histogram(
            "slot_wait_seconds", "Seconds waited for a slot, by class."
        )
        self.gauges: dict[str, Gauge] = {}

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(PREFIX + name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            PREFIX + name, doc, registry=self.registry, buckets=LATENCY_BUCKETS
        )

    def set_gauge(self, name: str, doc: str, value: float) -> None:
        """Set a gauge without labels, made at its first use."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = self.gauges[name] = Gauge(
                PREFIX + name, doc, registry=self.registry
            )
        gauge.set({}, value)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return body and headers of the exposition."""
        return render(self.registry, [accept])
