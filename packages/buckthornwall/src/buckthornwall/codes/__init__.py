"""Numbered result codes and the exceptions that carry them."""

from .core import (
    BuckthornwallError,
    BuckthornwallWarning,
    Executed,
    PeerError,
    RecordError,
    Refusal,
    ResultCode,
    SettingsError,
    UpstreamError,
    render_table,
)

__all__ = [
    "BuckthornwallError",
    "BuckthornwallWarning",
    "PeerError",
    "RecordError",
    "Refusal",
    "ResultCode",
    "Executed",
    "SettingsError",
    "UpstreamError",
    "render_table",
]
