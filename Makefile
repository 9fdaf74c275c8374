# All targets use the virtual environment .venv, which is created on first use.
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
	$(BIN)/python -m pytest -n 0 -m serial
	$(BIN)/python -m pytest -n 4 -m 'not serial'

format: setup
	$(BIN)/ruff check --fix --quiet .
	$(BIN)/pyink --quiet .

lint: setup
	$(BIN)/pyink --check --quiet --diff .
	$(BIN)/ruff check .

demo: setup
	$(BIN)/python -m tools.demo $(ARGS)

# Builds a single executable; needs a C compiler and the static library of the
# interpreter.
binary: setup
	$(BIN)/python -m tools.binary dist/siskinmount

# Sends load to running servers: make load ARGS='--target HOST:PORT --rate 5'
load: setup
	$(BIN)/python -m tools.load $(ARGS)

# Compares policies for sharing engines: make bench ARGS=--quick
bench: setup
	$(BIN)/python -m tools.bench $(ARGS)

# Measures the cost of each role: make slopes ARGS=--quick
slopes: setup
	$(BIN)/python -m tools.slopes $(ARGS)

SEED ?= 1
SECONDS ?= 60

chaos: setup
	$(BIN)/python -m tools.chaos --seed $(SEED) --seconds $(SECONDS)

# Injects faults into real gateways: make soak ARGS='--runs 10 --seed 1'
soak: setup
	$(BIN)/python -m tools.soak $(ARGS)

protos: setup
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. \
	  siskinmount/rpc/control.proto siskinmount/state/records.proto
