# VENV may name an existing environment with the requirements installed.
VENV ?= .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.godwitglade-installed
MEMBERS := common coordination decisions routing callers targets \
	platform operators peers daemon command
SOURCES := packages platform tests bench proof
space := $(subst ,, )
export PYTHONPATH := $(CURDIR):$(subst $(space),:,$(foreach \
	m,$(MEMBERS),$(CURDIR)/packages/$(m)/src)):$(CURDIR)/platform/src

.PHONY: install test codestyle format demo measure model scenarios soak lines

install: $(STAMP)

$(STAMP): requirements-dev.txt constraints.txt \
		$(foreach m,$(MEMBERS),packages/$(m)/pyproject.toml) \
		platform/pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install -q -c constraints.txt -r requirements-dev.txt
	$(PYTHON) -m pip install -q -c constraints.txt --no-build-isolation \
		$(foreach m,$(MEMBERS),-e packages/$(m)) -e platform
	touch $(STAMP)

test: install
	$(PYTHON) -m pytest

codestyle: install
	$(PYTHON) -m black --check -q $(SOURCES)
	$(PYTHON) -m flake8 $(SOURCES)

format: install
	$(PYTHON) -m black -q $(SOURCES)

demo: install
	$(PYTHON) -m bench.demo

measure: install
	$(PYTHON) -m bench.measure

model: install
	$(PYTHON) -m proof.model

scenarios: install
	$(PYTHON) -m proof.scenarios

# Options of the soak, such as SOAK='--failed --seeds 50'.
SOAK ?=

soak: install
	$(PYTHON) -m bench.soak $(SOAK)

lines: install
	$(PYTHON) -m bench.lines
