PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: demo test figures setup format lint types

demo: setup
	$(VENV)/bin/daisywharf demo

test: setup
	$(VENV)/bin/python -m pytest

figures: setup
	$(VENV)/bin/python -m benchmarks all

setup: $(STAMP)

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet -r requirements.lock
	$(VENV)/bin/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

format: setup
	$(VENV)/bin/black src tests benchmarks
	$(VENV)/bin/ruff check --fix src tests benchmarks

lint: setup
	$(VENV)/bin/black --check --quiet src tests benchmarks
	$(VENV)/bin/ruff check --quiet src tests benchmarks

types: setup
	$(VENV)/bin/mypy
