"""Tests of the entry instance: waiting for slots, late grants, releases."""

import pytest
import trio

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.links import (
    Enqueue,
    EnqueueAccepted,
    EnqueueRefused,
    Grant,
    Release,
    ReleaseKind,
    Withdraw,
)
from buckthornwall.membership import (
    FreezeDetector,
    MembershipSettings,
    MemberTable,
)
from buckthornwall.scheduling import EntryAgent, SchedulingSettings, SlotRequest
from buckthornwall.scheduling.share_leases import ShareLease
from buckthornwall.utils import TrioClock

SCHEDULER = "b"


@pytest.fixture
def sent():
    return []


@pytest.fixture
async def entry(store, sent, autojump_clock):
    clock = TrioClock()

    def send(node, message):
        sent.append((node, message))
        return True

    agent = EntryAgent(
        "a",
        clock,
        SchedulingSettings(),
        store,
        MemberTable("a", MembershipSettings()),
        FreezeDetector(clock, 1000.0),
        send,
    )
    agent.share_leases.leases["m"] = ShareLease(SCHEDULER, 1, clock.now())
    return agent


def slot_request(entry, class_id="urgent"):
    record = entry.store.view.classes[class_id]
    return SlotRequest("m", record, "one", 10, 0, entry.clock.now())


def of_kind(sent, kind):
    return [message for _, message in sent if isinstance(message, kind)]


def grant_for(enqueue, age_s=0.0, local=False):
    return Grant(enqueue.request, 77, "e1", 1, enqueue.sent_at, age_s, 1.0, local)


async def answer(entry, sent, make):
    """Answer the first request sent, with the message that `make` returns."""
    while not of_kind(sent, Enqueue):
        await trio.sleep(0.001)
    entry.handle(SCHEDULER, make(of_kind(sent, Enqueue)[0]))


async def test_granted_slot_is_reported_until_released(entry, sent, autojump_clock):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer, entry, sent, grant_for)
        slot = await entry.acquire(slot_request(entry))
    assert slot.engine == "e1"
    assert entry.slot_report("m").running[0].grant == 77
    slot.tokens = 5
    entry.release(slot, ReleaseKind.DONE)
    assert of_kind(sent, Release)[-1].tokens == 5
    assert entry.slot_report("m").running == []


async def test_refusal_is_raised_at_once(entry, sent, autojump_clock):
    def refuse(enqueue):
        return EnqueueRefused(enqueue.request, ResultCode.OVERLOADED.number, 4.0)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer, entry, sent, refuse)
        with pytest.raises(Refusal) as caught:
            await entry.acquire(slot_request(entry, "routine"))
    assert caught.value.code is ResultCode.OVERLOADED
    assert caught.value.retry_after_s == 4.0
    assert trio.current_time() < 0.1


async def test_late_grant_is_released_and_request_resent(entry, sent, autojump_clock):
    async def late_then_good():
        while not of_kind(sent, Enqueue):
            await trio.sleep(0.001)
        first = of_kind(sent, Enqueue)[0]
        entry.handle(SCHEDULER, EnqueueAccepted(first.request))
        await trio.sleep(1.5)
        entry.handle(SCHEDULER, grant_for(first))
        assert of_kind(sent, Release)[-1].kind is ReleaseKind.UNUSED
        await trio.sleep(0.3)
        entry.handle(SCHEDULER, grant_for(of_kind(sent, Enqueue)[-1]))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(late_then_good)
        slot = await entry.acquire(slot_request(entry, "routine"))
    assert slot.grant == 77
    assert entry.late_grants == 1


async def test_urgent_request_is_scheduled_locally_without_acknowledgement(
    entry, sent, autojump_clock
):
    async def decide():
        while not (here := [each for each in of_kind(sent, Enqueue) if each.local]):
            await trio.sleep(0.001)
        entry.handle("a", grant_for(here[0], local=True))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(decide)
        slot = await entry.acquire(slot_request(entry))
    assert slot.local
    assert trio.current_time() < 0.2
    assert (SCHEDULER, Withdraw(of_kind(sent, Enqueue)[0].request)) in sent


async def test_non_urgent_request_is_never_scheduled_locally(
    entry, sent, autojump_clock
):
    with pytest.raises(Refusal) as caught:
        await entry.acquire(slot_request(entry, "routine"))
    assert caught.value.code is ResultCode.NO_SCHEDULER
    assert trio.current_time() == pytest.approx(2.0, abs=0.01)
    assert not any(message.local for message in of_kind(sent, Enqueue))


async def test_slot_granted_as_client_disconnects_is_released(
    entry, sent, autojump_clock
):
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:

            async def grant_and_go():
                await trio.sleep(0.05)
                scope.cancel()
                entry.handle(SCHEDULER, grant_for(of_kind(sent, Enqueue)[0]))

            nursery.start_soon(grant_and_go)
            await entry.acquire(slot_request(entry))
    assert not entry.held
    assert of_kind(sent, Release)[-1].kind is ReleaseKind.UNUSED


async def test_request_is_withdrawn_when_client_disconnects(
    entry, sent, autojump_clock
):
    with trio.move_on_after(0.05):
        await entry.acquire(slot_request(entry))
    assert of_kind(sent, Withdraw)
    assert not entry.pending
