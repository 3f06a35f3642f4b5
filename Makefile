# Needs only Python 3.11, pip and make; dependencies are installed into .venv.
#
#   make run     run a complete fleet as separate processes on loopback (SETTINGS=examples/vitrina)
#   make test    run all tests except those listed in KNOWN-RED.txt, which it prints
#   make lint    run the formatter check, linter and type checker

PYTHON ?= python3
SETTINGS ?= examples/vitrina
# Pytest arguments. The number of workers is fixed, so that results do not depend on the machine.
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
