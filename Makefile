PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint check soak emulate bench lock proto format

setup: $(VENV)/.done

$(VENV)/.done: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/python -m demo.run

test: setup lint
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 src tests standins demo benchmarks scripts emulator soak
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

format: setup
	$(BIN)/ruff format .

soak: setup
	$(BIN)/python -m pytest tests -m soak -s
	$(BIN)/python -m soak --seeds 20

emulate: setup
	$(BIN)/python -m emulator

bench: setup
	$(BIN)/python -m benchmarks.fleet

proto: setup
	$(BIN)/python scripts/generate_wire.py
