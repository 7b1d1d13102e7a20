"""Guards against changes that a store restored from a copy hides or undoes."""

from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest
import trio
from buckthornwall.codes import PeerError, Refusal, ResultCode
from buckthornwall.discovery import DiscoveryAgent, DiscoverySettings
from buckthornwall.platform import StoreClient, StoreSettings, decode_published
from buckthornwall.platform.calls import StoreAnswer
from buckthornwall.pools import PoolTable
from buckthornwall.routing import PoolId, RoutedRequest, RoutingTable
from buckthornwall.utils import TrioClock

from buckthornwall_standins.users_platform import Deployment, Store
from buckthornwall_standins.users_platform.deployment import API_KEY, DRAFTS, HOST

# The users allow 2 s for a configuration or a leaving, and more for an evacuation.
BOUND_S = 2.0
# Longer than a registration without heartbeats lasts, and than any deferral.
SETTLED_S = 8.0
ZONE = "zone-1"


def request_with(key: str) -> RoutedRequest:
    """Return a request of the team that holds an API key."""
    path = "/draft/x"
    request = RoutedRequest("r", b"POST", path.encode(), HOST, path, [], b"", 0.0)
    request.key = key
    return request


class Reader:
    """A store, the operator and upstreams that write to it, and one reader of it."""

    def __init__(self) -> None:
        self.store = Store()
        self.deployment = Deployment(self.store)
        self.clock = TrioClock()
        self.is_cut_off = False
        client = StoreClient(StoreSettings(address="10.0.0.1:80"))
        client.store.transport = self._call
        self.table = RoutingTable()
        self.pools = PoolTable(self.clock)
        self.agent = DiscoveryAgent(
            DiscoverySettings(),
            client,
            decode_published,
            self.table,
            self.pools,
            self.clock,
        )

    async def _call(self, target: str, wait_s: float) -> StoreAnswer:
        await trio.sleep(0.004)
        if self.is_cut_off:
            await trio.sleep(0.1)
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, "cut off")
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/kv-range":
            status, body = 200, self.store.range(query)
        else:
            status, body = await self.store.watch(query)
        return StoreAnswer(status, msgspec.json.encode(body), self.store.era)

    def register(self, name: str, state: str = "ready") -> None:
        """Write the registration of an upstream."""
        self.deployment.register(name, DRAFTS, "10.9.0.1:1", state, ZONE)

    def remove(self, name: str) -> None:
        """Remove the registration of an upstream."""
        self.store.remove(f"servers/{name}")

    def usable(self) -> set[str]:
        """Return the upstreams that get requests."""
        return {view.id for view in self.pools.usable(PoolId(DRAFTS), frozenset())}

    async def max_usable(self, seconds: float) -> set[str]:
        """Return the upstreams that get requests at any time from now on."""
        found = set()
        for _ in range(int(seconds / 0.05)):
            await trio.sleep(0.05)
            found |= self.usable()
        return found


@pytest.fixture
async def reader(autojump_clock, nursery):
    reader = Reader()
    reader.deployment.publish()
    for name in ("a", "b", "c"):
        reader.register(name)
    nursery.start_soon(reader.agent.run)
    await trio.sleep(BOUND_S)
    assert reader.usable() == {"a", "b", "c"}
    return reader


async def test_leaving_written_below_the_former_revision_is_adopted(reader):
    """A watch that goes on from the former revision never returns it."""
    copy = reader.store.make_copy()
    for _ in range(3):
        reader.deployment.publish()
    await trio.sleep(BOUND_S)
    reader.store.restore(copy)
    await trio.sleep(1.0)
    reader.register("a", "draining")
    await trio.sleep(BOUND_S)
    assert reader.usable() == {"b", "c"}


@pytest.mark.parametrize("writes", [1, 3, 9])
async def test_changes_are_adopted_though_the_revision_has_passed_the_former_one(
    reader, writes
):
    copy = reader.store.make_copy()
    reader.deployment.publish()
    reader.deployment.publish()
    await trio.sleep(BOUND_S)
    reader.is_cut_off = True
    reader.store.restore(copy)
    reader.register("a", "draining")
    for _ in range(writes):
        number = reader.deployment.publish()
    await trio.sleep(0.3)
    reader.is_cut_off = False
    await trio.sleep(BOUND_S)
    assert reader.usable() == {"b", "c"}
    assert reader.table.number == number


