"""buckthornwall: a router for language-model traffic with service levels.

Subpackages, in the order in which a request meets them:

=============== ==========================================================
`gateway`       callers' and operators' HTTP
`records`       the published, versioned configuration
`admission`     who the caller is, and which service class applies
`scheduling`    order of service and the choice of an engine
`upstreams`     streams from engines, calls to services, orders to engines
`idempotency`   calls that may run at most once
`membership`    which instances are live, leaving or suspected
`links`         messages between instances
`platform`      client of the platform's configuration service
`telemetry`     logs, metrics and traces
`settings`      the INI file of one instance
`codes`         numbered result codes and the root of all exceptions
`node`          the assembly that runs as ``buckthornwalld``
`start`         what runs before the rest is imported
=============== ==========================================================

Behind the platform's balancer (``--interface platform``) these take their
place; the rest is shared:

=============== ==========================================================
`http1`         callers' and upstreams' connections
`platform`      the platform's names, configuration and store
`routing`       routes, teams and pools as the operator published them
`pools`         upstreams: load, health, likely memory, placement
`forwarding`    attempts at upstreams until a request is answered
`discovery`     watches the store and applies its updates
`peers`         gossip between instances: membership, load, state in force
`router`        the assembly
=============== ==========================================================
"""

__version__ = "0.1.0"
