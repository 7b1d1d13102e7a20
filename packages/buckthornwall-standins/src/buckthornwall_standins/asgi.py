"""ASGI applications of the stand-ins, and their server."""

import signal
from collections.abc import Awaitable, Callable

import trio
from buckthornwall.gateway.http import Exchange
from hypercorn.config import Config
from hypercorn.trio import serve

__all__ = ["json_app", "serve_until_signal"]

Handler = Callable[[Exchange], Awaitable[None]]


def json_app(routes: dict[str, Handler]):
    """Return an ASGI application that routes requests by path prefix.

    The longest matching prefix wins; a path that matches none gets a 404.
    """
    ordered = sorted(routes, key=len, reverse=True)

    async def app(scope, receive, send) -> None:
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            exchange = Exchange(scope, receive, send)
            for prefix in ordered:
                if exchange.path.startswith(prefix):
                    await routes[prefix](exchange)
                    return
            await exchange.respond_json({"error": "no such path"}, 404)

    return app


async def _lifespan(receive, send) -> None:
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def serve_until_signal(app, listen: str, *tasks) -> None:
    """Serve on `listen` and run `tasks` until SIGTERM or SIGINT."""
    config = Config()
    config.bind = [listen]
    config.errorlog = None
    config.keep_alive_timeout = 60
    config.keep_alive_max_requests = 1_000_000
    config.graceful_timeout = 0.2
    config.backlog = 1024
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            for task in tasks:
                nursery.start_soon(task)
            nursery.start_soon(serve, app, config)
            async for _ in signals:
                nursery.cancel_scope.cancel()
