PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
# Tests mostly wait for processes; more workers than this make their time bounds late.
TEST_WORKERS ?= 4

.PHONY: demo test lint format generate clean

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m ridgecourse_standins.demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist worksteal -m "not crowd"
	$(BIN)/python -m pytest -m crowd

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Writes the committed RPC code again from the schema.
generate: $(VENV)/.installed
	$(BIN)/python -m pip install --quiet --editable '.[generate]'
	PATH=$(BIN):$$PATH $(BIN)/python -m grpc_tools.protoc -Iproto \
		--py_out=src --connectrpc_out=src proto/ridgecourse/wire/admin.proto

clean:
	rm -rf $(VENV) build run
