"""The fault matrix, and for each guarantee a defect that it must detect."""

import pytest
from buckthornwall.codes import Executed, ResultCode, UpstreamError
from buckthornwall.gateway.completions import CompletionHandler
from buckthornwall.idempotency import BeginResult, KeyLedger
from buckthornwall.links import NodeState
from buckthornwall.membership import MemberTable
from buckthornwall.node import Node
from buckthornwall.records import RecordStore
from buckthornwall.records.core import parse_records
from buckthornwall.records.store import Adoption
from buckthornwall.scheduling import PoolScheduler, RefusalDecision
from buckthornwall.upstreams.engine import EngineClient

from buckthornwall_standins.faults import (
    JOBS,
    Fault,
    Guarantee,
    Step,
    all_cells,
    render_grid,
    run_cell,
    run_cells,
)

pytestmark = pytest.mark.faults


def test_all_guarantees_hold_under_every_fault():
    cells = run_cells(all_cells(), JOBS)
    failed = {cell.name: cell.failed for cell in cells if cell.failed}
    assert not failed
    assert "## Points that failed\n\nnone" in render_grid(cells)


def test_same_seed_reproduces_cell():
    first = run_cell(Step.GRANTED, (Fault.KILL_SCHEDULER,))
    second = run_cell(Step.GRANTED, (Fault.KILL_SCHEDULER,))
    assert first == second


def refuse_urgent(monkeypatch):
    """Refuse urgent requests as overload."""
    original = PoolScheduler.enqueue

    def enqueue(self, node, message, now):
        decisions = original(self, node, message, now)
        ticket = self.queue.remove(message.request)
        if ticket is not None and self.queue.record(ticket.service_class).urgent:
            return [RefusalDecision(ticket, ResultCode.OVERLOADED, 1.0)]
        if ticket is not None:
            self.queue.push(ticket)
        return decisions

    monkeypatch.setattr(PoolScheduler, "enqueue", enqueue)


def starve_lowest_class(monkeypatch):
    """Never enqueue requests of the lowest class."""
    original = PoolScheduler.enqueue

    def enqueue(self, node, message, now):
        if message.service_class == "low":
            return []
        return original(self, node, message, now)

    monkeypatch.setattr(PoolScheduler, "enqueue", enqueue)


def restart_instead_of_resuming(monkeypatch):
    """Send the response from its first token after an interruption."""

    def engine_body(self, job):
        return {**job.body, "stream": True}

    monkeypatch.setattr(CompletionHandler, "_engine_body", engine_body)


def claim_not_run(monkeypatch):
    """Report that an interrupted request was not run."""
    original = CompletionHandler._refusal_for

    def refusal_for(job, error):
        refusal = original(job, error)
        refusal.run = Executed.NO
        return refusal

    async def stream(self, *arguments):
        async for chunks in original_stream(self, *arguments):
            raise UpstreamError(ResultCode.UPSTREAM_BROKEN, "injected defect")
            yield chunks

    original_stream = EngineClient.stream
    monkeypatch.setattr(EngineClient, "stream", stream)
    monkeypatch.setattr(CompletionHandler, "_refusal_for", staticmethod(refusal_for))


def dispatch_repeatedly(monkeypatch):
    """Ignore that the call of a key was already dispatched."""
    original = KeyLedger.begin

    def begin(self, serial, fingerprint):
        result = original(self, serial, fingerprint)
        known = (BeginResult.JOIN, BeginResult.DONE, BeginResult.UNKNOWN)
        return BeginResult.DISPATCH if result in known else result

    monkeypatch.setattr(KeyLedger, "begin", begin)


def ignore_leaving(monkeypatch):
    """Ignore that an upstream is leaving."""
    monkeypatch.setattr(MemberTable, "is_leaving", lambda self, upstream, now: False)


def stop_without_draining(monkeypatch):
    """Leave without waiting for requests in flight."""

    async def stop(self, callers_closed):
        self.members.set_local_state(NodeState.LEAVING)

    monkeypatch.setattr(Node, "_stop", stop)


def adopt_any_number(monkeypatch):
    """Adopt the configuration that arrives last, whatever its number."""

    def offer(self, raw):
        self.view = parse_records(raw)
        return Adoption.ADOPTED

    monkeypatch.setattr(RecordStore, "offer", offer)


DEFECTS = [
    (Guarantee.URGENT, refuse_urgent, Step.MID_STREAM, Fault.NONE),
    (Guarantee.NO_STARVATION, starve_lowest_class, Step.MID_STREAM, Fault.NONE),
    (
        Guarantee.OWN_ANSWER,
        restart_instead_of_resuming,
        Step.MID_STREAM,
        Fault.ENGINE_CRASH,
    ),
    (Guarantee.TRUE_REFUSAL, claim_not_run, Step.OPENED, Fault.NONE),
    (Guarantee.AT_MOST_ONCE, dispatch_repeatedly, Step.MID_STREAM, Fault.NONE),
    (Guarantee.LEAVING, ignore_leaving, Step.MID_STREAM, Fault.NONE),
    (Guarantee.GRACEFUL, stop_without_draining, Step.MID_STREAM, Fault.NONE),
    (Guarantee.RECORDS, adopt_any_number, Step.MID_STREAM, Fault.SERVICE_STALE),
]


@pytest.mark.parametrize(
    ("guarantee", "add_defect", "step", "fault"),
    DEFECTS,
    ids=[p[0].name for p in DEFECTS],
)
def test_matrix_detects_defect(monkeypatch, guarantee, add_defect, step, fault):
    assert guarantee not in run_cell(step, (fault,)).failed
    add_defect(monkeypatch)
    assert guarantee in run_cell(step, (fault,)).failed
