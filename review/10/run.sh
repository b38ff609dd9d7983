#!/bin/sh
# Runs the case; exit status 0: the rule held, 1: it was broken, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=review/lib2 PYTHONDONTWRITEBYTECODE=1
exec .venv/bin/python review/10/case.py
