#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
python=$(command -v python3 || echo /usr/bin/python3)
[ -x "$python" ] && [ -x "$folder/../../target/release/pintally" ] || { echo "cannot run: not built"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 timeout -k 2 118 "$python" "$folder/case.py"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
