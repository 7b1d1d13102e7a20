"""Instances that merge the store's answers and each other's views.

A reader of the store that had deferred a removal reported the position of the removal,
while its view still held the upstream. Members that took the view kept it for good.
"""

import itertools
import random

import msgspec
import pytest

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.conftest import ManualClock
from buckthornwall.discovery import DiscoveryAgent, DiscoverySettings, HistoryLost
from buckthornwall.peers import PeerView
from buckthornwall.peers.messages import decode, encode
from buckthornwall.platform.calls import Changes, StoredValue
from buckthornwall.platform.published import decode_published
from buckthornwall.platform.store import to_store_update
from buckthornwall.pools import PoolTable
from buckthornwall.router.peer_views import make_view, to_update
from buckthornwall.routing import RoutingTable
from buckthornwall.utils import StorePosition

SETTLE_S = DiscoverySettings().settle_ms / 1000
ZONE = "z"
MAX_EXCHANGES = 20


def registration(version=""):
    fields = {"service": "p", "address": "10.0.0.1:80", "zone": ZONE}
    return msgspec.json.encode(fields | {"version": version})


def config(number):
    services = [{"name": "p", "health_path": "/h", "max_connections": 10}]
    return msgspec.json.encode({"version": number, "routes": [], "services": services})


class Store:
    """The platform's store: its items, and the changes of its history."""

    def __init__(self):
        self.era, self.revision, self.history_since = 1, 1, 0
        self.items, self.changes = {}, []

    def write(self, key, value):
        """Write an item, or remove it if `value` is None."""
        self.revision += 1
        change = StoredValue(key, self.revision, value)
        self.changes.append(change)
        self.items.pop(key, None)
        if value is not None:
            self.items[key] = change

    def forget_history(self):
        self.history_since = self.revision + 1

    def return_from(self, copy):
        """Return from an older copy, in the next era."""
        self.revision, items = copy
        self.items = dict(items)
        self.era, self.changes, self.history_since = self.era + 1, [], 0

    def copy(self):
        return self.revision, dict(self.items)

    def upstreams(self):
        return {key[8:] for key in self.items if key.startswith("servers/")}

    def read_all(self):
        position = StorePosition(self.era, self.revision)
        changes = Changes(position, list(self.items.values()))
        return to_store_update(changes, is_snapshot=True)

    def watch(self, after):
        if after.era != self.era or after.revision < self.history_since:
            raise HistoryLost
        changes = [each for each in self.changes if each.revision > after.revision]
        position = StorePosition(self.era, self.revision)
        return to_store_update(Changes(position, changes), is_snapshot=False)


class Instance:
    """What one instance has in force."""

    def __init__(self, clock, store):
        self.clock, self.store = clock, store
        self.dropped = {}
        self.agent = DiscoveryAgent(
            DiscoverySettings(),
            None,
            decode_published,
            RoutingTable(),
            PoolTable(clock, regions={ZONE: "r"}),
            clock,
        )

    @property
    def upstreams(self):
        return set(self.agent.pools.views)

    @property
    def registrations(self):
        return self.agent.state.positions.registrations

    def record_dropped(self, before):
        """Check that no registration returns that has been dropped."""
        for name in before.keys() - self.registrations.keys():
            self.dropped[name] = before[name]
        for name in self.registrations.keys() - before.keys():
            dropped = self.dropped.get(name)
            assert dropped is None or self.registrations[name] > dropped, name

    @property
    def deferred(self):
        return set(self.agent.state.positions.deferred)

    @property
    def evacuated(self):
        return set(self.agent.pools.evacuations.zones())

    @property
    def key(self):
        change = self.agent.change_position
        removal = self.agent.state.positions.removal_revision
        return change.era, self.agent.table.number, change.revision, removal

    def read(self, is_complete=False):
        """Let the store answer, completely if it no longer holds the changes."""
        try:
            if is_complete or not self.agent.position.revision:
                raise HistoryLost
            update = self.store.watch(self.agent.position)
        except HistoryLost:
            update = self.store.read_all()
        self.agent.record_answer()
        self.agent.adopt(update)
        self.agent.state.remove_deferred()

    def lose_store(self):
        """Notice that the store has not answered for long."""
        self.agent.answered_at = self.clock.now() - 1.0
        self.agent.record_failure(PeerError(ResultCode.PLATFORM_UNREACHABLE, "cut"))

    def follow(self, peer):
        """Take the view of a peer that has a newer state; return whether it has."""
        if not peer.agent.has_adopted or peer.key <= self.key:
            return False
        view = decode(encode(make_view(peer.agent, self.clock.now())), PeerView)
        self.agent.adopt(to_update(view, "peer"))
        return True


