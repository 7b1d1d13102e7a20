"""Failures of an exchange with a server below the level of HTTP."""

from enum import Enum

from buckthornwall.codes import ResultCode, UpstreamError

__all__ = ["ExchangeError", "ExchangeFailure"]


class ExchangeFailure(Enum):
    """What went wrong between connecting and the last byte of the response."""

    UNREACHABLE = "unreachable"  # the connection could not be established
    RESET = "reset"  # the connection was lost
    CLOSED = "ended"  # the server closed it before the response was complete
    MALFORMED = "garbled"  # the bytes are not valid HTTP
    TIMED_OUT = "silent"  # nothing arrived in time


class ExchangeError(UpstreamError):
    """An exchange that did not yield a complete response.

    Parameters
    ----------
    failure
        What went wrong.
    detail
        The message of the underlying error.
    sent
        Whether any byte of the request may have reached the server.
    """

    def __init__(
        self, failure: ExchangeFailure, detail: str = "", sent: bool = True
    ) -> None:
        code = ResultCode.UPSTREAM_BROKEN if sent else ResultCode.UPSTREAM_UNREACHABLE
        super().__init__(code, f"{failure.value} {detail}".strip(), sent)
        self.failure = failure
