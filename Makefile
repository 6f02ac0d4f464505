# Every target sets up what it needs; a fresh clone needs nothing first.
PYTHON ?= python3.11
TEST_PROCESSES ?= 3
SEEDS ?= 1-10
FRESH ?= 0
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test check format measure experiments soak soak-customers \
	capacity binary clean

demo: $(READY)
	$(BIN)/python -m standins.demo

test: check
	$(BIN)/python -m pytest --numprocesses $(TEST_PROCESSES) --dist worksteal

check: $(READY)
	$(BIN)/black --quiet --check src standins tests
	$(BIN)/flake8 src standins tests
	$(BIN)/mypy

format: $(READY)
	$(BIN)/black --quiet src standins tests

measure: $(READY)
	$(BIN)/python -m standins.measure

experiments: $(READY)
	$(BIN)/python -m pip install --quiet --requirement requirements-experiments.txt
	$(BIN)/python -m standins.experiments --plots docs/design/plots

# OPTIONS=--ends-targets repeats a request that ends its targets.
soak: $(READY)
	$(BIN)/python -m standins.soak --jobs 2 --seeds "$(SEEDS)" --fresh $(FRESH) \
		$(OPTIONS)

soak-customers: $(READY)
	$(BIN)/python -m standins.soak_customers --jobs 2 --seeds "$(SEEDS)"

capacity: $(READY)
	$(BIN)/python -m standins.pages

binary: $(READY)
	$(BIN)/python -m standins.binary

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(READY)

clean:
	rm -rf $(VENV) build .mypy_cache .pytest_cache .hypothesis
