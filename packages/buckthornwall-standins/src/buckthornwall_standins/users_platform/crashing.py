"""An engine that crashes when it runs a request with a certain body."""

from dataclasses import dataclass

import trio
from buckthornwall.http1 import IncomingRequest, ResponseWriter

from .crashable import CrashableUpstream
from .headers import PREFIX

__all__ = ["CRASH_MARKER", "CrashingEngine"]

# A body that contains this text crashes the engine that runs it.
CRASH_MARKER = b"crash"
EXPECT_INSTANCE_HEADER = PREFIX.lower() + b"expect-instance"
ATTEMPT_ID_HEADER = PREFIX.lower() + b"attempt-id"


@dataclass
class CrashingEngine(CrashableUpstream):
    """One incarnation of an engine.

    Attributes
    ----------
    crash_delay_s : float
        Seconds from the end of `work_s` to the crash.
    crashed_by : bytes
        Body of the request that crashed it.
    """

    crash_delay_s: float = 0.09
    crashed_by: bytes = b""

    async def _handle(
        self, incoming: IncomingRequest, response: ResponseWriter
    ) -> None:
        request_headers = dict(incoming.headers)
        expected = request_headers.get(EXPECT_INSTANCE_HEADER, self.id.encode())
        if CRASH_MARKER not in incoming.body or expected != self.id.encode():
            await super()._handle(incoming, response)
            return
        self.on_arrival(request_headers[ATTEMPT_ID_HEADER].decode())
        await trio.sleep(self.work_s + self.crash_delay_s)
        self.crashed_by = self.crashed_by or incoming.body
        self.crashed.set()
        await trio.sleep_forever()
