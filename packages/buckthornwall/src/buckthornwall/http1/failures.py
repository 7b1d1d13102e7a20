"""The ways an exchange with a server ends below HTTP."""

from enum import Enum

from buckthornwall.codes import ResultCode, UpstreamError

__all__ = ["ExchangeError", "ExchangeFailure"]


class ExchangeFailure(Enum):
    """What went wrong between connecting and the last byte of a reply."""

    UNREACHABLE = "unreachable"  # no connection was made
    RESET = "reset"  # the connection broke off
    CLOSED = "ended"  # the server closed before the reply was whole
    MALFORMED = "garbled"  # the bytes are no HTTP
    TIMED_OUT = "silent"  # nothing came in time


class ExchangeError(UpstreamError):
    """An exchange that brought no whole reply.

    Parameters
    ----------
    failure
        What went wrong.
    detail
        The library's words.
    sent
        Whether any byte of the request may have reached the server.
    """

    def __init__(
        self, failure: ExchangeFailure, detail: str = "", sent: bool = True
    ) -> None:
        code = ResultCode.UPSTREAM_BROKEN if sent else ResultCode.UPSTREAM_UNREACHABLE
        super().__init__(code, f"{failure.value} {detail}".strip(), sent)
        self.failure = failure
