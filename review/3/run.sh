#!/bin/sh
# Runs this case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 runs it
# without the disruption. What was sent, answered and run is in record.txt beside this file.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec .venv/bin/python "$folder/case.py"
