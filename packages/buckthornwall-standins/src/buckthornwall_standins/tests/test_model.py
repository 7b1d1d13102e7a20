"""Model checking: what holds is proved, each broken variant is refuted."""

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
def test_verdict(module, variant):
    verdict = check(module, variant)
    if variant.name == "AS_IS":
        assert verdict.exhaustive
        assert verdict.proved
    else:
        assert verdict.refuted
        assert verdict.shortest_trace()
