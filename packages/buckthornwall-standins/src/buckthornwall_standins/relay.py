"""TCP relay in front of the instances' peer listeners, for cutting links.

It identifies dialling instances by their source address. A cut holds bytes back without
closing connections, as a network partition does, and delivers them once it heals.
"""

import argparse
from functools import partial

import msgspec
import trio
from buckthornwall.gateway.http import Exchange

from .asgi import json_app, serve_until_signal

__all__ = ["Relay"]

READ_BYTES = 65536
MAX_BODY_BYTES = 2**20


class Relay:
    """Forwards connections between hosts unless they are in different groups.

    Parameters
    ----------
    routes
        Addresses to listen on, each with the address to forward to.
    """

    def __init__(self, routes: dict[str, str]) -> None:
        self.routes = routes
        self.groups: dict[str, int] = {}
        self.groups_changed = trio.Event()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether the path between two hosts is cut."""
        return self.groups.get(one, 0) != self.groups.get(other, 0)

    async def control(self, exchange: Exchange) -> None:
        """Set the group of each host; hosts that are not named are in group 0."""
        self.groups = msgspec.json.decode(await exchange.read_body(MAX_BODY_BYTES, 10))
        self.groups_changed.set()
        self.groups_changed = trio.Event()
        await exchange.respond_json({})

    async def serve(self) -> None:
        """Accept connections on every route."""
        async with trio.open_nursery() as nursery:
            for listen, target in self.routes.items():
                host, port = listen.rsplit(":", 1)
                handler = partial(self._forward, target)
                nursery.start_soon(
                    partial(trio.serve_tcp, handler, int(port), host=host)
                )

    async def _forward(self, target: str, client: trio.SocketStream) -> None:
        source = client.socket.getpeername()[0]
        host, port = target.rsplit(":", 1)
        while self.is_cut(source, host):
            await self.groups_changed.wait()
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await client.aclose()
            return
        async with client, server, trio.open_nursery() as nursery:
            for one, other in ((client, server), (server, client)):
                nursery.start_soon(
                    self._copy, one, other, source, host, nursery.cancel_scope
                )

    async def _copy(self, one, other, source, host, scope) -> None:
        try:
            async for data in one:
                while self.is_cut(source, host):
                    await self.groups_changed.wait()
                await other.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Relay between instances.")
    parser.add_argument("--control", required=True)
    parser.add_argument("--routes", required=True, help="JSON: listen to target")
    options = parser.parse_args()
    relay = Relay(msgspec.json.decode(options.routes))
    app = json_app({"/control": relay.control})
    trio.run(serve_until_signal, app, options.control, relay.serve)


if __name__ == "__main__":
    main()
