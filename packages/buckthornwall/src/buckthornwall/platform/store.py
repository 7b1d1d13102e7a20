"""The platform's store, which is only read and watched."""

import binascii
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
import trio

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.discovery import Feed, HistoryLost, News
from buckthornwall.http1 import ClientConnection, ExchangeError
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import ConfigItem, ConfigNamespace, UpstreamId, ZoneId

__all__ = ["StoreClient", "StoreSettings"]

CONFIG_KEY = "op/config"
REGISTRATIONS = "servers/"
# One watch on everything costs half the calls of one for each of the two.
EVERYTHING = ""
GONE = 410
MS_PER_S = 1000.0


class StoreSettings(ConfigNamespace):
    """Settings of the platform's store."""

    section = "store"

    address = ConfigItem("", "The platform's store, as IP:port.", required=True)
    connect_timeout_ms = ConfigItem(
        500.0, "Milliseconds to connect to the store.", minimum=1
    )
    answer_timeout_ms = ConfigItem(
        1000.0, "Milliseconds for an answer, beside the wait of a watch.", minimum=1
    )


class _Item(msgspec.Struct):
    """An item or an event; `revision` is that of its last change."""

    key: str
    revision: int = 0
    value: str | None = None
    removed: bool = False


class _Page(msgspec.Struct):
    """`truncated` tells that more items follow after the last one."""

    store_revision: int
    items: list[_Item] = []
    truncated: bool = False


class _Events(msgspec.Struct):
    store_revision: int
    events: list[_Item] = []


class _Registration(msgspec.Struct):
    """How an engine registers itself; `sequence` only counts its writes."""

    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    cold_remaining_ms: float = 0.0
    models: list[msgspec.Raw] | None = None


@dataclass(slots=True)
class _Answer:
    status: int
    body: bytes


class StoreClient(Feed):
    """Reads and watches over one connection that is kept.

    Parameters
    ----------
    settings
        The ``[store]`` section.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.calls = 0
        self._connection: ClientConnection | None = None

    def drop_connection(self) -> None:
        """Let the next call open a new connection."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    async def read_all(self) -> News:
        """Return all that is published now.

        Pages are no snapshot; the revision of the first one is returned, so
        that a watch from there brings what changed meanwhile.

        Raises
        ------
        PeerError
            If the store does not answer as it should.
        """
        news = News(revision=0, whole=True)
        after = ""
        while True:
            page = await self._read_page(after)
            news.revision = news.revision or page.store_revision
            for item in page.items:
                _add(news, item)
            if not page.truncated or not page.items:
                return news
            after = page.items[-1].key

    async def _read_page(self, after: str) -> _Page:
        query = f"path_prefix={quote(EVERYTHING, safe='')}"
        if after:
            query += f"&after={quote(after, safe='')}"
        answer = await self._call(f"/kv-range?{query}", 0.0)
        return _decode(answer, _Page)

    async def watch(self, after: int, wait_s: float) -> News:
        """Return what changed after a revision, waiting for it if need be.

        Raises
        ------
        HistoryLost
            If the store no longer holds the changes since `after`.
        PeerError
            If the store does not answer as it should.
        """
        query = f"path_prefix={quote(EVERYTHING, safe='')}&after={after}"
        query += f"&wait_ms={int(wait_s * MS_PER_S)}"
        answer = await self._call(f"/kv-watch?{query}", wait_s)
        if answer.status == GONE:
            raise HistoryLost
        events = _decode(answer, _Events)
        news = News(revision=events.store_revision, whole=False)
        for event in events.events:
            _add(news, event)
        return news

    async def _call(self, target: str, wait_s: float) -> _Answer:
        self.calls += 1
        limit_s = wait_s + self.settings.answer_timeout_ms / MS_PER_S
        connection, self._connection = self._connection, None
        try:
            with trio.fail_after(limit_s):
                if connection is None or not connection.is_sound():
                    connection = await self._connect(connection)
                answer = await self._exchange(connection, target)
        except (ExchangeError, trio.TooSlowError) as error:
            if connection is not None:
                connection.close()
            detail = str(error) or "no answer in time"
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, detail) from error
        except BaseException:
            if connection is not None:
                connection.close()
            raise
        if connection.is_reusable():
            self._connection = connection
        else:
            connection.close()
        return answer

    async def _connect(self, old: ClientConnection | None) -> ClientConnection:
        if old is not None:
            old.close()
        timeout_s = self.settings.connect_timeout_ms / MS_PER_S
        return await ClientConnection.connect(self.settings.address, timeout_s)

    async def _exchange(self, connection: ClientConnection, target: str) -> _Answer:
        headers = [(b"host", self.settings.address.encode())]
        await connection.send(b"GET", target.encode(), headers, b"")
        head = await connection.receive_head()
        body = bytearray()
        while data := await connection.receive_data():
            body += data
        return _Answer(head.status, bytes(body))


def _decode(answer: _Answer, form: type) -> _Page | _Events:
    if answer.status != 200:
        detail = f"status {answer.status}"
        raise PeerError(ResultCode.PLATFORM_UNREACHABLE, detail)
    try:
        return msgspec.json.decode(answer.body, type=form)
    except msgspec.DecodeError as error:
        raise PeerError(ResultCode.PLATFORM_UNREACHABLE, str(error)) from error


def _add(news: News, item: _Item) -> None:
    """Put one item or event into the product's words."""
    news.mark = max(news.mark, item.revision)
    if item.key == CONFIG_KEY:
        if item.value is not None:
            news.published = binascii.a2b_base64(item.value)
    elif item.key.startswith(REGISTRATIONS):
        upstream = UpstreamId(item.key.removeprefix(REGISTRATIONS))
        if item.value is None:
            news.entries.pop(upstream, None)
            news.removed.add(upstream)
        else:
            news.removed.discard(upstream)
            news.entries[upstream] = _entry(upstream, item.value)


def _entry(upstream: UpstreamId, value: str) -> UpstreamEntry:
    try:
        found = msgspec.json.decode(binascii.a2b_base64(value), type=_Registration)
    except (msgspec.DecodeError, binascii.Error) as error:
        raise PeerError(ResultCode.PLATFORM_UNREACHABLE, str(error)) from error
    is_ready = found.state == "ready"
    return UpstreamEntry(
        id=upstream,
        pool=PoolId(found.service),
        address=found.address,
        zone=ZoneId(found.zone),
        slots=found.slots,
        state=UpstreamState.READY if is_ready else UpstreamState.LEAVING,
        cold_s=found.cold_remaining_ms / MS_PER_S,
        loaded=found.models is None or bool(found.models),
    )
