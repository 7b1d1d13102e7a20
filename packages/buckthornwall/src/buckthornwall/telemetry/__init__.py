"""Logs, metrics and traces."""

from .logs import TelemetrySettings, configure_logs, log_event
from .metrics import Metrics
from .traces import Tracing

__all__ = ["Metrics", "TelemetrySettings", "Tracing", "configure_logs", "log_event"]
