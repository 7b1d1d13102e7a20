"""buckthornwall: a router for language-model traffic with service levels.

Subpackages, in the order in which a request meets them:

=============== ==========================================================
`gateway`       HTTP interfaces for clients and operators
`records`       the published, versioned configuration
`admission`     the team of a request, and the service class that applies
`scheduling`    order of service and the choice of an engine
`upstreams`     streams from engines, calls to services, orders to engines
`idempotency`   calls that may run at most once
`membership`    which instances are live, leaving or suspected
`links`         messages between instances
`platform`      client of the platform's configuration service
`telemetry`     logs, metrics and traces
`settings`      the INI file of one instance
`codes`         numbered result codes and the exceptions that carry them
`node`          the assembly that runs as ``buckthornwalld``
`start`         opens the listener before the rest is imported
=============== ==========================================================

Behind the platform's load balancer (``--interface platform``) these are used
instead; the rest is shared:

=============== ==========================================================
`http1`         connections of clients and to upstreams
`platform`      the platform's names, configuration and store
`routing`       routes, teams and pools as the operator published them
`pools`         upstreams: load, health, cached prefixes, placement
`forwarding`    attempts at upstreams until a request is answered
`discovery`     watches the store and applies its updates
`peers`         gossip between instances: membership, load, current state
`router`        the assembly
=============== ==========================================================
"""

__version__ = "0.1.0"
