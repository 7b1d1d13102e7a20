"""The platform's wire format: no other module knows it.

``GET /v1/config/buckthornwall?after=N&wait=S`` answers with the published set
of records if its number is over N, or with 304 after S seconds.
``GET /v1/instances?after=N&wait=S`` does the same for the list of instances.
"""

from enum import Enum

import httpcore
import msgspec

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.utils import ConfigItem, ConfigNamespace, ZoneId

__all__ = [
    "InstanceKind",
    "InstanceList",
    "ListedInstance",
    "PlatformClient",
    "PlatformSettings",
]

NOT_MODIFIED = 304
ANSWER_MARGIN_S = 3.0
VALUE_LIMIT_BYTES = 2**20


class PlatformSettings(ConfigNamespace):
    """Settings of the platform's client."""

    section = "platform"

    address = ConfigItem("", "The configuration service, as IP:port.", required=True)
    watch_s = ConfigItem(
        30.0, "Seconds that one watch waits for news.", minimum=0.1, maximum=300
    )
    retry_limit_s = ConfigItem(
        2.0, "Longest pause in seconds after a failed read.", minimum=0.1
    )


class InstanceKind(Enum):
    """What a listed instance is."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class ListedInstance(msgspec.Struct):
    """One line of the platform's list; `address` is where peers dial it."""

    id: str
    kind: InstanceKind
    address: str
    zone: ZoneId = ZoneId("")
    leaving: bool = False


class InstanceList(msgspec.Struct):
    """The platform's list of live and leaving instances, as old as it may be."""

    number: int
    instances: list[ListedInstance]


class PlatformClient:
    """Watches over HTTP.

    Parameters
    ----------
    settings
        The ``[platform]`` section.
    pool
        Connections to use.
    """

    def __init__(
        self, settings: PlatformSettings, pool: httpcore.AsyncConnectionPool
    ) -> None:
        self.settings = settings
        self.pool = pool

    async def watch_records(self, after: int, wait_s: float) -> bytes | None:
        """Return the published set if its number is over `after`, else None.

        Raises
        ------
        PeerError
            If the service does not answer as it should.
        """
        return await self._watch("/v1/config/buckthornwall", after, wait_s)

    async def watch_instances(self, after: int, wait_s: float) -> InstanceList | None:
        """Return the list of instances if its number is over `after`, else None.

        Raises
        ------
        PeerError
            If the service does not answer as it should.
        """
        body = await self._watch("/v1/instances", after, wait_s)
        if body is None:
            return None
        try:
            return msgspec.json.decode(body, type=InstanceList)
        except msgspec.DecodeError as error:
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, str(error)) from error

    async def _watch(self, path: str, after: int, wait_s: float) -> bytes | None:
        url = f"http://{self.settings.address}{path}?after={after}&wait={wait_s:.1f}"
        limit_s = wait_s + ANSWER_MARGIN_S
        timeouts = {"connect": ANSWER_MARGIN_S, "read": limit_s, "pool": limit_s}
        try:
            response = await self.pool.request(
                "GET", url, extensions={"timeout": timeouts}
            )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, repr(error)) from error
        except httpcore.ProtocolError as error:
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, repr(error)) from error
        if response.status == NOT_MODIFIED:
            return None
        if response.status != 200:
            detail = f"status {response.status}"
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, detail)
        if len(response.content) > VALUE_LIMIT_BYTES:
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, "over a megabyte")
        return response.content
