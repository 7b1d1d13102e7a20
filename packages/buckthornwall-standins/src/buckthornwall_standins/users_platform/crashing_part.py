"""An engine that crashes when it begins to answer on a certain part of a prompt."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from .crashable import CrashableUpstream

__all__ = ["PartCrashingEngine", "shareable_parts"]

PROMPT_HEADER = b"x-buckthornwall-prompt-prefix"


def shareable_parts(prompt: bytes) -> list[bytes]:
    """Return the parts of a prompt header but the last, which never crashes engines."""
    return [part.partition(b":")[0] for part in prompt.split(b",")[:-1]]


@dataclass
class PartCrashingEngine(CrashableUpstream):
    """One incarnation of an engine.

    Attributes
    ----------
    find_bad_part : callable
        Returns the first of the parts that crashes engines, or b"".
    rng : random.Random
        Samples whether the head of the response is sent before a crash.
    crashed_by : bytes
        The part that crashed it.
    """

    find_bad_part: Callable[[list[bytes]], bytes] = lambda parts: b""
    rng: random.Random = field(default_factory=random.Random)
    crashed_by: bytes = b""

    async def _stream(self, request_headers, response, headers) -> None:
        parts = shareable_parts(request_headers[PROMPT_HEADER])
        if not (bad_part := self.find_bad_part(parts)):
            await super()._stream(request_headers, response, headers)
            return
        if self.rng.random() < 0.5:
            event_stream = (b"Content-Type", b"text/event-stream")
            await response.begin(200, [*headers, event_stream])
        self.crashed_by = self.crashed_by or bad_part
        self.crashed.set()
        await trio.sleep_forever()
