"""The metrics of an instance, in a registry of its own."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics", "RouterMetrics"]

LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0]
PREFIX = "buckthornwall_"


class MetricsRegistry:
    """A registry; collectors are attributes, and labels are given at each call."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.gauges: dict[str, Gauge] = {}

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(PREFIX + name, help_text, registry=self.registry)

    def _histogram(self, name: str, help_text: str) -> Histogram:
        return Histogram(
            PREFIX + name, help_text, registry=self.registry, buckets=LATENCY_BUCKETS
        )

    def set_gauge(self, name: str, help_text: str, value: float) -> None:
        """Set a gauge without labels; it is created when it is first set."""
        gauge = self.gauges.get(name)
        if gauge is None:
            gauge = self.gauges[name] = Gauge(
                PREFIX + name, help_text, registry=self.registry
            )
        gauge.set({}, value)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as body and headers of a response.

        Parameters
        ----------
        accept
            The ``Accept`` header of the request, which selects the format.
        """
        return render(self.registry, [accept])


class Metrics(MetricsRegistry):
    """The metrics of an instance with the completions interface."""

    def __init__(self) -> None:
        super().__init__()
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


class RouterMetrics(MetricsRegistry):
    """The metrics of an instance behind the platform's load balancer."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = self._counter(
            "requests_total", "Requests ended, by tier and outcome."
        )
        self.refusals = self._counter("refusals_total", "Refusals, by code.")
        self.overload_refusals = self._counter(
            "overload_refusals_total", "Refusals for overload, by tier and reason."
        )
        self.attempts = self._counter(
            "attempts_total", "Attempts ended, by upstream and end."
        )
        self.relays = self._counter(
            "relays_total", "Requests forwarded through a peer, by end."
        )
        self.stream_origins = self._counter(
            "stream_origins_total",
            "Streams that clients continue, by how their software version was found.",
        )
        self.retries = self._counter("retries_total", "Repeats paid from the budget.")
        self.retries_denied = self._counter(
            "retries_denied_total", "Retries denied by the budget, by pool and tier."
        )
        self.timeouts = self._counter(
            "attempt_timeouts_total", "Attempts given up as silent, by tier."
        )
        self.first_token = self._histogram(
            "first_token_seconds", "Seconds from request to first event, by tier."
        )
        self.pause = self._histogram(
            "pause_seconds", "Longest pause between two events, by tier."
        )
        self.first_token_error = self._histogram(
            "first_token_error_seconds",
            "Seconds between the expected and the seen first event, by tier.",
        )
        self.pause_error = self._histogram(
            "pause_error_seconds",
            "Seconds between the expected and the seen longest pause, by tier.",
        )
        self.request_duration = self._histogram(
            "answer_seconds", "Seconds from request to its end, by tier and outcome."
        )
        self.store_call = self._histogram(
            "store_call_seconds", "Seconds of a call to the store, by outcome."
        )
