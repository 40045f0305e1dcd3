# Two commands for a newcomer, each of which does all its set-up: `make run` and `make test`.
VENV ?= .venv
PYTHON ?= python3
CODE = ospreylug astertrack laboratory benchmarks tests

.PHONY: run test

# A router with the example configuration of deploy/, between stand-in exchanges; a call by SIP and one over WebSocket
# are shown answered. Ctrl-C ends it.
run: $(VENV)/ready
	$(VENV)/bin/python -m laboratory.demo

# Linters, types and tests, as CI has them.
test: $(VENV)/ready
	$(VENV)/bin/ruff check $(CODE)
	$(VENV)/bin/mypy
	$(VENV)/bin/python -m pytest -q

$(VENV)/ready: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	$(VENV)/bin/pip -q install --no-deps -e .
	touch $@
