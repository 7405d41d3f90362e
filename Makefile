VENV := .venv-dev
PY := $(VENV)/bin/python

.PHONY: check format
check: $(VENV)/ready
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	$(PY) -m pytest -q

format: $(VENV)/ready
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

$(VENV)/ready: requirements.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(PY) -m pip -q install -r requirements.txt -r requirements-dev.txt
	touch $@
