"""Stand-in of the platform of completions deployments, with its store.

Requests to ``/control/*`` act for the platform's operators; instances only read and
watch the store, which holds the configuration records and the list of instances.
"""

import argparse
from typing import Any
from urllib.parse import parse_qsl

import httpcore
import msgspec
import trio
from buckthornwall.gateway.http import Exchange
from buckthornwall.platform.client import INSTANCES_PREFIX, RECORDS_KEY
from buckthornwall.utils import TRANSPORT_ERRORS

from .asgi import json_app, serve_until_signal
from .users_platform import Store

__all__ = ["Platform"]

MAX_BODY_BYTES = 2**21
PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_S = 0.5


class Platform:
    """State and handlers of the stand-in; ``/control/fault`` sets its faults.

    Parameters
    ----------
    list_lag_s
        Lag of the list of instances, in seconds.
    backend
        Network for probing instances; sockets if None.
    """

    def __init__(
        self,
        list_lag_s: float,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self.list_lag_s = list_lag_s
        self.backend = backend
        self.store = Store()
        self.serves_stale_records = False
        self.instances: dict[str, dict[str, Any]] = {}
        self.probed_states: dict[str, str] = {}
        self.published: dict[str, dict[str, Any]] = {}
        self.down = False
        self.reads = 0

    def routes(self) -> dict:
        """Return the handlers by path."""
        return {
            "/kv-range": self.read,
            "/kv-watch": self.watch,
            "/control/records": self.control_records,
            "/control/instances": self.control_instances,
            "/control/fault": self.control_fault,
            "/control/counts": self.counts,
        }

    async def read(self, exchange: Exchange) -> None:
        """Serve a page of a range of the store."""
        self.reads += 1
        if self.down:
            await exchange.respond_json({"error": "down"}, 503)
        else:
            await exchange.respond_json(self.store.range(_query(exchange)))

    async def watch(self, exchange: Exchange) -> None:
        """Serve a watch; a stale replica answers at once with the records it has."""
        self.reads += 1
        query = _query(exchange)
        if self.down:
            await exchange.respond_json({"error": "down"}, 503)
            return
        if self.serves_stale_records and RECORDS_KEY.startswith(query["path_prefix"]):
            page = self.store.range(query | {"after": ""})
            status = 200
            body = {"events": page["items"], "store_revision": page["store_revision"]}
        else:
            status, body = await self.store.watch(query)
        if self.down:
            status, body = 503, {"error": "down"}
        await exchange.respond_json(body, status)

    def publish(self, raw: bytes) -> None:
        """Store a configuration unchanged; its number may be an older one."""
        self.store.put_raw(RECORDS_KEY, raw)

    async def control_records(self, exchange: Exchange) -> None:
        """Publish a configuration."""
        self.publish(await exchange.read_body(MAX_BODY_BYTES, 10))
        await exchange.respond_json({})

    async def control_instances(self, exchange: Exchange) -> None:
        """Replace the list of instances that the platform runs."""
        body = await exchange.read_body(MAX_BODY_BYTES, 10)
        self.instances = {each["id"]: each for each in msgspec.json.decode(body)}
        self.publish_list()
        await exchange.respond_json({})

    async def control_fault(self, exchange: Exchange) -> None:
        """Set ``down``, ``stale`` or ``list_lag_s``."""
        body = msgspec.json.decode(await exchange.read_body(MAX_BODY_BYTES, 10))
        self.down = body.get("down", self.down)
        self.serves_stale_records = body.get("stale", self.serves_stale_records)
        self.list_lag_s = body.get("list_lag_s", self.list_lag_s)
        await exchange.respond_json({})

    async def counts(self, exchange: Exchange) -> None:
        """Serve the number of reads so far."""
        await exchange.respond_json({"reads": self.reads})

    def publish_list(self) -> None:
        """Write the changed entries of the list to the store."""
        listed = {
            INSTANCES_PREFIX + each["id"]: {
                "id": each["id"],
                "kind": each["kind"],
                "address": each["address"],
                "zone": each.get("zone", ""),
                "leaving": each.get("leaving", False)
                or self.probed_states.get(each["id"]) == "leaving",
            }
            for each in self.instances.values()
            if self.probed_states.get(each["id"]) != "gone"
        }
        for key, value in listed.items():
            if self.published.get(key) != value:
                self.store.put(key, value)
        for key in self.published.keys() - listed.keys():
            self.store.remove(key)
        self.published = listed

    async def probe_forever(self) -> None:
        """Probe the entry instances and publish their states with a lag."""
        async with (
            httpcore.AsyncConnectionPool(
                max_keepalive_connections=0, network_backend=self.backend
            ) as pool,
            trio.open_nursery() as nursery,
        ):
            while True:
                await trio.sleep(PROBE_INTERVAL_S)
                for each in list(self.instances.values()):
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
        if self.probed_states.get(each["id"], "live") != state:
            self.probed_states[each["id"]] = state
            self.publish_list()


def _query(exchange: Exchange) -> dict[str, str]:
    return dict(parse_qsl(exchange.query.decode(), keep_blank_values=True))


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
