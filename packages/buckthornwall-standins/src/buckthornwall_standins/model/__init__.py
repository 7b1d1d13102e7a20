"""Small specifications of the core protocol, and their model checking.

================ =========================================================
`at_most_once`   calls under keys that name their owner
`spread`         adoption and spread of records
`pool_parts`     parts of a pool left to schedulers by leases
`check`          checks each, and the broken variants that must be refuted
================ =========================================================
"""
