PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test demo capacity lint format reference soak
.PHONY: days bench bench-control bench-connections bench-decisions bench-admission

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[test]'
	touch $(STAMP)

setup: $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

demo: $(STAMP)
	$(BIN)/python -m standins.demo

capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity

bench-control: $(STAMP)
	$(BIN)/python -m benchmarks.control

bench-connections: $(STAMP)
	$(BIN)/python -m benchmarks.connections

bench: $(STAMP)
	$(BIN)/python -m benchmarks.fairness
	$(BIN)/python -m benchmarks.placing

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

reference: $(STAMP)
	$(BIN)/python -m tests.reference

bench-decisions: $(STAMP)
	$(BIN)/python -m benchmarks.decisions --json decisions.json
	$(BIN)/python -m benchmarks.direct

bench-admission: $(STAMP)
	$(BIN)/python -m benchmarks.upstreams
	$(BIN)/python -m benchmarks.admission --json admission.json

SEEDS ?= 50

soak: $(STAMP)
	$(BIN)/python -m soak --seeds $(SEEDS)

# Plays days of trouble; needs the users' bench, whose path BENCH gives.
days:
	@test -n "$(BENCH)" -a -n "$(SITE)" || (echo "make days BENCH=.. SITE=.."; exit 2)
	for day in deploy/days/*.toml; do "$(BENCH)" run "$(SITE)" $$day; done
