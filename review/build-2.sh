#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs that need only its standard library, so this
# checks that they parse; the node is built by the `build` command of deploy/balancer.toml.
folder=$(cd "$(dirname "$0")" && pwd)
python=$(command -v python3 || echo /usr/bin/python3)
for file in "$folder"/common-2/*.py "$folder"/[0-9]*/case.py; do
    "$python" -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
