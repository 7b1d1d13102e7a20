"""Client of the platform's store, which is only read and watched."""

from enum import Enum
from typing import Annotated

import msgspec
import trio

from buckthornwall.codes import PeerError, RecordError, ResultCode
from buckthornwall.discovery import StoreUpdate, UpdateSource
from buckthornwall.http1 import ClientConnection, ExchangeError
from buckthornwall.pools import UpstreamEntry, UpstreamState, check_entry
from buckthornwall.routing import PoolId
from buckthornwall.telemetry import log_event
from buckthornwall.utils import (
    ConfigItem,
    ConfigNamespace,
    DecodingError,
    SoftwareVersion,
    StorePosition,
    UpstreamId,
    ZoneId,
    decode_json,
)

from .calls import Changes, StoreAnswer, StoreCalls, StoredValue
from .published import decode_published

__all__ = ["StoreClient", "StoreSettings", "to_store_update"]

CONFIG_KEY = "op/config"
REGISTRATIONS = "servers/"
EVACUATIONS = "op/evacuate/"
# One watch of all keys takes half as many calls as one for each of the two prefixes.
ALL_KEYS = ""
MS_PER_S = 1000.0
MAX_NAME_CHARS = 200
# Several values of the largest size, encoded as text.
MAX_ANSWER_BYTES = 8 * 2**20


class StoreSettings(ConfigNamespace):
    """Settings of the platform's store."""

    section = "store"

    address = ConfigItem("", "The platform's store, as IP:port.", required=True)
    connect_timeout_ms = ConfigItem(
        500.0, "Maximum milliseconds to connect to the store.", minimum=1
    )
    answer_timeout_ms = ConfigItem(
        1000.0,
        "Maximum milliseconds for an answer, in addition to the wait of a watch.",
        minimum=1,
    )


class _EngineState(Enum):
    """State that an engine registers."""

    READY = "ready"
    DRAINING = "draining"


Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


class _Registration(msgspec.Struct):
    """An engine's registration; its field `sequence`, a count of writes, is ignored.

    `version` is that of its software. `born` changes when an engine restarts under the
    same id.
    """

    service: Name
    address: Name
    zone: Name = ""
    slots: int = 1
    state: _EngineState = _EngineState.READY
    cold_remaining_ms: float = 0.0
    models: list[msgspec.Raw] | None = None
    version: Name = ""
    born: int | float | Name = ""


class StoreClient(UpdateSource):
    """Reads and watches the store over one persistent connection.

    Parameters
    ----------
    settings
        The ``[store]`` section.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.store = StoreCalls(self._call)
        self._connection: ClientConnection | None = None

    @property
    def calls(self) -> int:
        """The number of calls made so far."""
        return self.store.calls

    def drop_connection(self) -> None:
        """Close the connection; the next call opens a new one."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    async def read_all(self) -> StoreUpdate:
        """Return a snapshot of all that is published.

        Raises
        ------
        PeerError
            If the store does not answer, or not as expected.
        """
        return to_store_update(await self.store.read_all(ALL_KEYS), is_snapshot=True)

    async def watch(self, after: StorePosition, wait_s: float) -> StoreUpdate:
        """Return the changes after a position, waiting up to `wait_s` for one.

        Raises
        ------
        HistoryLost
            If the store no longer holds the changes since `after`, or is in a later
            era.
        PeerError
            If the store does not answer, or not as expected.
        """
        return to_store_update(
            await self.store.watch(ALL_KEYS, after, wait_s), is_snapshot=False
        )

    async def _call(self, target: str, wait_s: float) -> StoreAnswer:
        limit_s = wait_s + self.settings.answer_timeout_ms / MS_PER_S
        connection, self._connection = self._connection, None
        try:
            with trio.fail_after(limit_s):
                if connection is None or not connection.is_healthy():
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

    async def _connect(self, previous: ClientConnection | None) -> ClientConnection:
        if previous is not None:
            previous.close()
        timeout_s = self.settings.connect_timeout_ms / MS_PER_S
        return await ClientConnection.connect(self.settings.address, timeout_s)

    async def _exchange(self, connection: ClientConnection, target: str) -> StoreAnswer:
        headers = [(b"host", self.settings.address.encode())]
        await connection.send(b"GET", target.encode(), headers, b"")
        head = await connection.receive_head()
        body = await connection.receive_body(MAX_ANSWER_BYTES)
        return StoreAnswer.from_response(head.status, head.headers, body)


