"""Tests of time while the machine is suspended."""

import time

import pytest
import trio

from buckthornwall.utils import SuspensionClock
from buckthornwall.utils.suspension import suspended_s


class Machine:
    """The suspensions of a machine, which its steady clock leaves out."""

    def __init__(self):
        self.suspended_s = 100.0

    def read_suspended_s(self):
        return self.suspended_s


@pytest.fixture
def machine():
    return Machine()


@pytest.fixture
def clock(machine):
    return SuspensionClock(read_suspended_s=machine.read_suspended_s)


def test_deadlines_pass_while_the_machine_is_suspended(machine, clock):
    """A request of before was sent on with all the time that its caller had had."""

    async def wait():
        with trio.move_on_after(60.0) as scope:
            machine.suspended_s += 61.0
            while True:
                await trio.sleep(0.02)
        return scope.cancelled_caught

    started = time.monotonic()
    assert trio.run(wait, clock=clock)
    assert time.monotonic() - started < 5.0


def test_a_suspension_is_told_once(machine, clock):
    reported_s = []
    clock.on_resume = reported_s.append

    async def wait():
        machine.suspended_s += 3.0
        await trio.sleep(0.1)
        await trio.sleep(0.1)

    trio.run(wait, clock=clock)
    assert reported_s == [pytest.approx(3.0)]


def test_the_clock_never_goes_back(machine, clock):
    before = clock.current_time()
    machine.suspended_s -= 0.1
    time.sleep(0.06)
    assert clock.current_time() >= before


def test_the_machines_own_suspensions_are_read():
    assert suspended_s() > -1.0
