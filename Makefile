PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run test lint format clean

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

run: $(STAMP)
	exec $(BIN)/cardamomforkd --embedded

test: $(STAMP)
	$(BIN)/python -m tests.lib.runner

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix --unsafe-fixes --extend-select TC --quiet .
	$(BIN)/ruff format --quiet .

clean:
	rm -rf $(VENV) build dist
