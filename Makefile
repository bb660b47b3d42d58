PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(addprefix packages/,wire resources scheduling objects placement routing ownership daemon \
	gateway ctl fakes) platform
SEED ?= 1
SECONDS ?= 60
# Tests that fail for a known fault; CI passes over exactly these.
KNOWN_RED := $(shell sed -n 's/^  test: //p' KNOWN-RED.txt)

.PHONY: setup demo test lint format soak soak-site measure bench stubs docs

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check \
		-c constraints.txt hatchling editables setuptools wheel pbr
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-build-isolation \
		-c constraints.txt -r requirements-dev.txt \
		$(foreach package,$(PACKAGES),-e $(package))
	touch $@

demo: setup
	$(BIN)/python -m peridot_fakes.demo

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

test: lint
	@echo "known red, passed over: $(or $(KNOWN_RED),none)"
	$(BIN)/python -m pytest $(addprefix --deselect ,$(KNOWN_RED))

soak-site: setup
	$(BIN)/python -m peridot_fakes.sitesoak --seed=$(SEED) --seconds=$(SECONDS) $(if $(FEW),--few)

soak: setup
	$(BIN)/python -m peridot_fakes.soak --seed=$(SEED) --seconds=$(SECONDS)

measure: setup
	$(BIN)/python -m benchmarks.measure

bench: setup
	$(BIN)/python -m benchmarks.data_path

stubs:
	cd packages/wire/peridot_wire && PATH="$(abspath $(BIN)):$$PATH" $(abspath $(BIN))/python -m grpc_tools.protoc \
		-I. --python_out=. --grpclib_python_out=. peridot.proto
	sed -i 's/^import peridot_pb2/from peridot_wire import peridot_pb2/' \
		packages/wire/peridot_wire/peridot_grpc.py

docs: setup
	$(BIN)/python -c "from peridot_daemon.settings import describe_settings; \
		print('# Settings\n'); print(describe_settings())" > docs/operators/settings.md
