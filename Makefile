# Two commands set everything up on a fresh machine: make demo, make test.

PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
LIBS := $(sort $(wildcard libs/*)) platform
STAMP := $(VENV)/.stamp
PROJECTS := $(wildcard libs/*/pyproject.toml) platform/pyproject.toml

.PHONY: setup demo test lint format bench bounds slopes capacity-page clean

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(PROJECTS)
	$(PYTHON) -m venv $(VENV)
	# hdrhistogram takes its version from pbr where no wheel fits the machine.
	$(BIN)/pip install -q -c constraints.txt setuptools pbr \
		-r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation \
		$(foreach lib,$(LIBS),-e $(lib))
	touch $@

# make demo DEPLOYMENT=borsafranca|noodhulp starts that deployment's system;
# DEPLOYMENT=platform the programs as the users' platform runs them, with
# flags of the load and experiment tool in EXPERIMENT.
EXPERIMENT ?= --trouble server-crash@3 --trouble entry-stop@5
ifeq ($(DEPLOYMENT),platform)
demo: setup
	$(BIN)/python -m geraniumweir.emulator $(EXPERIMENT)
else
demo: setup
	$(BIN)/python -m geraniumweir.fakes.demo --deployment='$(DEPLOYMENT)'
endif

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 libs platform deploy tools conftest.py
	$(BIN)/lint-imports

format: setup
	$(BIN)/ruff format .

test: lint
	$(BIN)/python -m pytest

# make bench BENCH_JSON=FILE also writes the figures as JSON.
bench: setup
	$(BIN)/python -m geraniumweir.fakes.bench.main \
		$(if $(BENCH_JSON),--json $(BENCH_JSON))

# Takes the pool leader's present figures as the bounds.
bounds: setup
	$(BIN)/python -m geraniumweir.fakes.bench.main \
		--policy pool-leader --write-bounds

# Measures what each part costs, by size, and fills in docs/CAPACITY.md.
slopes: setup
	$(BIN)/python tools/slopes.py docs/measured/slopes.json
	$(BIN)/python tools/capacity_page.py

# Fills in docs/CAPACITY.md from the figures that are there.
capacity-page: setup
	$(BIN)/python tools/capacity_page.py

clean:
	rm -rf $(VENV) build
