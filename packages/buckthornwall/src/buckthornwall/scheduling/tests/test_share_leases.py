"""Tests of the leases of an instance's shares."""

import pytest

from buckthornwall.links import NodeState, SlotReport
from buckthornwall.membership import MembershipSettings, MemberTable
from buckthornwall.scheduling.settings import SchedulingSettings
from buckthornwall.scheduling.share_leases import ShareLeaseManager

LEASE_S = 2.25


@pytest.fixture
def members():
    return MemberTable("a", MembershipSettings())


@pytest.fixture
def sent():
    return []


@pytest.fixture
def share_leases(clock, members, sent, view):
    def send(node, message):
        sent.append((node, message))
        return True

    return ShareLeaseManager(
        "a",
        clock,
        SchedulingSettings(),
        members,
        send,
        lambda: list(view.models.values()),
        lambda pool: SlotReport(pool, False, 0, clock.now(), []),
        lambda pool: None,
    )


def record_heartbeat(members, clock, node, state=NodeState.READY):
    members.record_heartbeat(node, 1, state, "z", clock.now())


def test_share_is_leased_to_scheduler_and_lease_is_renewed(
    share_leases, members, clock
):
    assert share_leases.holder("m") is None
    record_heartbeat(members, clock, "b")
    share_leases.renew()
    assert share_leases.holder("m") == "b"
    clock.time += 1
    share_leases.renew()
    assert share_leases.leases["m"].renewed_at == clock.now()


def test_share_is_not_leased_again_before_lease_has_ended(
    share_leases, members, clock, sent
):
    record_heartbeat(members, clock, "b")
    share_leases.renew()
    record_heartbeat(members, clock, "b", NodeState.LEAVING)
    record_heartbeat(members, clock, "c")
    share_leases.renew()
    assert share_leases.holder("m") is None
    assert sent[-1] == ("b", SlotReport("m", False, 1, clock.now(), []))
    share_leases.receive_lease_ended("b", "m", number=1)
    assert share_leases.holder("m") == "c"


def test_lease_of_unresponsive_scheduler_expires(share_leases, members, clock):
    record_heartbeat(members, clock, "b")
    share_leases.renew()
    members.suspect("b", clock.now())
    record_heartbeat(members, clock, "c")
    clock.time += LEASE_S - 0.01
    share_leases.renew()
    assert share_leases.holder("m") is None
    clock.time += 0.02
    share_leases.renew()
    assert share_leases.holder("m") == "c"


def test_confirmed_end_of_old_lease_does_not_end_new_lease(
    share_leases, members, clock
):
    record_heartbeat(members, clock, "b")
    share_leases.renew()
    record_heartbeat(members, clock, "b", NodeState.LEAVING)
    record_heartbeat(members, clock, "c")
    share_leases.renew()
    record_heartbeat(members, clock, "b")
    members.suspect("c", clock.now())
    share_leases.renew()
    renewed = share_leases.leases["m"]
    share_leases.receive_lease_ended("b", "m", number=1)
    assert share_leases.leases["m"] is renewed
