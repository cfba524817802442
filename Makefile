# Commands for people who work on pollenroad. Everything runs from .venv.
PYTHON ?= python3.11
MINUTES ?= 1

.PHONY: setup test lint format schema examples demo fuzz

setup: .venv/.installed

.venv/.installed: requirements.lock pyproject.toml
	test -x .venv/bin/python || $(PYTHON) -m venv .venv || python3 -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	.venv/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/.installed

test: setup
	.venv/bin/nose2 -s tests -t .

lint: setup
	.venv/bin/black --check --quiet src tests platform
	.venv/bin/ruff check src tests platform

format: setup
	.venv/bin/black --quiet src tests platform
	.venv/bin/ruff check --fix src tests platform

schema: setup
	.venv/bin/python -m pollenroad.declarations.schema docs/schema

examples: setup
	rm -rf examples/merrimack/rendered examples/tengerbulag/rendered
	.venv/bin/pollenroad render examples/merrimack
	.venv/bin/pollenroad render examples/tengerbulag

demo: setup
	.venv/bin/pollenroad demo

fuzz: setup
	.venv/bin/python -m tests.fuzz --minutes $(MINUTES)
