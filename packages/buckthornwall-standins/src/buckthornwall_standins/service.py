"""Stand-in of a plain service that confirms orders and counts confirmations."""

import argparse
from collections import Counter

import msgspec
import trio
from buckthornwall.gateway.http import Exchange

from .asgi import json_app, serve_until_signal

__all__ = ["OrderService"]

MAX_BODY_BYTES = 2**20


class OrderService:
    """Service that counts its calls for each order.

    Parameters
    ----------
    work_s
        Duration of a confirmation in seconds.
    """

    def __init__(self, work_s: float) -> None:
        self.work_s = work_s
        self.confirmed: Counter[str] = Counter()

    def routes(self) -> dict:
        """Return the handlers by path."""
        return {
            "/confirm": self.confirm,
            "/echo": self.echo,
            "/counts": self.counts,
        }

    async def confirm(self, exchange: Exchange) -> None:
        """Confirm an order; the call counts even if its client has disconnected."""
        body = msgspec.json.decode(await exchange.read_body(MAX_BODY_BYTES, 10))
        order = body["order"]
        self.confirmed[order] += 1
        await trio.sleep(self.work_s)
        result = {"order": order, "times": self.confirmed[order]}
        await exchange.respond_json(result)

    async def echo(self, exchange: Exchange) -> None:
        """Respond with the body of the request."""
        await exchange.respond(200, await exchange.read_body(MAX_BODY_BYTES, 10))

    async def counts(self, exchange: Exchange) -> None:
        """Serve the number of calls for each order."""
        await exchange.respond_json(self.confirmed)


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in of a plain service.")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--work-s", type=float, default=0.03)
    options = parser.parse_args()
    service = OrderService(options.work_s)
    trio.run(serve_until_signal, json_app(service.routes()), options.listen)


if __name__ == "__main__":
    main()
