"""Reads and watches of the platform's store, over any transport."""

import binascii
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from urllib.parse import quote

import msgspec

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.discovery import HistoryLost
from buckthornwall.telemetry import log_event
from buckthornwall.utils import StorePosition

from .names import STORE_ERA

__all__ = ["Changes", "StoreAnswer", "StoreCalls", "StoredValue", "Transport"]

HTTP_GONE = 410
MS_PER_S = 1000.0
MAX_ERA_DIGITS = 18


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """A response of the store.

    `era` counts the store's returns from an older copy; 0 if it does not say.
    """

    status: int
    body: bytes
    era: int = 0

    @classmethod
    def from_response(
        cls, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> "StoreAnswer":
        """Return the answer in an HTTP response."""
        era = next((value for name, value in headers if name.lower() == STORE_ERA), b"")
        is_valid = era.isdigit() and len(era) <= MAX_ERA_DIGITS
        return cls(status, body, int(era) if is_valid else 0)


# Requests a target (path and query) from the store. The response may take the given
# seconds of a watch in addition to the usual time. Raises PeerError without one.
Transport = Callable[[str, float], Awaitable[StoreAnswer]]


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key, the revision of its last change, and its value; None if it was removed."""

    key: str
    revision: int
    value: bytes | None


@dataclass(slots=True)
class Changes:
    """Values in the order of keys or changes; a watch continues from `position`."""

    position: StorePosition
    values: list[StoredValue] = field(default_factory=list)


class _Item(msgspec.Struct):
    """An item or an event; `value` is in Base64."""

    key: str
    revision: int = 0
    value: str | None = None
    removed: bool = False


class _Page(msgspec.Struct):
    """A page of items; `truncated` if more of them follow."""

    store_revision: int
    items: list[_Item] = []
    truncated: bool = False


class _Events(msgspec.Struct):
    store_revision: int
    events: list[_Item] = []


class StoreCalls:
    """Reads and watches all keys with a prefix.

    Parameters
    ----------
    transport
        Sends a request to the store.
    """

    def __init__(self, transport: Transport) -> None:
        self.transport = transport
        self.calls = 0
        self.era = 0

    async def read_all(self, prefix: str) -> Changes:
        """Return the values of all keys that begin with `prefix`.

        The pages are not a consistent snapshot; the position of the first one is
        returned, so that a watch from there also returns the changes in the meantime.

        Raises
        ------
        HistoryLost
            If the store returned from an older copy between two pages.
        PeerError
            If the store does not answer, or not as expected.
        """
        found: Changes | None = None
        after = ""
        while True:
            era, page = await self._read_page(prefix, after)
            found = found or Changes(StorePosition(era, page.store_revision))
            if era != found.position.era:
                raise HistoryLost
            found.values += [_value(item) for item in page.items]
            if not page.truncated or not page.items:
                return found
            after = page.items[-1].key

    async def _read_page(self, prefix: str, after: str) -> tuple[int, _Page]:
        """Return the era of the store, and the page after a key."""
        query = f"path_prefix={quote(prefix, safe='')}"
        if after:
            query += f"&after={quote(after, safe='')}"
        answer = await self._call(f"/kv-range?{query}", 0.0)
        return answer.era, _decode(answer, _Page)

    async def watch(self, prefix: str, after: StorePosition, wait_s: float) -> Changes:
        """Return the changes after a position, waiting up to `wait_s` for one.

        Raises
        ------
        HistoryLost
            If the store no longer holds the changes since `after`, or has lost some:
            in a later era the revision may have been given to another change.
        PeerError
            If the store does not answer, or not as expected.
        """
        query = f"path_prefix={quote(prefix, safe='')}&after={after.revision}"
        query += f"&wait_ms={int(wait_s * MS_PER_S)}"
        answer = await self._call(f"/kv-watch?{query}", wait_s)
        position = StorePosition(answer.era)
        if position.is_in_former_era(after):
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, "answer of a former era")
        if answer.status == HTTP_GONE or after.is_in_former_era(position):
            raise HistoryLost
        events = _decode(answer, _Events)
        return Changes(
            StorePosition(answer.era, events.store_revision),
            [_value(item) for item in events.events],
        )

    async def _call(self, target: str, wait_s: float) -> StoreAnswer:
        self.calls += 1
        answer = await self.transport(target, wait_s)
        if answer.era and answer.era != self.era:
            log_event("store_era", era=answer.era, before=self.era, target=target)
            self.era = answer.era
        return answer


def _decode(answer: StoreAnswer, schema: type) -> _Page | _Events:
    if answer.status != 200:
        detail = f"status {answer.status}"
        raise PeerError(ResultCode.PLATFORM_UNREACHABLE, detail)
    try:
        return msgspec.json.decode(answer.body, type=schema)
    except msgspec.DecodeError as error:
        raise PeerError(ResultCode.PLATFORM_UNREACHABLE, str(error)) from error


def _value(item: _Item) -> StoredValue:
    if item.removed or item.value is None:
        return StoredValue(item.key, item.revision, None)
    try:
        raw = binascii.a2b_base64(item.value)
    except binascii.Error as error:
        raise PeerError(ResultCode.PLATFORM_UNREACHABLE, str(error)) from error
    return StoredValue(item.key, item.revision, raw)
