"""Relay on the same libraries without any routing logic, as a cost baseline."""

import argparse
import itertools

import httpcore
import trio
from buckthornwall.gateway.http import Exchange

from .asgi import json_app, serve_until_signal

__all__ = ["BareRelay"]

MAX_BODY_BYTES = 2**20


class BareRelay:
    """Relay that forwards requests round robin and streams the responses back.

    Parameters
    ----------
    engines
        Addresses of the engines.
    """

    def __init__(self, engines: list[str]) -> None:
        self.engines = itertools.cycle(engines)
        self.pool = httpcore.AsyncConnectionPool(max_connections=1000)

    async def relay(self, exchange: Exchange) -> None:
        """Forward a request."""
        body = await exchange.read_body(MAX_BODY_BYTES, 10)
        url = f"http://{next(self.engines)}{exchange.path}"
        async with self.pool.stream("POST", url, content=body) as response:
            await exchange.start(200, [("content-type", "text/event-stream")])
            async for data in response.aiter_stream():
                await exchange.write(data)
            await exchange.write(b"", more=False)


def main() -> None:
    """Run the relay."""
    parser = argparse.ArgumentParser(description="Relay that decides nothing.")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--engines", nargs="+", required=True)
    options = parser.parse_args()
    relay = BareRelay(options.engines)
    trio.run(serve_until_signal, json_app({"/v1/": relay.relay}), options.listen)


if __name__ == "__main__":
    main()
