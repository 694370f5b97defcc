#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10: they are plain JavaScript that uses
# nothing but Node.js, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.js {6,7,8,9,10}/case.js; do
  node --check "$file"
done
