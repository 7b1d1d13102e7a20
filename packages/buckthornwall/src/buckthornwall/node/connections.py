"""All network access of an instance, in one place so that tests can replace it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import httpcore
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from buckthornwall.gateway import GatewaySettings, OperatorSettings
from buckthornwall.links import LinkHub
from buckthornwall.settings import Settings

__all__ = ["Connections"]

BACKLOG = 1024
MAX_REQUESTS_PER_CONNECTION = 1_000_000

Serve = Callable[[Any, Any, Callable[[], Awaitable[None]], Any], Awaitable[None]]


@dataclass
class Connections:
    """Connection pools to upstreams and the platform, links, and listeners.

    Calls to services and requests to load adapters use a new connection each. On a
    kept one a failed write would not prove that nothing was sent, and a request to
    load adapters could leave after a freeze on a socket opened before it.
    """

    engine_pool: httpcore.AsyncConnectionPool
    service_pool: httpcore.AsyncConnectionPool
    adapter_pool: httpcore.AsyncConnectionPool
    platform_pool: httpcore.AsyncConnectionPool
    make_hub: Callable[..., LinkHub]
    serve_callers: Serve
    serve_operators: Serve

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        backend: httpcore.AsyncNetworkBackend | None = None,
        make_hub: Callable[..., LinkHub] = LinkHub.from_config,
        serve_callers: Serve | None = None,
        serve_operators: Serve | None = None,
    ) -> "Connections":
        """Build the pools, by default on sockets and with hypercorn as the server."""
        max_connections = settings.upstreams.max_connections

        def pool(max_keepalive_connections: int | None) -> httpcore.AsyncConnectionPool:
            return httpcore.AsyncConnectionPool(
                max_connections=max_connections,
                max_keepalive_connections=max_keepalive_connections,
                network_backend=backend,
            )

        return cls(
            engine_pool=pool(None),
            service_pool=pool(0),
            adapter_pool=pool(0),
            platform_pool=pool(None),
            make_hub=make_hub,
            serve_callers=serve_callers or _serve_callers,
            serve_operators=serve_operators or _serve_operators,
        )


def _config(listen: str) -> Config:
    config = Config()
    config.bind = [listen]
    config.errorlog = None
    config.backlog = BACKLOG
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    return config


async def _serve_callers(
    app: Any,
    settings: GatewaySettings,
    closing: Callable[[], Awaitable[None]],
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    config = _config(settings.listen)
    config.keep_alive_timeout = settings.keep_alive_s
    config.h11_max_incomplete_size = settings.header_limit_bytes
    config.graceful_timeout = settings.stop_limit_s
    if settings.tls_certificate:
        config.certfile = settings.tls_certificate
        config.keyfile = settings.tls_key
    await serve(app, config, shutdown_trigger=closing, task_status=task_status)


async def _serve_operators(
    app: Any,
    settings: OperatorSettings,
    closing: Callable[[], Awaitable[None]],
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    config = _config(settings.listen)
    await serve(app, config, shutdown_trigger=closing, task_status=task_status)
