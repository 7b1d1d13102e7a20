"""Reads and watches of the platform's store, over any transport."""

import binascii
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar
from urllib.parse import quote

import msgspec

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.discovery import HistoryLost
from buckthornwall.telemetry import log_event
from buckthornwall.utils import DecodingError, Revision, StorePosition, decode_json

from .names import STORE_ERA

__all__ = ["Changes", "StoreAnswer", "StoreCalls", "StoredValue", "Transport"]

HTTP_GONE = 410
MS_PER_S = 1000.0
MAX_ERA_DIGITS = 18
# A hundred times the keys of the largest planned fleet.
MAX_PAGES = 200
# A value that cannot be read: no decoder accepts it.
UNREADABLE = b""


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
    """A key, the revision of its last change, and its value.

    The value is None if it was removed, and `UNREADABLE` if it cannot be read.
    """

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
    revision: Revision = 0
    value: str | None = None
    removed: bool = False


class _Key(msgspec.Struct):
    """What is read of an item that cannot be decoded as a whole."""

    key: str


class _Page(msgspec.Struct):
    """A page of items; `truncated` if more of them follow."""

    store_revision: Revision
    items: list[msgspec.Raw] = []
    truncated: bool = False


class _Events(msgspec.Struct):
    store_revision: Revision
    events: list[msgspec.Raw] = []


Answer = TypeVar("Answer", _Page, _Events)


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
        for _ in range(MAX_PAGES):
            era, page = await self._read_page(prefix, after)
            found = found or Changes(StorePosition(era, page.store_revision))
            if era != found.position.era:
                raise HistoryLost
            values = _values(page.items)
            found.values += values
            if not page.truncated or not page.items:
                return found
            last = values[-1].key if values else after
            if last <= after:
                break
            after = last
        raise PeerError(ResultCode.PLATFORM_UNREACHABLE, "pages without end")

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
            _values(events.events),
        )

    async def _call(self, target: str, wait_s: float) -> StoreAnswer:
        self.calls += 1
        answer = await self.transport(target, wait_s)
        if answer.era and answer.era != self.era:
            log_event("store_era", era=answer.era, before=self.era, target=target)
            self.era = answer.era
        return answer


def _decode(answer: StoreAnswer, schema: type[Answer]) -> Answer:
    if answer.status != 200:
        detail = f"status {answer.status}"
        raise PeerError(ResultCode.PLATFORM_UNREACHABLE, detail)
    try:
        return decode_json(answer.body, schema)
    except DecodingError as error:
        raise PeerError(ResultCode.PLATFORM_UNREACHABLE, str(error)) from error


def _values(items: Iterable[msgspec.Raw]) -> list[StoredValue]:
    """Return the values of items, without those whose keys cannot be read."""
    values = [_value(bytes(item)) for item in items]
    return [value for value in values if value is not None]


def _value(raw: bytes) -> StoredValue | None:
    """Return the value of an item, or None if its key cannot be read."""
    try:
        item = decode_json(raw, _Item)
    except DecodingError as error:
        key = _key_or_none(raw)
        _log_refused(key or "", error)
        return StoredValue(key, 0, UNREADABLE) if key is not None else None
    if item.removed or item.value is None:
        return StoredValue(item.key, item.revision, None)
    try:
        value = binascii.a2b_base64(item.value)
    except ValueError as error:
        _log_refused(item.key, error)
        value = UNREADABLE
    return StoredValue(item.key, item.revision, value)


def _key_or_none(raw: bytes) -> str | None:
    try:
        return decode_json(raw, _Key).key
    except DecodingError:
        return None  # logged by the caller


def _log_refused(key: str, error: ValueError) -> None:
    log_event(
        "item_refused",
        "WARNING",
        key=key,
        code=ResultCode.RECORDS_MALFORMED.number,
        detail=error,
    )
