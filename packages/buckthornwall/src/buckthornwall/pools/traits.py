"""Properties of a request that placement and refusal depend on."""

from dataclasses import dataclass

from buckthornwall.routing import PromptShape, Resolution, RoutedRequest
from buckthornwall.utils import SoftwareVersion

from .permitted import ANY_UPSTREAM, Permitted
from .reserved import is_pause_sensitive
from .table import PoolTable

__all__ = ["RequestTraits"]


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """Properties of a request that decisions depend on.

    `prompt` is None for a plain service. `pause_sensitive` is whether it is a stream
    that cannot run on an engine that prefills long prompts. `versions` are the software
    versions that it may go to; None is any.
    """

    id: str
    prompt: PromptShape | None
    resolution: Resolution
    pause_sensitive: bool
    versions: frozenset[SoftwareVersion] | None = None

    @property
    def permitted(self) -> Permitted:
        """The upstreams that it may be sent to, whatever their state."""
        regions = self.resolution.regions
        if regions is self.versions is None:
            return ANY_UPSTREAM
        return Permitted(regions, self.versions)

    @classmethod
    def of(
        cls,
        request: RoutedRequest,
        resolution: Resolution,
        pools: PoolTable,
        versions: frozenset[SoftwareVersion] | None = None,
    ) -> "RequestTraits":
        """Return the traits of a request whose route and pool are known."""
        pool = resolution.pool
        # A client may describe a prompt on a route to a plain service.
        prompt = request.prompt if pool.engine is not None else None
        model = pools.model(pool.id)
        pause_sensitive = is_pause_sensitive(resolution.route, pool, prompt, model)
        return cls(request.id, prompt, resolution, pause_sensitive, versions)
