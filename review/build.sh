#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python files that run from the checkout,
# with the libraries and the package that the build of the deploy file puts under
# target/deps; nothing else is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/persimmonhitch
for file in review/common/*.py review/[0-9]/*.py scripts/relay.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
echo "stand-ins are ready"
