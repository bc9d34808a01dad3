#!/bin/sh
# Plays what a landing needs on the operators' benches and compares it with the journal; see --help.
cd "$(dirname "$0")" && exec python3 benchmarks/regress.py "$@"
