"""The fault matrix: every fault at every step, on the real code.

A cell starts the small deployment, brings one urgent completion and one order
confirmation to a step, injects the fault, undoes it after a while, and then
checks all eight points of what must always hold. Everything runs on the mock
clock, so a cell takes a fraction of a second.
"""

import argparse
import itertools
import sys
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

import httpcore
import msgspec
import trio
from loguru import logger
from trio.testing import MockClock

from .callers import Arrival, Callers, Outcome, Verdict
from .deployments import ORDER_ROUTE, ClassLoad, key_of
from .memory_fleet import MemoryFleet, MemoryNode, make_deterministic

__all__ = ["Cell", "Fault", "Point", "Step", "all_cells", "render_grid", "run_cell"]

SEED = 7
MAIN_TOKENS = 20
FILL_TOKENS = 60
FAULT_S = 3.0
RESTART_S = 1.5
ANSWER_LIMIT_S = 40.0
SETTLE_S = 4.0
SPREAD_LIMIT_S = 8.0
LEAVING_GRACE_S = 3.0
FINE_POLL_S = 0.0001
TRICKLE_S = 0.25
TRICKLE_TOKENS = 6
STALE_NUMBER = 1
FIRST_NUMBER = 5
ORDER_TRIES = 8
JOBS = 6


class Point(Enum):
    """The eight points of the brief that must always hold."""

    URGENT = "urgent work is never shed for a lower tier"
    NO_STARVATION = "every class is served in the end"
    OWN_ANSWER = "each caller gets the whole answer to its own request"
    TRUE_REFUSAL = "what is said not to have run has not run"
    AT_MOST_ONCE = "a call that may not be repeated runs at most once"
    LEAVING = "a leaving upstream gets no new work after a few seconds"
    GRACEFUL = "a planned stop cuts nothing off"
    RECORDS = "accepted records spread and never revert"


class Step(Enum):
    """Steps of a request, and of a set of records."""

    RECEIVED = "received"
    QUEUED = "queued"
    GRANTED = "granted"
    OPENED = "upstream opened"
    FIRST_TOKEN = "first token"
    MID_STREAM = "mid-stream"
    LAST_TOKEN = "last token"
    RELAYED = "answer relayed"
    KEY_HANDED_OVER = "key handed over"
    PUBLISHED = "published"
    WATCHED = "watched"
    SPREAD = "spread"
    IN_FORCE = "in force"


RECORD_STEPS = (Step.PUBLISHED, Step.WATCHED, Step.SPREAD, Step.IN_FORCE)


class Fault(Enum):
    """Faults of the brief."""

    NONE = "none"
    ENGINE_CRASH = "engine crash"
    ENGINE_SLOW = "engine slow"
    LATE_REPORTS = "late reports"
    SERVICE_DOWN = "service down"
    SERVICE_STALE = "service stale"
    LIST_LATE = "list late"
    FREEZE_ENTRY = "freeze of entry"
    FREEZE_SCHEDULER = "freeze of scheduler"
    KILL_ENTRY = "kill of entry"
    KILL_SCHEDULER = "kill of scheduler"
    CUT_NODES = "cut between nodes"
    CUT_UPSTREAM = "cut to upstream"
    CALLER_GONE = "caller gone"
    CALLER_REPEATS = "caller repeats elsewhere"
    STOP_ENTRY = "planned stop of entry"
    STOP_SCHEDULER = "planned stop of scheduler"


CALLER_FAULTS = (Fault.CALLER_GONE, Fault.CALLER_REPEATS)
ENTRY_FAULTS = (Fault.FREEZE_ENTRY, Fault.KILL_ENTRY, Fault.STOP_ENTRY)
SCHEDULER_FAULTS = (
    Fault.FREEZE_SCHEDULER,
    Fault.KILL_SCHEDULER,
    Fault.STOP_SCHEDULER,
)


def cannot_occur(step: Step, faults: tuple[Fault, ...]) -> str:
    """Return why a cell cannot occur, or nothing if it can."""
    if step in RECORD_STEPS and set(faults) & set(CALLER_FAULTS):
        return "no caller takes part in this step"
    if step is Step.KEY_HANDED_OVER and set(faults) & set(ENTRY_FAULTS):
        return "the owner has already left as planned"
    if sum(fault in ENTRY_FAULTS for fault in faults) > 1:
        return "one process has one end"
    if sum(fault in SCHEDULER_FAULTS for fault in faults) > 1:
        return "one process has one end"
    return ""


