#!/bin/sh
# The stand-ins are Python 3 without further modules; this checks that they parse.
cd "$(dirname "$0")" || exit 1
for it in standins-2/*.py [4-8]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$it" || exit 1
done
test -x ../target/acaciachuted || { echo "run the build of the deploy file first" >&2; exit 1; }
