#!/bin/sh
# The stand-ins of review/support-3 are plain JavaScript without dependencies: this
# only checks that they and the cases can be parsed.
cd "$(dirname "$0")/.." || exit 2
for file in review/support-3/*.mjs review/1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
