"""Calls to services."""

import httpcore

from buckthornwall.codes import ResultCode, UpstreamError
from buckthornwall.http1 import refuses_connections
from buckthornwall.records import Upstream
from buckthornwall.utils import TRANSPORT_ERRORS, ReplyLimits, request_bounded

from .engine import ResponseListener, UpstreamSettings

__all__ = ["ServiceClient", "ServiceResponse"]

DROPPED_HEADERS = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"host",
    b"date",
    b"server",
}
FRAMING_HEADERS = {b"content-length", b"transfer-encoding"}
MAX_BODY_BYTES = 4 * 2**20
STATUSES_WITHOUT_BODY = {204, 304}
ServiceResponse = tuple[int, list[tuple[str, str]], bytes]


class ServiceClient:
    """Make single calls, each on a new connection.

    A reused connection may turn out to be closed only after a request was written
    to it; whether the service received the request is then unknown. On a new one,
    a failure to connect proves that nothing was sent.

    Parameters
    ----------
    settings
        The ``[upstreams]`` section.
    pool
        Connection pool without keep-alive.
    """

    def __init__(
        self, settings: UpstreamSettings, pool: httpcore.AsyncConnectionPool
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.on_response: ResponseListener = lambda upstream, status, headers: None

    async def call(
        self,
        upstream: Upstream,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_s: float,
    ) -> ServiceResponse:
        """Send a request, without retries.

        Raises
        ------
        UpstreamError
            `sent` is False only if no byte can have reached the service.
        """
        timeouts = {
            "connect": self.settings.connect_s,
            "read": timeout_s,
            "write": timeout_s,
            "pool": timeout_s,
        }
        raw_headers = [(name.encode(), value.encode()) for name, value in headers]
        sending = False

        async def trace(event: str, _info: dict) -> None:
            nonlocal sending
            sending = sending or event.endswith("send_request_headers.started")

        try:
            response, content = await request_bounded(
                self.pool,
                method,
                f"http://{upstream.address}{path}",
                limits=ReplyLimits(MAX_BODY_BYTES, self.settings.connect_s + timeout_s),
                headers=raw_headers,
                content=body,
                extensions={"timeout": timeouts, "trace": trace},
            )
        except TRANSPORT_ERRORS as error:
            code = (
                ResultCode.UPSTREAM_BROKEN
                if sending
                else ResultCode.UPSTREAM_UNREACHABLE
            )
            raise UpstreamError(code, repr(error), sent=sending) from error
        await self._check_complete(upstream, method, response)
        self.on_response(upstream.id, response.status, response.headers)
        forwarded = [
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in response.headers
            if name.lower() not in DROPPED_HEADERS
        ]
        return response.status, forwarded, content

    async def _check_complete(
        self, upstream: Upstream, method: str, response: httpcore.Response
    ) -> None:
        """Raise UpstreamError if a response may be cut off by the service's end.

        One without length or chunks ends with its connection, which also ends with the
        process of the service.
        """
        names = {name.lower() for name, _ in response.headers}
        has_body = method != "HEAD" and response.status not in STATUSES_WITHOUT_BODY
        if not has_body or names & FRAMING_HEADERS:
            return
        if await refuses_connections(upstream.address, self.settings.connect_s):
            raise UpstreamError(ResultCode.UPSTREAM_BROKEN, "ended with its response")
