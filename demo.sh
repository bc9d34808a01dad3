#!/bin/sh
# Sets up an environment of its own on the first run, then runs the demo; arguments go to it.
set -e
cd "$(dirname "$0")"
cmp -s pyproject.toml .venv-rig/built || {
    rm -rf .venv-rig
    python3 -m venv .venv-rig
    .venv-rig/bin/python -m pip install --quiet --disable-pip-version-check -e '.[rig]'
    cp pyproject.toml .venv-rig/built
}
exec .venv-rig/bin/gladegw demo "$@"
