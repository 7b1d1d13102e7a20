"""Stand-ins for the systems around buckthornwall; for tests, never shipped.

================ ==========================================================
`users_platform` the users' platform, following its published protocol
`platform`       configuration service and list of instances
`engine`         a model engine with continuous batching
`service`        a plain service whose calls may not be repeated
`callers`        open-loop load, seeded, counting what callers see
`deployments`    sizes and records of Manizales and Cascade
`listings`       records and list of a fleet, as both fleets publish them
`fleet`          runs all of these as real processes and injects faults
`memory_fleet`   the same in one trio run, on an in-memory network
`faults`         the fault matrix
`model`          specifications and their model checking
`pool_sim`       a pool in simulated time, with the product's decisions
`cases`          the loads and injected faults of the bench
`bound`          tokens served by a scheduler with perfect knowledge
`slopes`         how costs grow with sizes
`report`         tables of attainment, goodput and wasted work
`demo`           the demonstration that ``make demo`` runs
`bench`          the comparison of policies that ``make bench`` runs
================ ==========================================================
"""
