"""A stand-in of an engine, run as a process of its own.

    engine.py LOG ADDRESS ID

It answers at ADDRESS as instance ID, and writes to LOG a line of JSON for each request
that it gets and for each that it has run. The last part of a path tells what to answer:

    plain        200 with 800 bytes and their length
    stream-N-MS  N events, one each MS ms; the answer has no length and ends with its
                 connection

SIGUSR1 tells it that it is leaving: from then on its answers bear `Connection: close`
and its health answer is 503.
"""

import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import read_head  # noqa: E402

PREFIX = "x-buckthornwall-"


class Engine:
    def __init__(self, log, address, name):
        self.log = open(log, "a", buffering=1)
        self.address, self.name = address, name
        self.leaving = False

    def write(self, event, **fields):
        fields = {"at": time.monotonic(), "engine": self.name, "event": event, **fields}
        self.log.write(json.dumps(fields) + "\n")

    async def run(self):
        ip, _, port = self.address.rpartition(":")
        server = await asyncio.start_server(self.serve, ip, int(port))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self.leave)
        async with server:
            await server.serve_forever()

    def leave(self):
        self.leaving = True
        self.write("leaving")

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ")
        length = int(headers.get("content-length", "0"))
        if length:
            await reader.readexactly(length)
        if target == "/health":
            status = 503 if self.leaving else 200
            extra = [f"X-Buckthornwall-Instance-Id: {self.name}"]
            return await self.answer(writer, status, extra, b"")
        request = headers.get(PREFIX + "attempt-id", "")
        echo = [f"X-Buckthornwall-Attempt-Id: {request}"]
        if headers.get(PREFIX + "expect-instance", self.name) != self.name:
            self.write("misdirected", request=request)
            return await self.answer(writer, 421, echo, b"")
        self.write(
            "runs",
            request=request,
            method=method,
            target=target,
            deadline_ms=headers.get(PREFIX + "deadline-ms"),
        )
        seal = [*echo, f"X-Buckthornwall-Response-Seal: {self.name}.{request}"]
        kind = target.rstrip("/").rpartition("/")[2].split("-")
        if kind[0] == "stream":
            return await self.stream(writer, seal, request, int(kind[1]), int(kind[2]))
        await asyncio.sleep(0.03)
        await self.answer(writer, 200, seal, b"x" * 800)
        self.write("ends", request=request)
        return not self.leaving

    async def answer(self, writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}"]
        if self.leaving:
            lines.append("Connection: close")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return not self.leaving

    async def stream(self, writer, seal, request, count, pause_ms):
        lines = ["HTTP/1.1 200 OK", *seal, "Content-Type: text/event-stream"]
        lines.append("Connection: close")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, count + 1):
            await asyncio.sleep(pause_ms / 1000)
            self.write("event", request=request, number=number, of=count)
            writer.write(b"id: %d\ndata: %s\n\n" % (number, b"t" * 30))
            await writer.drain()
        self.write("ends", request=request)
        return False


if __name__ == "__main__":
    asyncio.run(Engine(*sys.argv[1:4]).run())
