"""The platform's key-value store: revisions, paged reads, watches and faults.

It can return from an older copy: what was written since is lost, revisions are given
out again, and its era rises by one.
"""

import base64
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio
from buckthornwall.http1 import (
    HttpServer,
    IncomingRequest,
    ResponseWriter,
    ServerLimits,
)
from buckthornwall.utils import TrioClock

__all__ = ["Store", "StoreCopy", "StoreFault"]

LIMITS = ServerLimits(8192, 0, 3.0, 60.0)
JSON = [(b"Content-Type", b"application/json")]


@dataclass(frozen=True)
class StoreCopy:
    """Items and revision of a store at some time."""

    items: dict[str, tuple[bytes, int]]
    revision: int


class StoreFault(Enum):
    """Fault that the store injects until another one is set."""

    NONE = "none"
    BUSY = "busy"  # every call gets 503
    TOO_MANY_REQUESTS = "many"  # every call gets 429
    SILENT = "silent"  # no call is answered
    RESET = "reset"  # every call's connection is closed


@dataclass
class Store:
    """Items with their revisions, and recent changes.

    Attributes
    ----------
    page_size : int
        Maximum number of items in a page.
    max_events : int
        Maximum number of changes kept for watches.
    delay_s : float
        Delay added to each response, in seconds.
    faults : dict
        Faults by the IP address that is called; '' applies to all others.
    """

    page_size: int = 500
    max_events: int = 100
    delay_s: float = 0.0
    revision: int = 1
    era: int = 1
    history_start: int = 0  # watches from before it get 410
    calls: int = 0
    items: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    faults: dict[str, StoreFault] = field(default_factory=dict)
    changed: trio.Event = field(default_factory=trio.Event)

    def put(self, key: str, value: dict[str, Any]) -> int:
        """Write an item encoded as JSON and return its revision."""
        return self.put_raw(key, msgspec.json.encode(value))

    def put_raw(self, key: str, raw: bytes) -> int:
        """Write the bytes of an item and return its revision."""
        self.revision += 1
        self.items[key] = (raw, self.revision)
        self._record_event(_item(key, raw, self.revision))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._record_event({"key": key, "revision": self.revision, "removed": True})

    def make_copy(self) -> StoreCopy:
        """Return a copy to which the store may return."""
        return StoreCopy(dict(self.items), self.revision)

    def restore(self, copy: StoreCopy) -> dict[str, bytes | None]:
        """Return to an older copy.

        Returns
        -------
        dict
            The values that are lost by key, None if the key had been removed.
        """
        lost = {
            key: self.items[key][0] if key in self.items else None
            for key in self.items | copy.items
            if self.items.get(key) != copy.items.get(key)
        }
        self.items, self.revision = dict(copy.items), copy.revision
        self.events.clear()
        self.history_start = self.revision
        self.era += 1
        self._wake_watches()
        return lost

    def rewrite(self, key: str, raw: bytes | None) -> None:
        """Write or remove an item again that was lost."""
        if raw is None:
            self.remove(key)
        else:
            self.put_raw(key, raw)

    def drop_history(self) -> None:
        """Drop all recorded changes, so that watchers must read everything again."""
        self.history_start = self.revision
        self.revision += 1
        self.events.clear()
        self._wake_watches()

    def _record_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        if len(self.events) > self.max_events:
            del self.events[: -self.max_events]
            self.history_start = self.events[0]["revision"] - 1
        self._wake_watches()

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def run(self, address: str, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        server = HttpServer(TrioClock(), lambda: LIMITS, self._handle)
        await server.run(address, task_status=task_status)

    async def _handle(
        self, incoming: IncomingRequest, response: ResponseWriter
    ) -> None:
        self.calls += 1
        called = response.connection.sock.getsockname()[0]
        fault = self.faults.get(called, self.faults.get("", StoreFault.NONE))
        await trio.sleep(self.delay_s)
        if fault is StoreFault.SILENT:
            await trio.sleep_forever()
        elif fault is StoreFault.RESET:
            return  # no response was begun, so the server closes the connection
        elif fault is not StoreFault.NONE:
            status = 503 if fault is StoreFault.BUSY else 429
            await response.send_complete(status, self._headers(), b"{}")
            return
        target = urlsplit(incoming.target.decode())
        query = {key: values[0] for key, values in parse_qs(target.query).items()}
        if target.path == "/kv-range":
            status, body = 200, self.range(query)
        elif target.path == "/kv-watch":
            status, body = await self.watch(query)
        else:
            status, body = 404, {"error": "no such call"}
        await response.send_complete(status, self._headers(), msgspec.json.encode(body))

    def _headers(self) -> list[tuple[bytes, bytes]]:
        return [*JSON, (b"Store-Era", b"%d" % self.era)]

    def range(self, query: dict[str, str]) -> dict[str, Any]:
        """Return a page of items as a response body."""
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            "items": [_item(key, *self.items[key]) for key in keys[: self.page_size]],
            "truncated": len(keys) > self.page_size,
            "store_revision": self.revision,
        }

    async def watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Return status and body after a change or at the end of the wait."""
        after = int(query["after"])
        prefix = query.get("path_prefix", "")
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while True:
                if not self.history_start <= after <= self.revision:
                    return 410, {"error": "history is gone"}
                found = [
                    event
                    for event in self.events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                if found:
                    return 200, {"events": found, "store_revision": self.revision}
                await self.changed.wait()
        return 200, {"events": [], "store_revision": self.revision}


def _item(key: str, raw: bytes, revision: int) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(raw).decode(),
        "revision": revision,
        "created_rev": revision,
        "lease": 0,
    }
