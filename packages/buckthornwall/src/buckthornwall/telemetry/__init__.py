"""Logs, metrics and traces."""

from buckthornwall.utils import lazy_exports

from .logs import TelemetrySettings, configure_logs, log_event

__all__ = [
    "Metrics",  # noqa: F822 - imported at its first use
    "RouterMetrics",  # noqa: F822 - imported at its first use
    "TelemetrySettings",
    "Tracing",  # noqa: F822 - imported at its first use
    "configure_logs",
    "log_event",
]

__getattr__ = lazy_exports(
    __name__, {"Metrics": "metrics", "RouterMetrics": "metrics", "Tracing": "traces"}
)
