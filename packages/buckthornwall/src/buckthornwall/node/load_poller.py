"""Task that polls the load of the engines that this instance schedules."""

from collections.abc import Callable

import trio

from buckthornwall.records import RecordStore
from buckthornwall.scheduling import (
    PoolScheduler,
    SchedulerAgent,
    SchedulingSettings,
)
from buckthornwall.upstreams import EngineClient
from buckthornwall.utils import UpstreamId

__all__ = ["LoadPoller"]


class LoadPoller:
    """Polls the load of engines; the reports lag and are only hints.

    Parameters
    ----------
    settings
        The ``[scheduling]`` section.
    store, scheduler
        Records in force, and the scheduler of the engines to poll.
    engines
        Client of the engines.
    on_leaving
        Called with each engine that reports that it is leaving.
    """

    def __init__(
        self,
        settings: SchedulingSettings,
        store: RecordStore,
        scheduler: SchedulerAgent,
        engines: EngineClient,
        on_leaving: Callable[[UpstreamId], None],
    ) -> None:
        self.settings = settings
        self.store = store
        self.scheduler = scheduler
        self.engines = engines
        self.on_leaving = on_leaving

    async def run(self) -> None:
        """Poll the engines every `load_poll_s` seconds."""
        while True:
            await trio.sleep(self.settings.load_poll_s)
            for role in list(self.scheduler.roles.values()):
                async with trio.open_nursery() as nursery:
                    for engine_id in role.scheduler.engines:
                        nursery.start_soon(self._poll, role.scheduler, engine_id)

    async def _poll(self, scheduler: PoolScheduler, engine_id: UpstreamId) -> None:
        record = self.store.view.upstreams.get(engine_id)
        if record is None:
            return
        report = await self.engines.read_load(record)
        engine = scheduler.engines.get(engine_id)
        if report is None or engine is None:
            return
        in_use, leaving = report
        engine.receive_load_report(in_use)
        if leaving:
            self.on_leaving(engine_id)
