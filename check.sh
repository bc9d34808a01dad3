#!/bin/sh
# The one check of the project: tests, layout, lint and types, with the tools of the current environment.
set -e
cd "$(dirname "$0")"
python -m pytest -q -n "${TESTS_AT_ONCE:-4}" --dist loadfile
python -m ruff format --check .
python -m ruff check .
python -m mypy
