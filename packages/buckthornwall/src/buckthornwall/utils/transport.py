"""Errors of httpcore that are failures below the level of HTTP."""

import httpcore

__all__ = ["TRANSPORT_ERRORS"]

TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
