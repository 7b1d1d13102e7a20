"""A proxy between one machine and the store, which can partition the two.

During a partition it passes no byte on, either way, and breaks no connection; bytes
that were held up arrive when it ends, unless their sender has closed the connection.
"""

import asyncio
import contextlib
from collections.abc import Callable


class Proxy:
    def __init__(self, listen: str, target: str) -> None:
        self.listen, self.target = listen, target
        self.passes = asyncio.Event()
        self.passes.set()
        self.on_request: Callable[[bytes], None] = lambda data: None

    async def run(self) -> None:
        host, _, port = self.listen.rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        await server.serve_forever()

    async def serve(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        with contextlib.suppress(asyncio.CancelledError, OSError):  # the case is over
            await self.passes.wait()
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self.copy(reader, far_writer, is_request=True),
                self.copy(far_reader, writer, is_request=False),
            )

    async def copy(self, reader, writer, is_request: bool) -> None:
        try:
            while data := await reader.read(65536):
                await self.passes.wait()
                writer.write(data)
                await writer.drain()
                if is_request:
                    self.on_request(data)
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