@pytest.fixture
def store():
    store = Store()
    store.write("op/config", config(1))
    for name in "abc":
        store.write(f"servers/{name}", registration())
    return store


@pytest.fixture
def instances(clock, store):
    """Return a reader and two members that hold what the store holds."""
    made = [Instance(clock, store) for _ in range(3)]
    made[0].read()
    for member in made[1:]:
        member.follow(made[0])
    return made


def defer_removal(reader, clock, name, *added):
    """Let an instance return to the store, which has removed an upstream meanwhile."""
    reader.lose_store()
    reader.store.write(f"servers/{name}", None)
    for each in added:
        reader.store.write(f"servers/{each}", registration())
    reader.read()
    assert name in reader.upstreams


def test_member_kept_an_upstream_whose_removal_its_reader_had_deferred(
    instances, clock
):
    reader, member, _ = instances
    defer_removal(reader, clock, "a", "d")
    assert member.follow(reader)
    assert member.upstreams == {"a", "b", "c", "d"}
    assert not member.follow(reader)
    clock.time += SETTLE_S + 0.1
    reader.agent.state.remove_deferred()
    assert member.follow(reader)
    assert member.upstreams == reader.upstreams == {"b", "c", "d"}
    assert not member.follow(reader)


def test_view_with_a_deferred_removal_brought_an_upstream_back(instances, clock):
    """The member has the removal from another reader, which was in touch."""
    returned, member, in_touch = instances
    defer_removal(returned, clock, "a")
    in_touch.read()
    member.follow(in_touch)
    assert member.upstreams == {"b", "c"}
    returned.store.write("servers/d", registration())
    returned.read()
    assert member.follow(returned)
    assert member.upstreams == {"b", "c", "d"}
    clock.time += 0.6
    assert returned.follow(member)
    assert returned.upstreams == {"b", "c", "d"}


def test_member_that_reads_in_place_of_its_reader_missed_a_deferred_removal(
    instances, clock
):
    """The reader ends while it defers the removal."""
    reader, member, _ = instances
    defer_removal(reader, clock, "a", "d")
    member.follow(reader)
    member.read()
    assert member.upstreams == {"b", "c", "d"}


def test_registration_that_is_newer_than_its_removal_was_lost(instances, clock):
    """It was written again before the deferral ended, and a member knows it."""
    reader, member, other = instances
    defer_removal(reader, clock, "a")
    reader.store.write("servers/a", registration())
    other.read()
    assert member.follow(other)
    reader.follow(other)
    clock.time += SETTLE_S + 0.1
    reader.agent.state.remove_deferred()
    assert "a" in reader.upstreams
    member.follow(reader)
    assert "a" in member.upstreams


def test_upstreams_are_merged_with_views_of_an_earlier_build(instances, clock):
    """Its views give no positions of entries: these count as of its newest change."""
    reader, member, _ = instances
    reader.store.write("servers/a", None)
    reader.store.write("servers/d", registration())
    reader.read()
    view = make_view(reader.agent, clock.now())
    fields = msgspec.to_builtins(view, builtin_types=(bytes,))[:-5]
    older = msgspec.convert(fields, PeerView)
    member.agent.adopt(to_update(older, "peer"))
    assert member.upstreams == {"b", "c", "d"}


def check_equal_positions(instances):
    """Check that instances with the same position hold the same.

    Upstreams whose removals a reader has deferred differ: members that follow it hold
    them too, until the deferral ends, and members of others may have dropped them.
    """
    decided = [each for each in instances if each.agent.has_adopted]
    for first, second in itertools.combinations(decided, 2):
        if first.key == second.key:
            deferred = first.deferred | second.deferred
            assert first.upstreams - deferred == second.upstreams - deferred
            assert first.evacuated == second.evacuated


