"""Answers of the store that arrive after a newer view of a peer was adopted."""

import pytest
import trio
import trio.testing

from buckthornwall.discovery import DiscoverySettings
from buckthornwall.pools import UpstreamState
from buckthornwall.utils import StorePosition

from .test_agent import agent, entry, in_era, update, usable

__all__ = ["agent"]


class HeldUpSource:
    """A source whose answers are of the time of the call, and arrive much later."""

    def __init__(self, agent) -> None:
        self.agent = agent
        self.answers = []
        self.asked = []

    async def read_all(self):
        return await self.watch(None, 0.0)

    async def watch(self, after, wait_s):
        self.asked.append(after)
        if not self.answers:
            await trio.sleep_forever()
        answer, released = self.answers.pop(0)
        with trio.CancelScope(shield=True):  # the answer has arrived when it is read
            await released.wait()
        return answer


@pytest.fixture
async def held_up(agent, nursery):
    """Return an agent whose first read was answered and whose watch is held up."""
    source = agent.source = HeldUpSource(agent)
    agent.settings = DiscoverySettings(gap_ms=0.0)
    agent.release = trio.Event()
    ready = trio.Event()
    ready.set()

    async def start(*answers):
        source.answers = [(update(1, "a", "b", is_snapshot=True), ready)]
        source.answers += [(answer, agent.release) for answer in answers]
        nursery.start_soon(agent.run)
        await trio.testing.wait_all_tasks_blocked()
        return agent

    return start


def view_of(revision, *entries):
    """Return a peer's view."""
    view = in_era(0, revision, *entries)
    view.is_relayed = True
    return view


async def test_late_answer_of_the_store_undid_a_drain_known_from_a_peer(held_up):
    """The answer was held up while a view with newer registrations was adopted."""
    agent = await held_up(update(2, "b"))
    agent.adopt(view_of(3, entry("a"), entry("b", UpstreamState.LEAVING)))
    agent.release.set()
    await trio.testing.wait_all_tasks_blocked()
    assert usable(agent) == {"a"}
    assert agent.source.asked[-1] == StorePosition(0, 3)


async def test_late_answer_of_the_store_restored_an_upstream_that_is_gone(held_up):
    agent = await held_up(update(2, "b"))
    agent.adopt(view_of(3, entry("a")))
    agent.release.set()
    await trio.testing.wait_all_tasks_blocked()
    assert set(agent.pools.views) == {"a"}


async def test_late_answer_of_the_store_removed_an_upstream_that_is_back(held_up):
    agent = await held_up(update(2, removed=["b"]))
    agent.adopt(view_of(3, entry("a"), entry("b")))
    agent.release.set()
    await trio.testing.wait_all_tasks_blocked()
    assert set(agent.pools.views) == {"a", "b"}


async def test_late_answer_that_is_newer_than_the_view_is_asked_for_again(held_up):
    """It holds changes of before the view too, and cannot be applied as it is."""
    agent = await held_up(update(4, "b", "c"))
    agent.adopt(view_of(3, entry("a"), entry("b", UpstreamState.LEAVING)))
    agent.release.set()
    await trio.testing.wait_all_tasks_blocked()
    assert usable(agent) == {"a"}
    assert agent.source.asked[-1] == StorePosition(0, 3)


async def test_view_that_is_not_newer_does_not_end_a_watch(held_up):
    agent = await held_up(update(2, "b", "c"))
    agent.adopt(view_of(1, entry("a"), entry("b")))
    agent.release.set()
    await trio.testing.wait_all_tasks_blocked()
    assert usable(agent) == {"a", "b", "c"}