def to_store_update(changes: Changes, is_snapshot: bool) -> StoreUpdate:
    """Return values of the store as an update.

    An invalid registration counts as removed; the others apply.
    """
    update = StoreUpdate(
        revision=changes.position.revision,
        is_snapshot=is_snapshot,
        era=changes.position.era,
    )
    for each in changes.values:
        _add_change(update, each)
    return update


def _add_change(update: StoreUpdate, change: StoredValue) -> None:
    """Add one change of a key to an update."""
    update.change_revision = max(update.change_revision, change.revision)
    if change.key == CONFIG_KEY:
        _add_config(update, change.value)
    elif change.key.startswith(EVACUATIONS):
        _add_zone(update, ZoneId(change.key.removeprefix(EVACUATIONS)), change)
    elif change.key.startswith(REGISTRATIONS):
        upstream = UpstreamId(change.key.removeprefix(REGISTRATIONS))
        # The revision of a record that cannot be decoded may be unknown.
        revision = change.revision or update.revision
        update.positions[upstream] = StorePosition(update.era, revision)
        entry = _entry_or_none(upstream, change.value)
        if entry is None:
            update.entries.pop(upstream, None)
            update.removed.add(upstream)
        else:
            update.removed.discard(upstream)
            update.entries[upstream] = entry


def _add_config(update: StoreUpdate, value: bytes | None) -> None:
    """Add a version of the configuration, which its removal leaves in force.

    One that cannot be read does not displace an earlier version of the same update.
    """
    if value is None:
        return
    if update.published is not None:
        try:
            decode_published(value)
        except RecordError as error:
            log_event("config_refused", "ERROR", code=error.code.number, detail=error)
            return
    update.published = value


def _add_zone(update: StoreUpdate, zone: ZoneId, change: StoredValue) -> None:
    """Add the record of a zone's evacuation, or its removal."""
    if change.value is None:
        update.evacuated.pop(zone, None)
        update.unreadable_zones.discard(zone)
        update.reopened[zone] = StorePosition(update.era, change.revision)
        return
    try:
        decode_json(change.value, dict)
    except DecodingError as error:
        update.unreadable_zones.add(zone)
        log_event(
            "evacuation_refused",
            "WARNING",
            zone=zone,
            revision=change.revision,
            code=ResultCode.RECORDS_MALFORMED.number,
            detail=error,
        )
        return
    update.reopened.pop(zone, None)
    update.evacuated[zone] = StorePosition(update.era, change.revision)


def _entry_or_none(upstream: UpstreamId, raw: bytes | None) -> UpstreamEntry | None:
    """Return a registration, or None if it was removed or is invalid."""
    if raw is None:
        return None
    try:
        return _entry(upstream, raw)
    except RecordError as error:
        log_event(
            "registration_refused",
            "WARNING",
            upstream=upstream,
            code=error.code.number,
            detail=error,
        )
        return None


def _entry(upstream: UpstreamId, raw: bytes) -> UpstreamEntry:
    try:
        registration = decode_json(raw, _Registration)
    except DecodingError as error:
        raise RecordError(ResultCode.RECORDS_MALFORMED, str(error)) from error
    is_ready = registration.state is _EngineState.READY
    entry = UpstreamEntry(
        id=upstream,
        pool=PoolId(registration.service),
        address=registration.address,
        zone=ZoneId(registration.zone),
        slots=registration.slots,
        state=UpstreamState.READY if is_ready else UpstreamState.LEAVING,
        cold_s=registration.cold_remaining_ms / MS_PER_S,
        loaded=registration.models is None or bool(registration.models),
        incarnation=str(registration.born),
        version=SoftwareVersion(registration.version),
    )
    check_entry(entry)
    return entry