class History:
    """Drawn changes, reads, cuts and views.

    Attributes
    ----------
    gone : set
        Upstreams that left, and were not registered again.
    """

    def __init__(self, seed, with_eras):
        self.rng = random.Random(seed)
        self.clock, self.store = ManualClock(), Store()
        self.store.write("op/config", config(1))
        self.number = 1
        self.instances = [Instance(self.clock, self.store) for _ in range(4)]
        self.steps = [
            self.register,
            self.leave,
            self.evacuate,
            self.publish,
            self.store.forget_history,
            self.read,
            self.read,
            self.read_completely,
            self.lose_store,
            self.tell_uptime,
            self.restart,
            self.wait,
            *([self.follow] * 6),
        ]
        if with_eras:
            self.steps.append(self.return_from_copy)
        self.copied = self.store.copy()

    def any(self):
        return self.rng.choice(self.instances)

    def register(self):
        name = self.rng.choice("abcdefgh")
        self.store.write(f"servers/{name}", registration(self.rng.choice(["1", "2"])))

    def leave(self):
        upstreams = sorted(self.store.upstreams())
        if upstreams:
            self.store.write(f"servers/{self.rng.choice(upstreams)}", None)

    def evacuate(self):
        key = f"op/evacuate/{ZONE}"
        self.store.write(key, None if key in self.store.items else b"{}")

    def publish(self):
        self.number += 1
        self.store.write("op/config", config(self.number))

    def read(self):
        self.any().read()

    def read_completely(self):
        self.any().read(is_complete=True)

    def lose_store(self):
        self.any().lose_store()

    def tell_uptime(self):
        self.any().agent.receive_store_uptime(10.0)

    def restart(self):
        place = self.rng.randrange(len(self.instances))
        self.instances[place] = Instance(self.clock, self.store)

    def wait(self):
        self.clock.time += self.rng.choice([0.1, 0.6, SETTLE_S])
        for instance in self.instances:
            instance.agent.state.remove_deferred()

    def follow(self):
        self.any().follow(self.any())

    def return_from_copy(self):
        if self.rng.random() < 0.2:
            self.copied = self.store.copy()
        elif self.rng.random() < 0.1:
            self.store.return_from(self.copied)
            self.number += 1
            self.store.write("op/config", config(self.number))

    def step(self):
        """Take a step; check that no removal is undone and positions are right."""
        before = [(each, dict(each.registrations)) for each in self.instances]
        self.rng.choice(self.steps)()
        for instance, held in before:
            instance.record_dropped(held)
        check_equal_positions(self.instances)

    def settle(self):
        """Let one instance read, and the others follow until nobody is behind."""
        reader = self.any()
        for _ in range(3):
            reader.read()
            self.clock.time += SETTLE_S + 0.1
            for instance in self.instances:
                instance.agent.state.remove_deferred()
            self.exchange_views()

    def exchange_views(self):
        """Let each instance follow the newest until none is behind."""
        for _ in range(MAX_EXCHANGES):
            newest = max(self.instances, key=lambda each: each.key)
            behind = [each for each in self.instances if each.follow(newest)]
            if all(each.agent.state.deferral.is_pending for each in behind):
                return
        pytest.fail("instances fetch views for ever")


@pytest.mark.parametrize("seed", range(150))
def test_instances_with_the_same_position_held_other_upstreams(seed):
    """Reads, deferrals and views in any order; at last all hold the store's records."""
    history = History(seed, with_eras=False)
    for _ in range(300):
        history.step()
    history.settle()
    for instance in history.instances:
        assert instance.upstreams == history.store.upstreams()
        is_evacuated = f"op/evacuate/{ZONE}" in history.store.items
        assert instance.evacuated == ({ZONE} if is_evacuated else set())
        assert instance.agent.table.number == history.number


@pytest.mark.parametrize("seed", range(60))
def test_instances_differed_after_returns_of_the_store_from_a_copy(seed):
    """What the copy lacks is written again at last, and what it had is removed."""
    history = History(1000 + seed, with_eras=True)
    for _ in range(300):
        history.rng.choice(history.steps)()
    for name in sorted(history.store.upstreams()):
        history.store.write(f"servers/{name}", None)
        history.store.write(f"servers/{name}", registration("3"))
    history.publish()
    history.settle()
    for instance in history.instances:
        assert instance.upstreams == history.store.upstreams()


def test_removed_upstream_does_not_come_back_by_a_late_view(instances, clock):
    reader, member, _ = instances
    late = make_view(reader.agent, clock.now())
    reader.store.write("servers/a", None)
    reader.read()
    assert member.follow(reader)
    member.agent.adopt(to_update(replace_number(late), "peer"))
    assert member.upstreams == {"b", "c"}


def replace_number(view):
    """Return a view with a newer configuration."""
    return msgspec.structs.replace(view, published=config(9))


def test_newly_registered_upstream_is_not_lost_by_a_late_view(instances, clock):
    reader, member, _ = instances
    late = make_view(reader.agent, clock.now())
    reader.store.write("servers/d", registration())
    reader.read()
    assert member.follow(reader)
    member.agent.adopt(to_update(replace_number(late), "peer"))
    assert member.upstreams == {"a", "b", "c", "d"}
