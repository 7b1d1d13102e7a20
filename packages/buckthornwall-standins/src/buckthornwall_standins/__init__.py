"""Stand-ins for the systems around buckthornwall; for tests, never shipped.

============== ===========================================================
`platform`     configuration service and list of instances
`engine`       a model engine with continuous batching
`service`      a plain service whose calls may not be repeated
`callers`      open-loop load, seeded, counting what callers see
`deployments`  sizes and records of Manizales and Cascade
`fleet`        starts and disturbs all of these as real processes
`report`       tables of attainment, goodput and wasted work
`demo`         the demonstration that ``make demo`` runs
`bench`        the comparison of policies that ``make bench`` runs
============== ===========================================================
"""
