"""Tests of the platform's list of instances, and of lists from an older copy."""

import pytest

from buckthornwall.membership import MembershipSettings, MemberTable
from buckthornwall.node.instance_list import InstanceListAgent
from buckthornwall.platform import InstanceKind, InstanceList, ListedInstance
from buckthornwall.utils import NodeId, StorePosition, UpstreamId

ENGINE = UpstreamId("e1")


def listed(era, revision, leaving=False):
    engine = ListedInstance(ENGINE, InstanceKind.ENGINE, "h:1", leaving=leaving)
    return InstanceList(StorePosition(era, revision), [engine])


@pytest.fixture
def agent(clock):
    members = MemberTable(NodeId("a"), MembershipSettings())
    agent = InstanceListAgent(None, members, clock, lambda: None)
    agent.apply(listed(1, 30, leaving=True))
    return agent


def test_list_of_a_later_era_is_newer_although_its_revision_is_lower(agent):
    assert agent.is_newer(listed(2, 12))
    agent.apply(listed(2, 12))
    assert not agent.is_newer(listed(1, 31))
    assert agent.is_newer(listed(2, 13))


def test_list_without_an_era_counts_as_of_the_known_one(agent):
    assert agent.is_newer(listed(0, 31))
    assert not agent.is_newer(listed(0, 30))


def test_first_list_of_an_era_does_not_return_a_leaving_engine(agent, clock):
    agent.apply(listed(2, 12))
    assert agent.members.is_leaving(ENGINE, clock.now())
    agent.apply(listed(2, 13))
    assert not agent.members.is_leaving(ENGINE, clock.now())
