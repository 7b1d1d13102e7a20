"""State of a running cell: its deployment, requests and order confirmations."""

import itertools
from collections.abc import Awaitable, Callable

import msgspec
import trio
from buckthornwall.utils import TRANSPORT_ERRORS

from buckthornwall_standins.callers import Arrival, Callers, Outcome
from buckthornwall_standins.deployments import ORDER_ROUTE, ClassLoad, make_api_key
from buckthornwall_standins.memory_fleet import MemoryFleet, MemoryNode

from .kinds import Cell, Guarantee, Step

__all__ = ["CellRun", "MAIN_TOKENS"]

MAIN_TOKENS = 20
RESPONSE_TIMEOUT_S = 40.0
BACKGROUND_INTERVAL_S = 0.25
BACKGROUND_TOKENS = 6
MAX_ORDER_ATTEMPTS = 8


class CellRun:
    """State of a running cell.

    `scheduler` is the instance that schedules the pool, `entry` the one that
    receives the main request, and `third` the remaining one.
    """

    def __init__(self, fleet: MemoryFleet, cell: Cell) -> None:
        self.fleet = fleet
        self.cell = cell
        self.callers = Callers(fleet, [], backend=fleet.backend)
        self.callers.started = trio.current_time()
        self.scheduler = fleet.find_scheduler("m")
        others = [node for node in fleet.nodes if node is not self.scheduler]
        self.entry, self.third = others
        self.outcomes: list[Outcome] = []
        self.main: Outcome | None = None
        self.main_scope = trio.CancelScope()
        self.main_ended = trio.Event()
        self.orders: list[str] = []
        self.serial = 0
        self.undo_actions: list[Callable[[], Awaitable[None] | None]] = []
        self.responses_not_run: set[str] = set()
        self.orders_not_run: set[str] = set()
        self.background_stopped = trio.Event()

    def get_class_load(self, class_id: str) -> ClassLoad:
        """Return the load definition of a service class."""
        return next(each for each in self.fleet.deployment.loads if each.id == class_id)

    def record_failure(self, guarantee: Guarantee, detail: str) -> None:
        """Record that a guarantee failed; only its first detail is kept."""
        self.cell.failed.setdefault(guarantee, detail)

    # Requests

    async def request(self, node: MemoryNode, class_id: str, tokens: int) -> Outcome:
        """Send one completion through an instance and wait until it ends."""
        outcome = self.new_outcome(node, class_id, tokens)
        await self.send(node, outcome)
        return outcome

    def new_outcome(self, node: MemoryNode, class_id: str, tokens: int) -> Outcome:
        """Create a request that is not sent yet; return its outcome."""
        self.serial += 1
        at = trio.current_time() - self.callers.started
        nonce = f"x{self.serial}"
        arrival = Arrival(at, self.get_class_load(class_id), "one", nonce, tokens, 0)
        outcome = Outcome(arrival, node=node.id)
        self.outcomes.append(outcome)
        return outcome

    async def send(self, node: MemoryNode, outcome: Outcome) -> None:
        """Send the request of an outcome and wait until it ends."""
        with trio.move_on_after(RESPONSE_TIMEOUT_S):
            try:
                await self.callers._stream_completion(node, outcome.arrival, outcome)
            except TRANSPORT_ERRORS as error:
                outcome.detail = repr(error)

    async def run_main(self) -> None:
        """Send the main request."""
        with self.main_scope:
            await self.send(self.node_for_main(), self.main)
        self.main_ended.set()

    def node_for_main(self) -> MemoryNode:
        """Return the instance that receives the main request."""
        handed_over = self.cell.step is Step.KEY_HANDED_OVER
        return self.third if handed_over else self.entry

    async def run_background_load(self) -> None:
        """Send requests of a lower tier that compete with the urgent ones."""
        async with trio.open_nursery() as nursery:
            while not self.background_stopped.is_set():
                nursery.start_soon(
                    self.request, self.third, "routine", BACKGROUND_TOKENS
                )
                await trio.sleep(BACKGROUND_INTERVAL_S)

    # Orders

    async def create_idempotency_key(self, node: MemoryNode) -> str:
        """Return a new idempotency key issued by an instance."""
        response = await self.callers.pool.request(
            "POST",
            f"http://{node.caller_address}/idempotency-keys",
            headers=[("authorization", f"Bearer {make_api_key('one')}")],
        )
        return msgspec.json.decode(response.content)["idempotency_key"]

    async def confirm(self, node: MemoryNode, order: str, key: str) -> tuple[int, str]:
        """Send a confirmation once; return its status and its ``run`` field."""
        headers = [
            ("authorization", f"Bearer {make_api_key('one')}"),
            ("idempotency-key", key),
        ]
        timeouts = {"connect": 1.0, "read": 15.0}
        try:
            response = await self.callers.pool.request(
                "POST",
                f"http://{node.caller_address}/services/{ORDER_ROUTE}/confirm",
                headers=headers,
                content=msgspec.json.encode({"order": order}),
                extensions={"timeout": timeouts},
            )
        except TRANSPORT_ERRORS:
            return 0, "unknown"
        body = msgspec.json.decode(response.content)
        run = body.get("error", {}).get("run", "yes")
        if run == "no":
            self.orders_not_run.add(order)
        return response.status, run

    async def confirm_until_settled(self, order: str, key: str) -> None:
        """Retry a confirmation through the instances in turn until it is settled."""
        nodes = itertools.cycle([self.third, self.scheduler, self.entry])
        for _ in range(MAX_ORDER_ATTEMPTS):
            node = next(each for each in nodes if each in self.fleet.running_nodes())
            status, run = await self.confirm(node, order, key)
            if status == 200 or (status and run == "no"):
                return
            await trio.sleep(0.5)