async def test_leaving_that_the_copy_lacks_still_holds(reader):
    copy = reader.store.make_copy()
    reader.register("a", "draining")
    await trio.sleep(BOUND_S)
    reader.store.restore(copy)
    assert await reader.max_usable(SETTLED_S) == {"b", "c"}


async def test_upstream_that_left_before_the_return_gets_no_requests(reader):
    """Its registration in the copy lasts until it has missed its heartbeats."""
    copy = reader.store.make_copy()
    reader.remove("a")
    await trio.sleep(BOUND_S)
    reader.store.restore(copy)
    assert await reader.max_usable(3.6) == {"b", "c"}
    reader.remove("a")
    assert await reader.max_usable(SETTLED_S) == {"b", "c"}


async def test_evacuation_that_the_copy_lacks_holds_until_it_is_written_again(reader):
    copy = reader.store.make_copy()
    reader.deployment.evacuate(ZONE)
    await trio.sleep(BOUND_S)
    reader.store.restore(copy)
    assert await reader.max_usable(1.0) == set()
    reader.deployment.evacuate(ZONE)
    assert await reader.max_usable(SETTLED_S) == set()
    reader.deployment.reopen(ZONE)
    await trio.sleep(BOUND_S)
    assert reader.usable() == {"a", "b", "c"}


async def test_zone_is_reopened_below_the_former_revision(reader):
    copy = reader.store.make_copy()
    for _ in range(9):
        reader.deployment.publish()
    reader.deployment.evacuate(ZONE)
    await trio.sleep(BOUND_S)
    reader.store.restore(copy)
    reader.deployment.evacuate(ZONE)
    await trio.sleep(1.0)
    reader.deployment.reopen(ZONE)
    await trio.sleep(BOUND_S)
    assert reader.usable() == {"a", "b", "c"}


async def test_upstream_that_the_copy_lacks_stays_if_it_registers_again(reader):
    copy = reader.store.make_copy()
    reader.register("d")
    await trio.sleep(BOUND_S)
    reader.store.restore(copy)
    await trio.sleep(1.0)
    assert "d" in reader.usable()
    reader.register("d")
    await trio.sleep(SETTLED_S)
    assert "d" in reader.usable()


async def test_upstream_that_the_copy_lacks_is_dropped_if_it_stays_away(reader):
    copy = reader.store.make_copy()
    reader.register("d")
    await trio.sleep(BOUND_S)
    reader.store.restore(copy)
    await trio.sleep(SETTLED_S)
    assert "d" not in reader.usable()


async def test_configuration_of_the_copy_is_not_adopted(reader):
    copy = reader.store.make_copy()
    number = reader.deployment.publish()
    await trio.sleep(BOUND_S)
    reader.store.restore(copy)
    await trio.sleep(BOUND_S)
    assert reader.table.number == number


async def test_key_revoked_before_the_return_is_not_accepted_again(reader):
    copy = reader.store.make_copy()
    reader.deployment.keys = ["another-key"]
    reader.deployment.publish()
    await trio.sleep(BOUND_S)
    reader.store.restore(copy)
    for _ in range(int(SETTLED_S / 0.05)):
        await trio.sleep(0.05)
        with pytest.raises(Refusal):
            reader.table.resolve(request_with(API_KEY))
        assert reader.table.resolve(request_with("another-key")).team == "one"


async def test_store_that_returns_twice_in_a_row_is_followed(reader):
    first = reader.store.make_copy()
    for _ in range(3):
        reader.deployment.publish()
    second = reader.store.make_copy()
    reader.register("a", "draining")
    await trio.sleep(BOUND_S)
    reader.store.restore(second)
    await trio.sleep(0.5)
    reader.store.restore(first)
    assert await reader.max_usable(1.0) == {"b", "c"}
    reader.register("b", "draining")
    await trio.sleep(BOUND_S)
    assert reader.usable() == {"c"}
