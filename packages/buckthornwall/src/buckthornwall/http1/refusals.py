"""Requests that are refused before they are complete."""

from buckthornwall.codes import ResultCode

__all__ = ["RequestRefused"]

# Time in which requests that are in flight end, and stalled ones give way.
MEMORY_RETRY_S = 0.5


class RequestRefused(Exception):
    """A request that is not valid HTTP, exceeds a limit, or finds no room.

    Parameters
    ----------
    status, code
        HTTP status and result code of its response.
    detail
        What exactly is wrong, for the log.
    retry_after_s
        Seconds after which the client may retry, if it may.
    """

    def __init__(
        self,
        status: int,
        code: ResultCode,
        detail: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s

    @classmethod
    def for_memory(cls, detail: str) -> "RequestRefused":
        """Return the refusal of a request that is not complete and finds no room."""
        code = ResultCode.CLIENT_MEMORY_FULL
        return cls(code.status, code, detail, MEMORY_RETRY_S)
