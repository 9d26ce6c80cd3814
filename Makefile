PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(sort $(wildcard packages/guavalane-*))

.PHONY: setup demo test soak bench lint format generate check-generated docs clean

setup: $(VENV)/.ready

# uv is not assumed on the machine; pip installs it into the environment.
$(VENV)/.ready: requirements.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	test -x $(BIN)/uv || $(BIN)/python -m pip install --quiet uv
	$(BIN)/uv pip install --quiet --python $(BIN)/python -r requirements.txt
	$(BIN)/uv pip install --quiet --python $(BIN)/python --no-deps \
		--no-build-isolation $(addprefix -e ,$(PACKAGES))
	touch $@

demo: setup
	$(BIN)/python -m guavalane_standins.demo
	PYTHONPATH=platform:platform/standins \
		$(BIN)/python -m guavalane_platform_standins.demo

# The tests with a crowd of clients run alone, after the others and even if one
# of those fails. Status 5 means that the options deselect all of them.
test: setup
	@failed=0; \
	$(BIN)/python -m pytest -m "not crowd" || failed=$$?; \
	$(BIN)/python -m pytest -n 0 -m crowd || { \
		status=$$?; \
		test $$status -eq 5 -a -n "$$PYTEST_ADDOPTS" || failed=$$status; \
	}; \
	exit $$failed

# SEEDS and FIRST choose the seeds, SHEET a site file of operators; see
# docs/developer-guide/contributing.md.
SEEDS ?= 5
FIRST ?= 1
soak: setup
	PYTHONPATH=platform:platform/standins \
		$(BIN)/python -m $(if $(SHEET),soak.sheet_run --sheet $(SHEET),soak.run) \
		--first $(FIRST) --seeds $(SEEDS)

bench: setup
	$(BIN)/python -m bench.run

lint: setup check-generated
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: setup
	$(BIN)/python tools/generate.py

check-generated: setup
	$(BIN)/python tools/generate.py --check

docs: setup
	$(BIN)/mkdocs build --strict --quiet

clean:
	rm -rf $(VENV) site
