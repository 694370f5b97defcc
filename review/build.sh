#!/usr/bin/env bash
# The stand-ins and the cases are plain JavaScript without dependencies; there is
# nothing to compile. Checks that each file can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
