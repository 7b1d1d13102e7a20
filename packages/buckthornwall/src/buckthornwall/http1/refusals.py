"""Requests that are refused before they are complete."""

from buckthornwall.codes import ResultCode

__all__ = ["RequestRefused"]


class RequestRefused(Exception):
    """A request that is not valid HTTP or that exceeds a limit."""

    def __init__(self, status: int, code: ResultCode, detail: str = "") -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
