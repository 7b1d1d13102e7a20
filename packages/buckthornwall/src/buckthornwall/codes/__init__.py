"""Numbered result codes and the root of all exceptions."""

from .core import (
    BuckthornwallError,
    BuckthornwallWarning,
    PeerError,
    RecordError,
    Refusal,
    ResultCode,
    Run,
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
    "Run",
    "SettingsError",
    "UpstreamError",
    "render_table",
]
