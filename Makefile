PYTHON := .venv/bin/python
NODE_CONFIG ?= examples/config.json

.PHONY: build test lint run

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

run: build
	NODE_CONFIG=$(NODE_CONFIG) $(PYTHON) -m millfront
