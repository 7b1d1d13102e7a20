"""Records and the list of instances, as completions deployments publish them.

The set of records is stored under one key of the platform's store, as it was
published, and each instance under its own key.
"""

from enum import Enum

import httpcore
import msgspec

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.discovery import HistoryLost
from buckthornwall.telemetry import log_event
from buckthornwall.utils import (
    ConfigItem,
    ConfigNamespace,
    ReplyLimits,
    StorePosition,
    ZoneId,
    decode_json,
    request_bounded,
    split_address,
)

from .calls import Changes, StoreAnswer, StoreCalls

__all__ = [
    "INSTANCES_PREFIX",
    "RECORDS_KEY",
    "InstanceKind",
    "InstanceList",
    "ListedInstance",
    "PlatformClient",
    "PlatformSettings",
]

RECORDS_KEY = "buckthornwall/records"
INSTANCES_PREFIX = "instances/"
ANSWER_MARGIN_S = 3.0
MAX_ANSWER_BYTES = 8 * 2**20


class PlatformSettings(ConfigNamespace):
    """Settings of the platform's client."""

    section = "platform"

    address = ConfigItem("", "The platform's store, as IP:port.", required=True)
    watch_s = ConfigItem(
        30.0, "Seconds that a watch waits for a change.", minimum=0.1, maximum=30
    )
    retry_limit_s = ConfigItem(
        2.0, "Maximum seconds between a failed read and the next.", minimum=0.1
    )


class InstanceKind(Enum):
    """The kind of a listed instance."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class ListedInstance(msgspec.Struct):
    """An entry of the platform's list; peers connect to `address`."""

    id: str
    kind: InstanceKind
    address: str
    zone: ZoneId = ZoneId("")
    leaving: bool = False


class InstanceList(msgspec.Struct):
    """The platform's list of live and leaving instances; it may be out of date."""

    position: StorePosition
    instances: list[ListedInstance]


class _WatchedPrefix:
    """The values under one prefix, read in full once and watched from then on."""

    def __init__(self, calls: StoreCalls, prefix: str) -> None:
        self.calls = calls
        self.prefix = prefix
        self.position: StorePosition | None = None
        self.values: dict[str, bytes] = {}

    async def update(self, wait_s: float) -> bool:
        """Apply changes, and return whether there were any.

        Raises
        ------
        PeerError
            If the store does not answer, or not as expected.
        """
        if self.position is not None:
            try:
                changes = await self.calls.watch(self.prefix, self.position, wait_s)
            except HistoryLost:
                self.position = None
            else:
                self._apply(changes)
                return bool(changes.values)
        try:
            changes = await self.calls.read_all(self.prefix)
        except HistoryLost as error:
            detail = "the store returned from an older copy"
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, detail) from error
        self.values.clear()
        self._apply(changes)
        return bool(changes.values)

    def _apply(self, changes: Changes) -> None:
        self.position = changes.position
        for each in changes.values:
            if each.value is None:
                self.values.pop(each.key, None)
            else:
                self.values[each.key] = each.value


def _instance_or_none(key: str, value: bytes) -> ListedInstance | None:
    """Return an entry of the list, or None if it cannot be read."""
    try:
        instance = decode_json(value, ListedInstance)
        split_address(instance.address)
    except ValueError as error:
        log_event(
            "instance_refused",
            "WARNING",
            key=key,
            code=ResultCode.RECORDS_MALFORMED.number,
            detail=error,
        )
        return None
    return instance


class PlatformClient:
    """Watches the store over a pool of connections.

    Parameters
    ----------
    settings
        The ``[platform]`` section.
    pool
        The connections to the store.
    """

    def __init__(
        self, settings: PlatformSettings, pool: httpcore.AsyncConnectionPool
    ) -> None:
        self.settings = settings
        self.pool = pool
        calls = StoreCalls(self._call)
        self._records = _WatchedPrefix(calls, RECORDS_KEY)
        self._instances = _WatchedPrefix(calls, INSTANCES_PREFIX)

    async def watch_records(self, wait_s: float) -> bytes | None:
        """Return the set of records if it was published again, else None.

        Raises
        ------
        PeerError
            If the store does not answer, or not as expected.
        """
        if not await self._records.update(wait_s):
            return None
        return self._records.values.get(RECORDS_KEY) or None  # unreadable: refused

    async def watch_instances(self, wait_s: float) -> InstanceList | None:
        """Return the list of instances if it has changed, else None.

        Raises
        ------
        PeerError
            If the store does not answer, or not as expected.
        """
        if not await self._instances.update(wait_s):
            return None
        listed = [
            instance
            for key, value in self._instances.values.items()
            if (instance := _instance_or_none(key, value)) is not None
        ]
        return InstanceList(self._instances.position, listed)

    async def _call(self, target: str, wait_s: float) -> StoreAnswer:
        url = f"http://{self.settings.address}{target}"
        limit_s = wait_s + ANSWER_MARGIN_S
        timeouts = {"connect": ANSWER_MARGIN_S, "read": limit_s, "pool": limit_s}
        try:
            response, content = await request_bounded(
                self.pool,
                "GET",
                url,
                limits=ReplyLimits(MAX_ANSWER_BYTES, limit_s + ANSWER_MARGIN_S),
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, repr(error)) from error
        return StoreAnswer.from_response(response.status, response.headers, content)
