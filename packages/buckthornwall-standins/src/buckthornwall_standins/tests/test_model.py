"""Model checking proves the specifications and refutes their broken variants."""

import pytest

from buckthornwall_standins.model.check import SPECIFICATIONS, check

pytestmark = pytest.mark.model

VARIANTS = [
    pytest.param(
        module, variant, id=f"{module.__name__.rsplit('.')[-1]}-{variant.name}"
    )
    for module in SPECIFICATIONS
    for variant in module.Variant
]


@pytest.mark.parametrize(("module", "variant"), VARIANTS)
def test_specification_is_proved_and_broken_variant_refuted(module, variant):
    verdict = check(module, variant)
    if variant.name == "AS_IS":
        assert verdict.exhaustive
        assert verdict.proved
    else:
        assert verdict.refuted
        assert verdict.shortest_trace()
