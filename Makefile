PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.stamp
# Modules run side by side, the tests of one module in turn: those that start processes
# use the same ports. Tests of memory and descriptors follow one at a time.
TEST_WORKERS ?= 4
PACKAGES := packages/buckthornwall packages/buckthornwall-ctl packages/buckthornwall-standins

.PHONY: demo test lint types format bench micro faults model docs clean

$(STAMP): requirements.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix --editable ,$(PACKAGES))
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m buckthornwall_standins.demo

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist loadfile -m "not crowd" packages
	$(BIN)/python -m pytest -m crowd packages

lint: $(STAMP)
	$(BIN)/ruff check packages
	$(BIN)/ruff format --check packages

# Not part of CI: attributes that a rename missed show as new findings.
types: $(STAMP)
	-$(BIN)/mypy --ignore-missing-imports --check-untyped-defs $(addsuffix /src,$(PACKAGES))

format: $(STAMP)
	$(BIN)/ruff check --fix packages
	$(BIN)/ruff format packages

bench: $(STAMP)
	$(BIN)/python -m buckthornwall_standins.bench

faults: $(STAMP)
	$(BIN)/python -m buckthornwall_standins.faults --write docs/fault-matrix.md

model: $(STAMP)
	$(BIN)/python -m buckthornwall_standins.model.check --write docs/model.md

micro: $(STAMP)
	$(BIN)/python -m buckthornwall_standins.slopes

docs: $(STAMP)
	$(BIN)/python -m buckthornwall.codes > docs/codes.md
	$(BIN)/python -m buckthornwall.settings > docs/settings.md

clean:
	rm -rf build
