"""Stand-in of an engine, of one service.

It checks X-Buckthornwall-Expect-Instance, echoes the attempt's id, signs its answers
and writes a line of JSON for each run: when it began, when it ended, what was sent.
The body of a request says how it runs, as JSON: `first_ms` and `gap_ms` (pauses before
the first event and between two), `events`; without `events`, a plain answer after
`first_ms`.

Usage: engine.py ID SERVICE IP:PORT RECORD [--no-length]

With --no-length one in twenty of its streams, the tenth first, has no length and ends
with its connection.
"""

import asyncio
import json
import sys
import time

from wire import Ended, read_body, read_head, response

ID, SERVICE, ADDRESS, RECORD = sys.argv[1:5]
OMITS_LENGTHS = "--no-length" in sys.argv
SLOTS = 64


class Engine:
    def __init__(self) -> None:
        self.running = 0
        self.streams = 0
        self.record = open(RECORD, "a", buffering=1)

    def note(self, what: str, request: str, **more) -> None:
        line = {"at": round(time.time(), 3), "engine": ID, "what": what}
        self.record.write(json.dumps(line | {"request": request} | more) + "\n")

    def common(self, request: str) -> dict[str, str]:
        return {
            "X-Buckthornwall-Attempt-Id": request,
            "X-Buckthornwall-Engine-Load": f"{self.running},0,{SLOTS}",
        }

    async def serve(self, reader, writer) -> None:
        try:
            while await self.serve_one(reader, writer):
                pass
        except (Ended, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer) -> bool:
        head = await read_head(reader)
        body = await read_body(reader, head)
        method, target, _ = head.start.split(" ")
        request = head.headers.get("x-buckthornwall-attempt-id", "")
        if target == "/health":
            found = {"X-Buckthornwall-Instance-Id": ID} | self.common("")
            writer.write(response(200, found, b""))
            return True
        if head.headers.get("x-buckthornwall-expect-instance", ID) != ID:
            found = self.common(request) | {"X-Buckthornwall-Not-Executed": "1"}
            writer.write(response(421, found, b""))
            return True
        work = json.loads(body or b"{}")
        self.note("runs", request, target=target)
        self.running += 1
        try:
            await asyncio.sleep(work.get("first_ms", 20) / 1000)
            seal = {"X-Buckthornwall-Response-Seal": f"{ID}.{request}"}
            headers = self.common(request) | seal
            if "events" in work:
                return await self.stream(writer, request, headers, work)
            writer.write(response(200, headers, b"done " + request.encode()))
            await writer.drain()
            self.note("answered", request)
            return True
        except ConnectionError:
            self.note("cut", request)
            raise
        finally:
            self.running -= 1

    async def stream(self, writer, request, headers, work) -> bool:
        self.streams += 1
        is_sized = not (OMITS_LENGTHS and self.streams % 20 == 10)
        headers |= {"Content-Type": "text/event-stream"}
        headers |= (
            {"Transfer-Encoding": "chunked"} if is_sized else {"Connection": "close"}
        )
        if not is_sized:
            self.note("answers without a length", request)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 X", *lines, "", ""]).encode())
        for number in range(1, work["events"] + 1):
            event = b"id: %d\ndata: piece %d of %d\n\n" % (
                number,
                number,
                work["events"],
            )
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if is_sized else event)
            await writer.drain()
            self.note("event", request, number=number)
            if number < work["events"]:
                await asyncio.sleep(work["gap_ms"] / 1000)
        if is_sized:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self.note("answered", request)
        return is_sized


async def main() -> None:
    host, _, port = ADDRESS.rpartition(":")
    server = await asyncio.start_server(Engine().serve, host, int(port), backlog=256)
    await server.serve_forever()


asyncio.run(main())
