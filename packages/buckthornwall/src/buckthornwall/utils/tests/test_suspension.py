"""Tests of the clock across suspensions of the machine."""

import time

import pytest
import trio

from buckthornwall.utils import SuspensionClock
from buckthornwall.utils.suspension import suspended_s


class Machine:
    """A machine whose total time of suspensions a test sets."""

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
    """Otherwise a request from before is forwarded with its full client timeout."""

    async def wait():
        with trio.move_on_after(60.0) as scope:
            machine.suspended_s += 61.0
            while True:
                await trio.sleep(0.02)
        return scope.cancelled_caught

    started = time.monotonic()
    assert trio.run(wait, clock=clock)
    assert time.monotonic() - started < 5.0


def test_on_resume_is_called_once_per_suspension(machine, clock):
    reported_s = []
    clock.on_resume = reported_s.append

    async def wait():
        machine.suspended_s += 3.0
        await trio.sleep(0.1)
        await trio.sleep(0.1)

    trio.run(wait, clock=clock)
    assert reported_s == [pytest.approx(3.0)]


def test_clock_is_monotonic_if_total_suspension_shrinks(machine, clock):
    before = clock.current_time()
    machine.suspended_s -= 0.1
    time.sleep(0.06)
    assert clock.current_time() >= before


def test_suspended_time_of_this_machine_can_be_read():
    assert suspended_s() > -1.0
