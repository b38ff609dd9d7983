#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need nothing but the interpreter that the deploy file's build has made.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/lib2 review/6 review/7 review/8 review/9 review/10
