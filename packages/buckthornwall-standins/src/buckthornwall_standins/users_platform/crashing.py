"""An engine that one request crashes, and that is started again."""

from dataclasses import dataclass

import trio
from buckthornwall.http1 import IncomingRequest, ResponseWriter

from .ending import EndingUpstream
from .wire import PREFIX

__all__ = ["CRASHING", "CrashingEngine"]

# A body with this text crashes the engine that runs it.
CRASHING = b"crash"
EXPECTED = PREFIX.lower() + b"expect-instance"
REQUEST_ID = PREFIX.lower() + b"attempt-id"


@dataclass
class CrashingEngine(EndingUpstream):
    """One incarnation of an engine.

    Attributes
    ----------
    crash_s : float
        Seconds from the beginning of the run to the end of the engine.
    crashed_by : bytes
        The body that did it.
    """

    crash_s: float = 0.09
    crashed_by: bytes = b""

    async def _handle(self, incoming: IncomingRequest, answer: ResponseWriter) -> None:
        found = dict(incoming.headers)
        expected = found.get(EXPECTED, self.id.encode())
        if CRASHING not in incoming.body or expected != self.id.encode():
            await super()._handle(incoming, answer)
            return
        self.on_arrival(found[REQUEST_ID].decode())
        await trio.sleep(self.work_s + self.crash_s)
        self.crashed_by = self.crashed_by or incoming.body
        self.crashed.set()
        await trio.sleep_forever()
