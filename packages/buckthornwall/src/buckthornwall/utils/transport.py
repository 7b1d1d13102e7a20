"""The ways in which an HTTP exchange can fail below HTTP."""

import httpcore

__all__ = ["TRANSPORT_ERRORS"]

TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
