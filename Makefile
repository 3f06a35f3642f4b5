# Targets for a fresh machine with Python 3.11, pip and make.
#
#   make run     a whole fleet as separate processes on loopback (SETTINGS=examples/vitrina)
#   make test    every test but those of KNOWN-RED.txt, which it prints
#   make lint    formatter, linter and type checker

PYTHON ?= python3
SETTINGS ?= examples/vitrina
# Arguments for pytest; a small fixed number of workers, so that results do not depend on the machine.
PYTEST_ARGUMENTS ?= -n 4

VENV := .venv
INSTALLED := $(VENV)/.installed

.PHONY: run test lint format setup clean

run: $(INSTALLED)
	$(VENV)/bin/merlinstand-lab run --settings $(SETTINGS)

test: $(INSTALLED)
	deselected="$$($(VENV)/bin/python tools/known_red.py)" && \
		$(VENV)/bin/python -m pytest $(PYTEST_ARGUMENTS) $$deselected

lint: $(INSTALLED)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: $(INSTALLED)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

setup: $(INSTALLED)

$(INSTALLED): pyproject.toml requirements.txt
	$(PYTHON) -c 'import sys; sys.exit(sys.version_info[:2] != (3, 11) and "Python 3.11 is needed; set PYTHON=")'
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		--constraint requirements.txt --editable '.[lab,dev]'
	touch $(INSTALLED)

clean:
	rm -rf $(VENV) out
