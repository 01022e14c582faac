PYTHON := PYTHONPATH=. .venv/bin/python
LISTEN ?= 127.0.0.1:8081

.PHONY: build test lint run run-system soak claim-chains

build: .venv/ready

# The same marker as in deploy/balancer.toml: a copy of the requirements that the environment was made from.
.venv/ready: requirements.txt
	python3 -m venv --clear .venv
	.venv/bin/pip -q install -r requirements.txt
	cp requirements.txt .venv/ready

test: build
	$(PYTHON) -m pytest -q

lint: build
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

# A gatekeeper with toy page servers and a usage receiver. The platform starts one with NODE_CONFIG alone.
run: build
	$(PYTHON) examples/try.py --listen $(LISTEN)

# A whole system on loopback: three gatekeepers, toy servers, a platform and a first configuration.
run-system: build
	$(PYTHON) examples/try_system.py

# Real processes on real sockets under overlapping faults, for many seeds; CI runs a short form.
soak: build
	$(PYTHON) -m benchmarks.soak

# Operation keys over all chains of four core changes, and what each chain costs clients: some minutes.
claim-chains: build
	$(PYTHON) -m benchmarks.claim_chains search
	$(PYTHON) -m benchmarks.claim_chains refusals
