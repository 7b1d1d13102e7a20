"""The platform: a configuration service that is watched, and a list.

Callers of ``/control/*`` act as the platform's operators; the fleet only uses
``/v1/*``, whose form is described in `buckthornwall.platform.client`.
"""

import argparse
from typing import Any

import httpcore
import msgspec
import trio
from buckthornwall.gateway.http import Exchange
from buckthornwall.utils import TRANSPORT_ERRORS

from .asgi import json_app, serve_until_signal

__all__ = ["Platform"]

BODY_LIMIT = 2**21
PROBE_S = 0.25
PROBE_TIMEOUT_S = 0.5


class Published:
    """A numbered value that can be watched."""

    def __init__(self) -> None:
        self.number = 0
        self.body = b""
        self.changed = trio.Event()
        self.shows_always = False

    def publish(self, number: int, body: bytes) -> None:
        """Replace the value, whatever number it had: the service may be stale."""
        self.number = number
        self.body = body
        self.changed.set()
        self.changed = trio.Event()

    async def watch(self, after: int, wait_s: float) -> bytes | None:
        """Return the value once its number is over `after`, else None.

        A stale replica may have lost its place and show what it has to anyone.
        """
        with trio.move_on_after(wait_s):
            while self.number <= after and not self.shows_always:
                await self.changed.wait()
        shown = self.number > after or self.shows_always
        return self.body if shown else None


class Platform:
    """State of the stand-in; a fault is set through ``/control/fault``.

    Parameters
    ----------
    list_lag_s
        Seconds by which the list of instances lags behind.
    backend
        Network to probe instances through; sockets if None.
    """

    def __init__(
        self,
        list_lag_s: float,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self.list_lag_s = list_lag_s
        self.backend = backend
        self.records = Published()
        self.instances = Published()
        self.known: dict[str, dict[str, Any]] = {}
        self.states: dict[str, str] = {}
        self.down = False
        self.reads = 0

    def routes(self) -> dict:
        """Return the handlers by path."""
        return {
            "/v1/config/buckthornwall": self.watch_records,
            "/v1/instances": self.watch_instances,
            "/control/records": self.control_records,
            "/control/instances": self.control_instances,
            "/control/fault": self.control_fault,
            "/control/counts": self.counts,
        }

    async def _watch(self, exchange: Exchange, value: Published) -> None:
        self.reads += 1
        query = dict(
            pair.split("=", 1) for pair in exchange.query.decode().split("&") if pair
        )
        if self.down:
            await exchange.respond_json({"error": "down"}, 503)
            return
        body = await value.watch(int(query["after"]), float(query["wait"]))
        if self.down:
            await exchange.respond_json({"error": "down"}, 503)
        elif body is None:
            await exchange.respond(304, b"")
        else:
            await exchange.respond(200, body)

    async def watch_records(self, exchange: Exchange) -> None:
        """Serve the records."""
        await self._watch(exchange, self.records)

    async def watch_instances(self, exchange: Exchange) -> None:
        """Serve the list."""
        await self._watch(exchange, self.instances)

    async def control_records(self, exchange: Exchange) -> None:
        """Publish a set as it is; its number may be an older one."""
        body = await exchange.read_body(BODY_LIMIT, 10)
        self.records.publish(msgspec.json.decode(body)["number"], body)
        await exchange.respond_json({})

    async def control_instances(self, exchange: Exchange) -> None:
        """Replace the instances that the platform runs."""
        body = await exchange.read_body(BODY_LIMIT, 10)
        self.known = {each["id"]: each for each in msgspec.json.decode(body)}
        self._publish_list()
        await exchange.respond_json({})

    async def control_fault(self, exchange: Exchange) -> None:
        """Set ``down``, ``stale`` or ``list_lag_s``."""
        body = msgspec.json.decode(await exchange.read_body(BODY_LIMIT, 10))
        self.down = body.get("down", self.down)
        self.records.shows_always = body.get("stale", self.records.shows_always)
        self.list_lag_s = body.get("list_lag_s", self.list_lag_s)
        await exchange.respond_json({})

    async def counts(self, exchange: Exchange) -> None:
        """Serve the number of reads so far."""
        await exchange.respond_json({"reads": self.reads})

    def _publish_list(self) -> None:
        instances = [
            {
                "id": each["id"],
                "kind": each["kind"],
                "address": each["address"],
                "zone": each.get("zone", ""),
                "leaving": each.get("leaving", False)
                or self.states.get(each["id"]) == "leaving",
            }
            for each in self.known.values()
            if self.states.get(each["id"]) != "gone"
        ]
        number = self.instances.number + 1
        body = msgspec.json.encode({"number": number, "instances": instances})
        self.instances.publish(number, body)

    async def probe_forever(self) -> None:
        """Learn late which entry instances are ready, leaving or gone."""
        async with (
            httpcore.AsyncConnectionPool(
                max_keepalive_connections=0, network_backend=self.backend
            ) as pool,
            trio.open_nursery() as nursery,
        ):
            while True:
                await trio.sleep(PROBE_S)
                for each in list(self.known.values()):
                    if each.get("health"):
                        nursery.start_soon(self._probe, pool, each)

    async def _probe(self, pool, each: dict[str, Any]) -> None:
        timeouts = {"connect": PROBE_TIMEOUT_S, "read": PROBE_TIMEOUT_S}
        try:
            response = await pool.request(
                "GET",
                f"http://{each['health']}/readyz",
                extensions={"timeout": timeouts},
            )
            state = "live" if response.status == 200 else "leaving"
        except TRANSPORT_ERRORS:
            state = "gone"
        await trio.sleep(self.list_lag_s)
        if self.states.get(each["id"], "live") != state:
            self.states[each["id"]] = state
            self._publish_list()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in of the platform.")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--list-lag-s", type=float, default=0.5)
    options = parser.parse_args()
    platform = Platform(options.list_lag_s)
    app = json_app(platform.routes())
    trio.run(serve_until_signal, app, options.listen, platform.probe_forever)


if __name__ == "__main__":
    main()
