"""Small specifications of the core protocols, and their model checking.

================ =========================================================
`at_most_once`   calls under idempotency keys that name their owner
`spread`         adoption and distribution of configurations
`pool_parts`     shares of a pool lent to schedulers by leases
`removals`       removal of upstreams after outages of the store
`restoration`    returns of the store from an older copy
`succession`     election of a zone's next speaker
`check`          proves each, and refutes its broken variants
================ =========================================================
"""
