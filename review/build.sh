#!/bin/sh
# Builds the stand-ins of the cases. They are Python of the standard library alone, run by the environment of the
# deploy file's build, so that compiling them is all there is to do.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
