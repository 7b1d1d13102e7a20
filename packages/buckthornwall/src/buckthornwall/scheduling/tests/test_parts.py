"""Tests of the leases of an entry's part."""

import pytest

from buckthornwall.links import Holdings, NodeState
from buckthornwall.membership import MembershipSettings, MemberTable
from buckthornwall.scheduling.parts import PartLeases
from buckthornwall.scheduling.settings import SchedulingSettings

LEASE_S = 2.25


@pytest.fixture
def members():
    return MemberTable("a", MembershipSettings())


@pytest.fixture
def sent():
    return []


@pytest.fixture
def parts(clock, members, sent, view):
    def send(node, message):
        sent.append((node, message))
        return True

    return PartLeases(
        "a",
        clock,
        SchedulingSettings(),
        members,
        send,
        lambda: list(view.models.values()),
        lambda pool: Holdings(pool, False, 0, clock.now(), []),
        lambda pool: None,
    )


def hear(members, clock, node, state=NodeState.READY):
    members.heard(node, 1, state, "z", clock.now())


def test_a_part_is_left_to_the_scheduler_and_the_lease_renewed(parts, members, clock):
    assert parts.holder("m") is None
    hear(members, clock, "b")
    parts.renew()
    assert parts.holder("m") == "b"
    clock.time += 1
    parts.renew()
    assert parts.supports["m"].renewed_at == clock.now()


def test_a_part_moves_only_once_the_lease_has_ended(parts, members, clock, sent):
    hear(members, clock, "b")
    parts.renew()
    hear(members, clock, "b", NodeState.LEAVING)
    hear(members, clock, "c")
    parts.renew()
    assert parts.holder("m") is None
    assert sent[-1] == ("b", Holdings("m", False, 1, clock.now(), []))
    parts.ended("b", "m", lease=1)
    assert parts.holder("m") == "c"


def test_a_lease_whose_holder_is_silent_ends_by_time(parts, members, clock):
    hear(members, clock, "b")
    parts.renew()
    members.suspect("b", clock.now())
    hear(members, clock, "c")
    clock.time += LEASE_S - 0.01
    parts.renew()
    assert parts.holder("m") is None
    clock.time += 0.02
    parts.renew()
    assert parts.holder("m") == "c"


def test_the_end_of_an_old_lease_does_not_end_a_new_one(parts, members, clock):
    hear(members, clock, "b")
    parts.renew()
    hear(members, clock, "b", NodeState.LEAVING)
    hear(members, clock, "c")
    parts.renew()
    hear(members, clock, "b")
    members.suspect("c", clock.now())
    parts.renew()
    renewed = parts.supports["m"]
    parts.ended("b", "m", lease=1)
    assert parts.supports["m"] is renewed
