"""The ASGI application for operators, on a separate listener."""

from collections.abc import Callable
from typing import Any

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.utils import ConfigItem, ConfigNamespace

from .app import serve_lifespan
from .http import Exchange

__all__ = ["OperatorApp", "OperatorSettings"]


class OperatorSettings(ConfigNamespace):
    """Settings of the listener for operators."""

    section = "operators"

    listen = ConfigItem("", "Address and port for operators.", required=True)


class OperatorApp:
    """Serve health checks, status, records and metrics.

    Parameters
    ----------
    status
        Returns the body of ``/status``.
    is_ready
        Returns whether this instance should receive requests of clients.
    records
        Returns the records in force, as the bytes that were published.
    metrics
        Returns the body and headers of ``/metrics`` for an Accept header.
    """

    def __init__(
        self,
        status: Callable[[], dict[str, Any]],
        is_ready: Callable[[], bool],
        records: Callable[[], bytes],
        metrics: Callable[[str], tuple[bytes, dict[str, str]]],
    ) -> None:
        self.status = status
        self.is_ready = is_ready
        self.records = records
        self.metrics = metrics

    async def __call__(self, scope: dict, receive, send) -> None:
        """Serve one ASGI connection scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        exchange = Exchange(scope, receive, send)
        if exchange.path == "/livez":
            await exchange.respond_json({"live": True})
        elif exchange.path == "/readyz":
            ready = self.is_ready()
            await exchange.respond_json({"ready": ready}, 200 if ready else 503)
        elif exchange.path == "/status":
            await exchange.respond_json(self.status())
        elif exchange.path == "/records":
            await exchange.respond(200, self.records())
        elif exchange.path == "/metrics":
            body, headers = self.metrics(exchange.headers.get("accept", ""))
            await exchange.respond(200, body, headers["Content-Type"])
        else:
            await exchange.refuse(Refusal(ResultCode.UNKNOWN_PATH, exchange.path))
