"""Stand-in of the platform's metadata store: items, pages, watches.

`PUT /item?key=K` and `DELETE /item?key=K` are how the operator's and the engines'
stand-ins write; the system only reads.

Usage: store.py IP:PORT
"""

import asyncio
import base64
import json
import sys
from urllib.parse import parse_qs, urlsplit

from wire import Ended, read_body, read_head, response

PAGE = 500
HISTORY = 1000


class Store:
    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.changed = asyncio.Event()

    def put(self, key: str, raw: bytes) -> int:
        self.revision += 1
        created = self.items.get(key, {}).get("created_rev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created_rev": created,
            "lease": 0,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def remove(self, key: str) -> int:
        self.revision += 1
        self.items.pop(key, None)
        self._note({"key": key, "revision": self.revision, "removed": True})
        return self.revision

    def _note(self, event: dict) -> None:
        self.events = [*self.events, event][-HISTORY:]
        self.changed.set()
        self.changed = asyncio.Event()

    def range(self, query: dict) -> tuple[int, dict]:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:PAGE]]
        return 200, {
            "items": page,
            "truncated": len(keys) > PAGE,
            "store_revision": self.revision,
        }

    async def watch(self, query: dict) -> tuple[int, dict]:
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["wait_ms"]) / 1000
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        while True:
            if len(self.events) == HISTORY and after < self.events[0]["revision"] - 1:
                return 410, {}
            found = [
                each
                for each in self.events
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = until - loop.time()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        path = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(path.query).items()}
        if path.path == "/kv-range":
            return self.range(query)
        if path.path == "/kv-watch":
            return await self.watch(query)
        if path.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            found = {"item": item, "store_revision": self.revision}
            return (200, found) if item else (404, {})
        if path.path == "/item" and method == "PUT":
            return 200, {"revision": self.put(query["key"], body)}
        if path.path == "/item" and method == "DELETE":
            return 200, {"revision": self.remove(query["key"])}
        return 404, {}

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                method, target, _ = head.start.split(" ")
                status, found = await self.answer(method, target, body)
                kind = {"Content-Type": "application/json"}
                writer.write(response(status, kind, json.dumps(found).encode()))
                await writer.drain()
        except (Ended, ConnectionError):
            pass
        finally:
            writer.close()


async def main() -> None:
    host, _, port = sys.argv[1].rpartition(":")
    server = await asyncio.start_server(Store().serve, host, int(port))
    await server.serve_forever()


asyncio.run(main())