@dataclass
class Cell:
    """One cell and what it showed: the points that failed, with details."""

    step: Step
    faults: tuple[Fault, ...]
    failed: dict[Point, str] = field(default_factory=dict)
    why_not: str = ""

    @property
    def name(self) -> str:
        """Step and faults in words."""
        return f"{self.step.value}: {' + '.join(each.value for each in self.faults)}"


class _Run:
    """The state of one cell while it runs."""

    def __init__(self, fleet: MemoryFleet, cell: Cell) -> None:
        self.fleet = fleet
        self.cell = cell
        self.callers = Callers(fleet, [], backend=fleet.backend)
        self.callers.started = trio.current_time()
        self.scheduler = fleet.scheduler_of("m")
        others = [node for node in fleet.nodes if node is not self.scheduler]
        self.entry, self.third = others
        self.outcomes: list[Outcome] = []
        self.main: Outcome | None = None
        self.main_scope = trio.CancelScope()
        self.main_ended = trio.Event()
        self.orders: list[str] = []
        self.serial = 0
        self.undo: list[Callable[[], Awaitable[None] | None]] = []
        self.answers_not_run: set[str] = set()
        self.order_void: set[str] = set()
        self.quiet = trio.Event()

    def load(self, class_id: str) -> ClassLoad:
        return next(each for each in self.fleet.deployment.loads if each.id == class_id)

    def fail(self, point: Point, detail: str) -> None:
        self.cell.failed.setdefault(point, detail)

    # Requests

    async def ask(self, node: MemoryNode, class_id: str, tokens: int) -> Outcome:
        """Send one completion through a node and wait for its end."""
        outcome = self.new_outcome(node, class_id, tokens)
        await self.send(node, outcome)
        return outcome

    def new_outcome(self, node: MemoryNode, class_id: str, tokens: int) -> Outcome:
        self.serial += 1
        at = trio.current_time() - self.callers.started
        nonce = f"x{self.serial}"
        arrival = Arrival(at, self.load(class_id), "one", nonce, tokens, 0)
        outcome = Outcome(arrival, node=node.id)
        self.outcomes.append(outcome)
        return outcome

    async def send(self, node: MemoryNode, outcome: Outcome) -> None:
        with trio.move_on_after(ANSWER_LIMIT_S):
            try:
                await self.callers._stream(node, outcome.arrival, outcome)
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ) as error:
                outcome.detail = repr(error)

    async def run_main(self) -> None:
        with self.main_scope:
            await self.send(self.fleet_node_for_main(), self.main)
        self.main_ended.set()

    def fleet_node_for_main(self) -> MemoryNode:
        handed_over = self.cell.step is Step.KEY_HANDED_OVER
        return self.third if handed_over else self.entry

    async def trickle(self) -> None:
        """Keep some work of a lower tier going, to compete with the urgent."""
        async with trio.open_nursery() as nursery:
            while not self.quiet.is_set():
                nursery.start_soon(self.ask, self.third, "routine", TRICKLE_TOKENS)
                await trio.sleep(TRICKLE_S)

    # Orders

    async def get_key(self, node: MemoryNode) -> str:
        response = await self.callers.pool.request(
            "POST",
            f"http://{node.callers}/idempotency-keys",
            headers=[("authorization", f"Bearer {key_of('one')}")],
        )
        return msgspec.json.decode(response.content)["idempotency_key"]

    async def confirm(self, node: MemoryNode, order: str, key: str) -> tuple[int, str]:
        """Send a confirmation once; return its status and what it says of a run."""
        headers = [
            ("authorization", f"Bearer {key_of('one')}"),
            ("idempotency-key", key),
        ]
        timeouts = {"connect": 1.0, "read": 15.0}
        try:
            response = await self.callers.pool.request(
                "POST",
                f"http://{node.callers}/services/{ORDER_ROUTE}/confirm",
                headers=headers,
                content=msgspec.json.encode({"order": order}),
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return 0, "unknown"
        body = msgspec.json.decode(response.content)
        run = body.get("error", {}).get("run", "yes")
        if run == "no":
            self.order_void.add(order)
        return response.status, run

    async def confirm_until_settled(self, order: str, key: str) -> None:
        """Repeat a confirmation through one node after another."""
        nodes = itertools.cycle([self.third, self.scheduler, self.entry])
        for _ in range(ORDER_TRIES):
            node = next(each for each in nodes if each in self.fleet.alive())
            status, run = await self.confirm(node, order, key)
            if status == 200 or (status and run == "no"):
                return
            await trio.sleep(0.5)


# Reaching a step


async def _reach(run: _Run, nursery: trio.Nursery) -> None:
    """Bring the main request, or a set of records, to the cell's step."""
    step = run.cell.step
    run.main = run.new_outcome(run.fleet_node_for_main(), "urgent", MAIN_TOKENS)
    if step in RECORD_STEPS:
        await _reach_record_step(run, nursery)
        return
    if step is Step.KEY_HANDED_OVER:
        await _reach_hand_over(run, nursery)
        return
    if step is Step.QUEUED:
        await _fill_engines(run, nursery)
    nursery.start_soon(run.run_main)
    reached = _condition(run, step)
    await run.fleet.until(
        lambda: reached() or run.main_ended.is_set(), poll_s=FINE_POLL_S
    )


async def _fill_engines(run: _Run, nursery: trio.Nursery) -> None:
    for class_id in ("routine", "routine", "routine", "urgent"):
        nursery.start_soon(run.ask, run.third, class_id, FILL_TOKENS)
    slots = sum(engine.model.slots for engine in run.fleet.engines.values())
    engines = run.fleet.engines.values()
    await run.fleet.until(lambda: sum(len(e.running) for e in engines) == slots)


def _condition(run: _Run, step: Step) -> Callable[[], bool]:
    node = run.entry.node
    nonce = run.main.arrival.nonce
    engines = run.fleet.engines.values()

    def generated() -> int:
        return sum(engine.generated[nonce] for engine in engines)

    return {
        Step.RECEIVED: lambda: node.app.in_flight > 0,
        Step.QUEUED: lambda: any(w.acknowledged for w in node.entry.waiting.values()),
        Step.GRANTED: lambda: bool(node.entry.held),
        Step.OPENED: lambda: any(nonce in engine.first_index for engine in engines),
        Step.FIRST_TOKEN: lambda: generated() >= 1,
        Step.MID_STREAM: lambda: generated() >= MAIN_TOKENS // 2,
        Step.LAST_TOKEN: lambda: generated() >= MAIN_TOKENS,
        Step.RELAYED: lambda: run.main.verdict is Verdict.WHOLE,
    }[step]


async def _reach_hand_over(run: _Run, nursery: trio.Nursery) -> None:
    """Let the owner of a key with a call in flight stop as planned."""
    fleet = run.fleet
    key = await run.get_key(run.entry)
    order = f"handed-over-{run.cell.name}"
    run.orders.append(order)
    nursery.start_soon(run.confirm, run.third, order, key)
    await fleet.until(lambda: fleet.service.confirmed[order] > 0)
    nursery.start_soon(fleet.stop, run.entry)
    owner = (run.entry.node.node, run.entry.node.incarnation)
    others = [run.third.node.idempotency, run.scheduler.node.idempotency]
    await fleet.until(
        lambda: any(owner in other.ledgers for other in others), poll_s=FINE_POLL_S
    )
    nursery.start_soon(run.run_main)
    nursery.start_soon(run.confirm_until_settled, order, key)


async def _reach_record_step(run: _Run, nursery: trio.Nursery) -> None:
    """Publish to a platform that answers only the scheduler's instance."""
    fleet = run.fleet
    nursery.start_soon(run.run_main)
    platform_host = fleet.platform_address.partition(":")[0]
    for node in (run.entry, run.third):
        fleet.network.cut(node.host, platform_host)
    fleet.number += 1
    fleet.publish(fleet.number)

    def holders() -> int:
        return sum(n.node.store.number == fleet.number for n in fleet.nodes)

    wanted = {Step.PUBLISHED: 0, Step.WATCHED: 1, Step.SPREAD: 2, Step.IN_FORCE: 3}
    least = wanted[run.cell.step]
    await fleet.until(lambda: holders() >= least, poll_s=FINE_POLL_S)


# Faults


def _serving_engine(run: _Run) -> str:
    nonce = run.main.arrival.nonce
    for engine in run.fleet.engines.values():
        if nonce in engine.first_index:
            return engine.name
    return next(iter(run.fleet.engines))


def _inject(run: _Run, fault: Fault, nursery: trio.Nursery) -> None:
    """Inject one fault, and note how to undo it."""
    fleet = run.fleet
    engine_id = _serving_engine(run)
    engine = fleet.engines[engine_id]
    node = run.entry if fault in ENTRY_FAULTS else run.scheduler
    if fault is Fault.ENGINE_CRASH:
        fleet.crash_engine(engine_id)
        run.undo.append(lambda: fleet.restart_engine(engine_id))
    elif fault is Fault.ENGINE_SLOW:
        engine.slow = 4.0
        run.undo.append(lambda: setattr(engine, "slow", 1.0))
    elif fault is Fault.LATE_REPORTS:
        for each in fleet.engines.values():
            each.model.report_lag_s = 5.0
    elif fault is Fault.SERVICE_DOWN:
        fleet.platform.down = True
        run.undo.append(lambda: setattr(fleet.platform, "down", False))
    elif fault is Fault.SERVICE_STALE:
        fleet.platform.records.shows_always = True
        fleet.publish(STALE_NUMBER)
        run.undo.append(lambda: _refresh(fleet))
    elif fault is Fault.LIST_LATE:
        fleet.platform.list_lag_s = 10.0
        run.undo.append(lambda: setattr(fleet.platform, "list_lag_s", 0.3))
    elif fault in (Fault.FREEZE_ENTRY, Fault.FREEZE_SCHEDULER):
        fleet.freeze(node)
        run.undo.append(lambda: fleet.thaw(node))
    elif fault in (Fault.KILL_ENTRY, Fault.KILL_SCHEDULER):
        fleet.kill(node)
        nursery.start_soon(_replace_killed, fleet, node)
    elif fault is Fault.CUT_NODES:
        fleet.network.cut(run.entry.host, run.scheduler.host)
    elif fault is Fault.CUT_UPSTREAM:
        fleet.network.cut(run.entry.host, fleet.engine_hosts[engine_id])
    elif fault is Fault.CALLER_GONE:
        run.main_scope.cancel()
    elif fault is Fault.CALLER_REPEATS:
        nursery.start_soon(run.ask, run.third, "urgent", MAIN_TOKENS)
    else:
        nursery.start_soon(fleet.stop, node)
        run.undo.append(lambda: _replace(fleet, node))


def _refresh(fleet: MemoryFleet) -> None:
    fleet.platform.records.shows_always = False
    fleet.publish(fleet.number)


async def _replace_killed(fleet: MemoryFleet, node: MemoryNode) -> None:
    """Start an instance anew while whatever else is wrong still is."""
    await trio.sleep(RESTART_S)
    fleet.start_node(node)


async def _replace(fleet: MemoryFleet, node: MemoryNode) -> None:
    """Start an instance anew once it has left."""
    await node.ended.wait()
    await trio.sleep(0.1)
    fleet.start_node(node)


async def _undo(run: _Run) -> None:
    run.fleet.network.heal()
    for action in run.undo:
        waiting = action()
        if waiting is not None:
            await waiting


# Checks


def _check_main(run: _Run) -> None:
    """Check that the urgent request is whole, or broken by what had to break it."""
    faults = run.cell.faults
    outcome = run.main
    if outcome.verdict is Verdict.REFUSED:
        run.fail(Point.URGENT, f"refused: {outcome.detail}")
    excused = Fault.CALLER_GONE in faults or Fault.KILL_ENTRY in faults
    if outcome.verdict is not Verdict.WHOLE and not excused:
        stopped = Fault.STOP_ENTRY in faults
        point = Point.GRACEFUL if stopped else Point.OWN_ANSWER
        run.fail(point, f"main {outcome.verdict.value}: {outcome.detail}")


def _check_counts(run: _Run) -> None:
    """Compare what the stand-ins counted with what callers were told."""
    started = run.fleet.started()
    confirmed = run.fleet.service.confirmed
    for outcome in run.outcomes:
        if outcome.verdict is Verdict.MIXED:
            run.fail(Point.OWN_ANSWER, f"mixed up: {outcome.detail}")
        untrue = outcome.verdict is Verdict.REFUSED and outcome.run == "no"
        if untrue and outcome.arrival.nonce in started:
            run.fail(Point.TRUE_REFUSAL, f"{outcome.arrival.nonce} had run")
    for order, count in confirmed.items():
        if count > 1:
            run.fail(Point.AT_MOST_ONCE, f"{order} ran {count} times")
    for order in run.order_void:
        if confirmed[order]:
            run.fail(Point.TRUE_REFUSAL, f"{order} had run")


async def _check_records(run: _Run) -> None:
    """Check that a newer set reaches every instance, and none ever went back."""
    fleet = run.fleet
    fleet.number += 1
    fleet.publish(fleet.number)
    try:
        await fleet.until(
            lambda: all(n.node.store.number == fleet.number for n in fleet.alive()),
            SPREAD_LIMIT_S,
        )
    except trio.TooSlowError:
        numbers = [node.node.store.number for node in fleet.alive()]
        run.fail(Point.RECORDS, f"numbers {numbers}, published {fleet.number}")
    for node in fleet.nodes:
        shown = [number for number in node.numbers if number]
        if shown != sorted(shown):
            run.fail(Point.RECORDS, f"{node.id} went back: {shown}")
        if shown and shown[0] < FIRST_NUMBER:
            run.fail(Point.RECORDS, f"{node.id} began with {shown[0]}")


async def _check_classes(run: _Run) -> None:
    """Check that every class is served through every instance."""

    async def probe(node: MemoryNode, class_id: str) -> None:
        outcome = await run.ask(node, class_id, TRICKLE_TOKENS)
        if outcome.verdict is not Verdict.WHOLE:
            detail = f"{class_id} through {node.id}: {outcome.detail}"
            run.fail(Point.NO_STARVATION, detail)

    async with trio.open_nursery() as nursery:
        for node in run.fleet.alive():
            for load in run.fleet.deployment.loads:
                nursery.start_soon(probe, node, load.id)


async def _check_leaving(run: _Run) -> None:
    """Check that an engine listed as leaving is soon asked for nothing."""
    fleet = run.fleet
    engine_id = next(iter(fleet.engines))
    fleet.leaving.add(engine_id)
    fleet.publish_instances()
    await trio.sleep(LEAVING_GRACE_S)
    before = fleet.engines[engine_id].starts
    async with trio.open_nursery() as nursery:
        for node in fleet.alive():
            nursery.start_soon(run.ask, node, "urgent", TRICKLE_TOKENS)
            nursery.start_soon(run.ask, node, "routine", TRICKLE_TOKENS)
    after = fleet.engines[engine_id].starts
    if after != before:
        run.fail(Point.LEAVING, f"{after - before} new requests")


async def _check_graceful(run: _Run) -> None:
    """Check that an instance that stops as planned finishes its answers."""
    node = run.fleet.alive()[-1]
    async with trio.open_nursery() as nursery:
        outcome = run.new_outcome(node, "urgent", 2 * MAIN_TOKENS)
        nursery.start_soon(run.send, node, outcome)
        await trio.sleep(0.1)
        try:
            await run.fleet.stop(node)
        except trio.TooSlowError:
            run.fail(Point.GRACEFUL, f"{node.id} never left")
    if outcome.verdict is not Verdict.WHOLE:
        run.fail(Point.GRACEFUL, f"{outcome.verdict.value}: {outcome.detail}")


# One cell


async def _run(cell: Cell, plant: Callable[[MemoryFleet], None] | None) -> None:
    fleet = MemoryFleet()
    fleet.number = FIRST_NUMBER
    async with trio.open_nursery() as fleet.nursery:
        await fleet.start()
        if plant is not None:
            plant(fleet)
        run = _Run(fleet, cell)
        async with trio.open_nursery() as requests:
            requests.start_soon(run.trickle)
            key = await run.get_key(run.entry)
            await _reach(run, requests)
            order = f"order-{cell.name}"
            run.orders.append(order)
            if cell.step is not Step.KEY_HANDED_OVER:
                requests.start_soon(run.confirm, run.third, order, key)
                await trio.sleep(0.004)
            async with trio.open_nursery() as injected:
                for fault in cell.faults:
                    _inject(run, fault, injected)
                await trio.sleep(FAULT_S)
                await _undo(run)
            with trio.move_on_after(ANSWER_LIMIT_S):
                await run.main_ended.wait()
            run.quiet.set()
            await trio.sleep(SETTLE_S)
            if cell.step is not Step.KEY_HANDED_OVER:
                await run.confirm_until_settled(order, key)
        _check_main(run)
        await _check_records(run)
        await _check_classes(run)
        await _check_leaving(run)
        await _check_graceful(run)
        _check_counts(run)
        await run.callers.pool.aclose()
        fleet.nursery.cancel_scope.cancel()


def run_cell(
    step: Step,
    faults: tuple[Fault, ...],
    plant: Callable[[MemoryFleet], None] | None = None,
    seed: int = SEED,
) -> Cell:
    """Run one cell on the mock clock.

    Parameters
    ----------
    step, faults
        Which cell.
    plant
        Breaks the running fleet's code on purpose, to show that it is caught.
    seed
        Of ids, jitter and scheduling.

    Returns
    -------
    Cell
        With the points that failed.
    """
    cell = Cell(step, faults, why_not=cannot_occur(step, faults))
    if not cell.why_not:
        make_deterministic(seed)
        trio.run(_run, cell, plant, clock=MockClock(autojump_threshold=0))
    return cell


def all_cells() -> list[tuple[Step, tuple[Fault, ...]]]:
    """Return every single fault at every step, and the pairs mid-stream."""
    singles = [(step, (fault,)) for step in Step for fault in Fault]
    real = [fault for fault in Fault if fault is not Fault.NONE]
    pairs = [(Step.MID_STREAM, pair) for pair in itertools.combinations(real, 2)]
    return singles + pairs


def render_grid(cells: list[Cell]) -> str:
    """Return the matrix as Markdown: the number of points that held."""
    points = len(Point)
    steps = [step.value for step in Step]
    lines = [
        "# Fault matrix",
        "",
        "Written by `make faults` as it ran. A cell shows how many of the eight "
        "points held; all eight are checked in each. `-` cannot occur, as said "
        "below.",
        "",
        "| fault | " + " | ".join(steps) + " |",
        "|---|" + "---|" * len(steps),
    ]
    shown = {(cell.step, cell.faults): cell for cell in cells}
    for fault in Fault:
        row = [shown.get((step, (fault,))) for step in Step]
        marks = [_mark(cell, points) for cell in row]
        lines.append(f"| {fault.value} | " + " | ".join(marks) + " |")
    pairs = [cell for cell in cells if len(cell.faults) > 1]
    lines += ["", f"## Two faults together, {Step.MID_STREAM.value}", ""]
    lines += [
        f"- {cell.name.partition(': ')[2]}: {_mark(cell, points)}" for cell in pairs
    ]
    lines += ["", "## Cells that cannot occur", ""]
    reasons = sorted({(c.name, c.why_not) for c in cells if c.why_not})
    lines += [f"- {name}: {why}" for name, why in reasons]
    failures = [cell for cell in cells if cell.failed]
    lines += ["", "## Points that failed", ""]
    lines += [
        f"- {cell.name}: {point.value}: {detail}"
        for cell in failures
        for point, detail in cell.failed.items()
    ] or ["none"]
    lines += ["", "## The points", ""]
    lines += [f"{index}. {point.value}" for index, point in enumerate(Point, 1)]
    return "\n".join(lines) + "\n"


def _mark(cell: Cell | None, points: int) -> str:
    if cell is None or cell.why_not:
        return "-"
    return f"{points - len(cell.failed)}/{points}"


def _run_quietly(cell: tuple[Step, tuple[Fault, ...]]) -> Cell:
    logger.remove()
    return run_cell(*cell)


def run_cells(cells: list[tuple[Step, tuple[Fault, ...]]], jobs: int) -> list[Cell]:
    """Run many cells, spread over processes; each cell repeats by itself."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(_run_quietly, cells, chunksize=4))


def main() -> int:
    """Run the matrix and write the grid; return 1 if a point failed."""
    parser = argparse.ArgumentParser(description="Run the fault matrix.")
    parser.add_argument("--write", type=Path, help="file for the grid")
    parser.add_argument("--only", default="", help="part of a cell's name")
    parser.add_argument("--jobs", type=int, default=JOBS, help="processes to use")
    options = parser.parse_args()
    chosen = [each for each in all_cells() if options.only in Cell(*each).name]
    cells = run_cells(chosen, options.jobs)
    for cell in cells:
        for point, detail in cell.failed.items():
            print(f"{cell.name}: {point.name}: {detail}")
    grid = render_grid(cells)
    if options.write:
        options.write.write_text(grid, encoding="utf-8")
    failed = sum(bool(cell.failed) for cell in cells)
    print(f"{len(cells)} cells, {failed} with a point that failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
