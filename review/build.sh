#!/bin/sh
# Builds the stand-ins of the cases: Python modules that need only the standard library.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
