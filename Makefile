VENV := .venv
PYTHON := $(VENV)/bin/python
SOURCES := src platform features examples benchmarks .ci

.PHONY: demo test lint format bench soak clean

$(VENV)/installed: pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/installed
	$(PYTHON) examples/demo.py

# Number of processes that run features in parallel.
JOBS ?= $(shell nproc)
test: $(VENV)/installed
	$(PYTHON) -m features.support.parallel --jobs $(JOBS)

lint: $(VENV)/installed
	$(PYTHON) -m pyink --check --quiet $(SOURCES)
	$(PYTHON) -m ruff check --quiet $(SOURCES)

format: $(VENV)/installed
	$(PYTHON) -m ruff check --fix --quiet $(SOURCES)
	$(PYTHON) -m pyink --quiet $(SOURCES)

# Runs COUNT soak tests with new random seeds, for example COUNT=50.
COUNT ?= 3
soak: $(VENV)/installed
	$(PYTHON) -m features.soak.run --count $(COUNT) --keep build/soak

bench: $(VENV)/installed
	$(PYTHON) -m benchmarks.run

clean:
	rm -rf build data .hypothesis
