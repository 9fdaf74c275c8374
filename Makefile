# Every target uses the local environment in .venv and installs it on first use.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test format lint demo load bench slopes soak binary protos

$(VENV)/.installed: requirements.txt requirements-dev.txt constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt -c constraints.txt
	touch $@

setup: $(VENV)/.installed

test: setup
	$(BIN)/python -m pytest -n 4

format: setup
	$(BIN)/ruff check --fix --quiet .
	$(BIN)/pyink --quiet .

lint: setup
	$(BIN)/pyink --check --quiet --diff .
	$(BIN)/ruff check .

demo: setup
	$(BIN)/python -m tools.demo $(ARGS)

# One file; needs a C compiler and the interpreter's static library.
binary: setup
	$(BIN)/python -m tools.binary dist/siskinmount

# Sends load to running servers: make load ARGS='--target HOST:PORT --rate 5'
load: setup
	$(BIN)/python -m tools.load $(ARGS)

# Compares ways of sharing engines: make bench ARGS=--quick
bench: setup
	$(BIN)/python -m tools.bench $(ARGS)

# Measures what each role costs: make slopes ARGS=--quick
slopes: setup
	$(BIN)/python -m tools.slopes $(ARGS)

SEED ?= 1
SECONDS ?= 60

chaos: setup
	$(BIN)/python -m tools.chaos --seed $(SEED) --seconds $(SECONDS)

# Faults from outside on real gateways: make soak ARGS='--runs 10 --seed 1'
soak: setup
	$(BIN)/python -m tools.soak $(ARGS)

protos: setup
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. \
	  siskinmount/rpc/control.proto siskinmount/state/records.proto
